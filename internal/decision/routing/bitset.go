package routing

import "math/bits"

// bitset is a set of small non-negative integers.
type bitset []uint64

func (b *bitset) set(number int32) {
	for int(number>>6) >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[number>>6] |= 1 << (number & 63)
}

func (b bitset) clear(number int32) { b[number>>6] &^= 1 << (number & 63) }

// all yields the numbers in ascending order. A number that is cleared during the iteration may still be yielded.
func (b bitset) all(yield func(int32) bool) {
	for i, word := range b {
		for ; word != 0; word &= word - 1 {
			if !yield(int32(i<<6 + bits.TrailingZeros64(word))) {
				return
			}
		}
	}
}

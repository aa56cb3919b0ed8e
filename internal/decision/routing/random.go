package routing

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
)

// randomSource is a pseudo-random generator whose draws depend only on its seed and on the number of draws before.
type randomSource struct {
	hash    hash.Hash64
	block   [16]byte // counter and seed
	counter uint64
}

func newRandomSource(seed uint64) randomSource {
	s := randomSource{hash: fnv.New64a()}
	binary.BigEndian.PutUint64(s.block[8:], seed)
	return s
}

// share returns a number in [0, 1).
func (s *randomSource) share() float64 {
	s.counter++
	binary.BigEndian.PutUint64(s.block[:], s.counter)
	s.hash.Reset()
	s.hash.Write(s.block[:])
	return float64(s.hash.Sum64()>>11) / (1 << 53)
}

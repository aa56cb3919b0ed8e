package queue

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// plain is a queue from container/heap, for comparison.
type plain []Item[[4]uint64]

func (p plain) Len() int           { return len(p) }
func (p plain) Less(i, j int) bool { return p[i].Key.Compare(p[j].Key) < 0 }
func (p plain) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *plain) Push(x any)        { *p = append(*p, x.(Item[[4]uint64])) }
func (p *plain) Pop() any {
	n := len(*p) - 1
	last := (*p)[n]
	*p = (*p)[:n]
	return last
}

// after draws how far ahead an event lies: mostly a network delay or a service time, sometimes a client's timeout, sometimes 0.
func after(r *rand.Rand) time.Duration {
	switch n := r.IntN(100); {
	case n < 5:
		return 0
	case n < 15:
		return 2*time.Second + time.Duration(r.IntN(int(2*time.Second)))
	case n < 16:
		return time.Duration(r.IntN(int(time.Minute)))
	default:
		return time.Duration(r.ExpFloat64() * float64(5*time.Millisecond))
	}
}

// Events come out in the order of their keys, as from a heap, also those that are pushed for a time that has passed.
func TestOrder(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		var q Queue[[4]uint64]
		var p plain
		now, seq := time.Duration(0), uint32(0)
		for range 4000 {
			if r.IntN(5) < 2+r.IntN(2) || len(p) == 0 {
				seq++
				i := Item[[4]uint64]{Key: Key{now + after(r), r.Uint32N(4), seq}}
				q.Push(i)
				heap.Push(&p, i)
			} else {
				at, ok := q.Peek()
				a, b := q.Pop(), heap.Pop(&p).(Item[[4]uint64])
				if a != b || !ok || at != a.At {
					t.Fatalf("seed %d: %v, want %v", seed, a, b)
				}
				now = a.At
			}
			if q.Len() != len(p) {
				t.Fatalf("seed %d: %d events, want %d", seed, q.Len(), len(p))
			}
		}
	}
}

func benchmark(b *testing.B, waiting int, push func(Item[[4]uint64]), pop func() Item[[4]uint64]) {
	r := rand.New(rand.NewPCG(1, 1))
	for i := range waiting {
		push(Item[[4]uint64]{Key: Key{after(r), 0, uint32(i)}})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := pop().At
		push(Item[[4]uint64]{Key: Key{now + after(r), 0, uint32(i)}})
	}
}

// BenchmarkHold pops one event and pushes one, with n events waiting.
func BenchmarkHold(b *testing.B) {
	for _, n := range []int{1_000, 30_000, 1_000_000} {
		name := strconv.Itoa(n)
		b.Run("calendar/"+name, func(b *testing.B) {
			var q Queue[[4]uint64]
			benchmark(b, n, q.Push, q.Pop)
		})
		b.Run("heap4/"+name, func(b *testing.B) {
			var h heap4[[4]uint64]
			benchmark(b, n, h.push, h.pop)
		})
		b.Run("container/"+name, func(b *testing.B) {
			var p plain
			benchmark(b, n, func(i Item[[4]uint64]) { heap.Push(&p, i) }, func() Item[[4]uint64] { return heap.Pop(&p).(Item[[4]uint64]) })
		})
	}
}

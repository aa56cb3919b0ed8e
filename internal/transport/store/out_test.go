package store

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// After any additions and removals, exactly the attempts in the set are found by id, with and without the index.
func TestAttemptSet(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var set attemptSet
	want := map[string]*Subrequest{}
	for i := range 20_000 {
		if limit := 200 * (1 + i/5_000%2); rnd.IntN(limit) > len(want) {
			p := &Subrequest{ID: fmt.Sprint(i)}
			set.add(p)
			want[p.ID] = p
		} else {
			p := set.attempts[rnd.IntN(set.len())]
			if !set.remove(p) || set.remove(p) {
				t.Fatalf("attempt %s is in the set twice or not at all", p.ID)
			}
			delete(want, p.ID)
		}
		id := fmt.Sprint(rnd.IntN(i + 1))
		if set.find(id) != want[id] || set.len() != len(want) {
			t.Fatalf("step %d: %s found %v, want %v; %d in the set, want %d", i, id, set.find(id), want[id], set.len(), len(want))
		}
	}
}

// BenchmarkAttemptSet measures adding, finding and removing one attempt beside n others.
func BenchmarkAttemptSet(b *testing.B) {
	for _, n := range []int{4, 32, 63, 1000} {
		ids := make([]string, n+1)
		for i := range ids {
			ids[i] = fmt.Sprintf("%016x.%d", rand.Uint64(), i)
		}
		b.Run(fmt.Sprintf("slice/%d", n), func(b *testing.B) {
			var o attemptSet
			for _, id := range ids[:n] {
				o.add(&Subrequest{ID: id})
			}
			p := &Subrequest{ID: ids[n]}
			for b.Loop() {
				o.add(p)
				o.remove(o.find(p.ID))
			}
		})
		b.Run(fmt.Sprintf("map/%d", n), func(b *testing.B) {
			m := map[string]*Subrequest{}
			for _, id := range ids[:n] {
				m[id] = &Subrequest{ID: id}
			}
			p := &Subrequest{ID: ids[n]}
			for b.Loop() {
				m[p.ID] = p
				delete(m, m[p.ID].ID)
			}
		})
	}
}

package store

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Whatever is added and taken out, what is there is found by its id, and nothing else, below and above the size of an index.
func TestOuts(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var o outs
	plain := map[string]*Part{}
	for i := range 20_000 {
		if most := 200 * (1 + i/5_000%2); rnd.IntN(most) > len(plain) {
			p := &Part{ID: fmt.Sprint(i)}
			o.add(p)
			plain[p.ID] = p
		} else {
			p := o.parts[rnd.IntN(o.len())]
			if !o.remove(p) || o.remove(p) {
				t.Fatalf("part %s is there twice or not at all", p.ID)
			}
			delete(plain, p.ID)
		}
		id := fmt.Sprint(rnd.IntN(i + 1))
		if o.find(id) != plain[id] || o.len() != len(plain) {
			t.Fatalf("step %d: %s found %v, want %v; %d there, want %d", i, id, o.find(id), plain[id], o.len(), len(plain))
		}
	}
}

// One part added, found and taken out, beside so many.
func BenchmarkOuts(b *testing.B) {
	for _, n := range []int{4, 32, 63, 1000} {
		ids := make([]string, n+1)
		for i := range ids {
			ids[i] = fmt.Sprintf("%016x.%d", rand.Uint64(), i)
		}
		b.Run(fmt.Sprintf("slice/%d", n), func(b *testing.B) {
			var o outs
			for _, id := range ids[:n] {
				o.add(&Part{ID: id})
			}
			p := &Part{ID: ids[n]}
			for b.Loop() {
				o.add(p)
				o.remove(o.find(p.ID))
			}
		})
		b.Run(fmt.Sprintf("map/%d", n), func(b *testing.B) {
			m := map[string]*Part{}
			for _, id := range ids[:n] {
				m[id] = &Part{ID: id}
			}
			p := &Part{ID: ids[n]}
			for b.Loop() {
				m[p.ID] = p
				delete(m, m[p.ID].ID)
			}
		})
	}
}

package forwarding

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/decision"
)

// In random sequences what is kept is within the limit and equals what the caller holds, each ended query stays remembered, and nothing is counted
// once all is forgotten.
func TestCachedResultsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		r := NewReceiver(Policy{RemoteShare: 1, MaxRemembered: 1000})
		r.LimitCachedBytes(limit)
		held, running := map[Key]int{}, []Key{}
		now := time.Duration(0)
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "arrival") || len(running) == 0 {
				k := Key{Origin{"a", 1}, id}
				if r.HandleQuery(RemoteQuery{k, 1, decision.NonIdempotent, 1, time.Second}, Load{Capacity: 1 << 20}, now) != Admit {
					t.Fatal("a query was not admitted")
				}
				running = append(running, k)
			} else {
				k := running[0]
				running = running[1:]
				if !r.QueryEnded(k) {
					t.Fatal("a result need not be kept")
				}
				held[k] = rapid.IntRange(1, 1200).Draw(t, "bytes")
				for _, dropped := range r.CacheResult(k, held[k]) {
					if _, there := held[dropped]; !there {
						t.Fatalf("the result of query %d is dropped, which is not held", dropped.ID)
					}
					delete(held, dropped)
				}
				if r.HandleQuery(RemoteQuery{k, 1, decision.NonIdempotent, 1, time.Second}, Load{Capacity: 1 << 20}, now) != AlreadyEnded {
					t.Fatal("a query that has run is not remembered")
				}
			}
			for _, k := range r.ForgetExpired(now) {
				delete(held, k)
			}
			sum := 0
			for _, bytes := range held {
				sum += bytes
			}
			if sum != r.Counters.CachedBytes || sum > limit {
				t.Fatalf("%d bytes are held, %d counted, at most %d", sum, r.Counters.CachedBytes, limit)
			}
		}
		for _, k := range running {
			r.QueryEnded(k)
		}
		if r.ForgetExpired(now + time.Hour); r.Counters.CachedBytes != 0 || len(r.cached.order) != 0 || r.Counters.Remembered != 0 {
			t.Fatalf("in the end %+v, %d in order", r.Counters, len(r.cached.order))
		}
	})
}

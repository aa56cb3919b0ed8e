package ownership

// This file walks the states of the model.

import (
	"hash/maphash"
	"testing"
	"time"
)

// explore goes through all states up to a depth from where the three have begun, and returns the first that breaks the rule.
func explore(depth int, accept func(*Coordinator, uint32) bool) (states int, violation string) {
	start := &modelState{}
	for i := range start.brokers {
		start.brokers[i] = newModelBroker(i, 0)
	}
	for range 3 { // to where there is an owner
		start.now += time.Second
		for i := range start.brokers {
			start.tick(i)
		}
		for len(start.claims) > 0 {
			m := start.claims[0]
			start.claims = start.claims[1:]
			start.brokers[m.to].coordinator.HandleClaim(m.claim, start.now)
			start.sendClaims(m.to)
		}
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{start.key(seed): true}
	level := []*modelState{start}
	for range depth {
		var next []*modelState
		for _, s := range level {
			s.forEachNext(accept, func(c *modelState, why string) {
				if why != "" && violation == "" {
					violation = why
				}
				if k := c.key(seed); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
			})
			if violation != "" {
				return len(seen), violation
			}
		}
		level = next
	}
	return len(seen), ""
}

// Whatever happens in whatever order, nobody accepts what was done under an older number after it knew of a newer one, and no
// number goes back. A receiver that accepts everything is caught.
func TestModel(t *testing.T) {
	states, violation := explore(6, func(d *Coordinator, fence uint32) bool { return d.AcceptFence(0, fence) })
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states to depth 6", states)
	states, violation = explore(6, func(*Coordinator, uint32) bool { return true })
	if violation == "" {
		t.Errorf("a receiver that accepts everything was not caught in %d states", states)
	}
	t.Logf("caught after %d states: %s", states, violation)
}

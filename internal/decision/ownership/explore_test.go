package ownership

// This file explores the states of the model.

import (
	"hash/maphash"
	"testing"
	"time"
)

// explore visits all states up to a depth from a start with an owner. It returns their number and the first violation.
func explore(depth int, accept func(*Coordinator, uint32) bool) (states int, violation string) {
	start := &modelState{}
	for i := range start.brokers {
		start.brokers[i] = newModelBroker(i, 0)
	}
	for range 3 { // seconds until the job has an owner
		start.now += time.Second
		for i := range start.brokers {
			start.tick(i)
		}
		for len(start.claims) > 0 {
			m := start.claims[0]
			start.claims = start.claims[1:]
			start.brokers[m.to].coordinator.HandleClaim(m.c, start.now)
			start.sendClaims(m.to)
		}
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{start.key(seed): true}
	level := []*modelState{start}
	for range depth {
		var successors []*modelState
		for _, s := range level {
			s.successors(accept, func(c *modelState, why string) {
				if why != "" && violation == "" {
					violation = why
				}
				if k := c.key(seed); !seen[k] {
					seen[k] = true
					successors = append(successors, c)
				}
			})
			if violation != "" {
				return len(seen), violation
			}
		}
		level = successors
	}
	return len(seen), ""
}

// In any order of events, no broker accepts work under an older fencing number after work under a newer one, and no known number
// decreases. The model detects a receiver that accepts everything.
func TestModel(t *testing.T) {
	states, violation := explore(6, func(d *Coordinator, fence uint32) bool { return d.AcceptFence(0, fence) })
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states to depth 6", states)
	states, violation = explore(6, func(*Coordinator, uint32) bool { return true })
	if violation == "" {
		t.Errorf("no violation found in %d states by a receiver that accepts everything", states)
	}
	t.Logf("violation of a receiver that accepts everything found after %d states: %s", states, violation)
}

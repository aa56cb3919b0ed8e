package statemachine

import (
	"fmt"
	"hash/maphash"
	"os"
	"strconv"
	"testing"
)

// exploreLeases explores all states of the lease model up to a depth, and returns the first violation.
func exploreLeases(depth, maxStates int, fault *leaseFault) (states int, firstViolation string) {
	if fault.apply == nil {
		fault.apply = noFault
	}
	l := &leaseModel{state: New(), leaders: []leaseLeader{{term: 1}}}
	for i := range l.holders {
		l.send(&RegisterBroker{Slot(i), fmt.Sprint(i), 1, "1", "z", 1})
		l.send(&ReturnToService{Slot: Slot(i), Incarnation: 1})
	}
	l.send(&LeaderElected{0, 1})
	l.send(&ConnectionPolicy{1, "", 2, []NodeBudget{{testNode(1), leaseBudget, 1}}})
	l.send(&GrantLease{0, 1, 1, []LeaseRow{{testNode(1), "x", 2}}})
	l.send(&AcknowledgeLease{0, 1, 1})
	for len(l.inFlight) > 0 {
		l.deliver(0, fault)
	}
	// The answer to a recent request of the first holder is in flight. The lease of the second does not expire within the explored depth.
	l.now, l.leaders[0].renewed = 1, [2]int{0, 9}
	l.holders = [2]leaseHolder{
		{number: 1, connections: 2, expiry: 1, requestedAt: -1, answers: []leaseAnswer{{0, 0}}},
		{expiry: 9, requestedAt: -1},
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{l.key(seed): true}
	level := []*leaseModel{l}
	for d := 0; d < depth && len(seen) < maxStates; d++ {
		var next []*leaseModel
		for _, x := range level {
			x.successors(fault, func(c *leaseModel) {
				if c.violation != "" && firstViolation == "" {
					firstViolation = fmt.Sprintf("after %d: %s", d+1, c.violation)
				}
				if k := c.key(seed); !seen[k] && firstViolation == "" {
					seen[k] = true
					next = append(next, c)
				}
			})
			if firstViolation != "" {
				return len(seen), firstViolation
			}
		}
		level = next
	}
	return len(seen), ""
}

// However late messages arrive, the two holders together never use more connections than the node accepts. Each injected fault is found.
func TestLeaseModel(t *testing.T) {
	depth := 6
	if n, err := strconv.Atoi(os.Getenv("STATEMACHINE_DEPTH")); err == nil {
		depth = n
	}
	states, violation := exploreLeases(depth, 1<<30, &leaseFault{})
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states up to depth %d", states, depth)
	for name, fault := range leaseModelFaults {
		states, violation := exploreLeases(12, 200000, fault)
		if violation == "" {
			t.Errorf("injected fault %q not found in %d states", name, states)
		}
		t.Logf("injected fault %q found in %d states: %s", name, states, violation)
	}
}

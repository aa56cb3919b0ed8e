package statemachine

import (
	"fmt"
	"hash/maphash"
	"os"
	"strconv"
	"testing"
)

func exploreLeases(depth, most int, p *leaseFault) (states int, why string) {
	if p.apply == nil {
		p.apply = noFault
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
		l.deliver(0, p)
	}
	// The one asked a moment ago and was answered; the answer is on its way. The other may use what it is granted for long.
	l.now, l.leaders[0].renewed = 1, [2]int{0, 9}
	l.holders = [2]leaseHolder{
		{number: 1, connections: 2, expiry: 1, requestedAt: -1, answers: []leaseAnswer{{0, 0}}},
		{expiry: 9, requestedAt: -1},
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{l.key(seed): true}
	level := []*leaseModel{l}
	for d := 0; d < depth && len(seen) < most; d++ {
		var next []*leaseModel
		for _, x := range level {
			x.successors(p, func(c *leaseModel) {
				if c.violation != "" && why == "" {
					why = fmt.Sprintf("after %d: %s", d+1, c.violation)
				}
				if k := c.key(seed); !seen[k] && why == "" {
					seen[k] = true
					next = append(next, c)
				}
			})
			if why != "" {
				return len(seen), why
			}
		}
		level = next
	}
	return len(seen), ""
}

// However late all comes, the two never use more than the node has. Each fault put in is found.
func TestLeaseModel(t *testing.T) {
	depth := 6
	if n, err := strconv.Atoi(os.Getenv("STATEMACHINE_DEPTH")); err == nil {
		depth = n
	}
	states, why := exploreLeases(depth, 1<<30, &leaseFault{})
	if why != "" {
		t.Error(why)
	}
	t.Logf("%d states to depth %d", states, depth)
	for name, p := range leaseModelFaults {
		states, why := exploreLeases(12, 200000, p)
		if why == "" {
			t.Errorf("%s was not found in %d states", name, states)
		}
		t.Logf("%s: found in %d states, %s", name, states, why)
	}
}

package statemachine

import (
	"fmt"
	"hash/maphash"
	"os"
	"strconv"
	"testing"
)

// exploreReleases goes through all states up to a depth, and returns the first that breaks a rule.
func exploreReleases(depth, most int, p injectedFault) (states int, why string) {
	m := &model{state: New(), term: 1}
	for i := range m.processes {
		m.processes[i] = modelProcess{incarnation: 1, up: true}
		m.send(&RegisterBroker{Slot(i), fmt.Sprint(i), 1, "1", "z", 1}, i)
		m.send(&ReturnToService{Slot: Slot(i), Incarnation: 1}, i)
	}
	m.send(&LeaderElected{0, 1}, 0)
	m.send(&ReleasePlan{From: "1", To: "2", Slots: slotRange(3), MaxOut: modelMaxOut}, 0)
	for len(m.inFlight) > 0 {
		m.deliver(0, false, p)
	}
	m.out, m.violation = [3]bool{}, ""
	m.send(&ReturnToService{Slot: 0, Incarnation: 1}, 0) // said again as it came, and still on its way
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{m.key(seed): true}
	level := []*model{m}
	for d := 0; d < depth && len(seen) < most; d++ {
		var next []*model
		for _, x := range level {
			x.successors(p, func(c *model) {
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

func noFault(_ *State, _ Entry, apply func() Result) Result { return apply() }

// Whatever happens in whatever order, no permit is given over the limit or by a leader of the past, none is used twice or after a
// halt, and nobody who went or was lost counts as in before it said so under a new incarnation. Each fault put in is found.
func TestReleaseModel(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("STATEMACHINE_DEPTH")); err == nil {
		depth = n
	}
	states, why := exploreReleases(depth, 1<<30, noFault)
	if why != "" {
		t.Error(why)
	}
	t.Logf("%d states to depth %d", states, depth)
	for name, p := range releaseFaults {
		states, why := exploreReleases(9, 400000, p)
		if why == "" {
			t.Errorf("%s was not found in %d states", name, states)
		}
		t.Logf("%s: found in %d states, %s", name, states, why)
	}
}

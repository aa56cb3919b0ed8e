package statemachine

import (
	"fmt"
	"hash/maphash"
	"os"
	"strconv"
	"testing"
)

// exploreReleases explores all states of the release model up to a depth, and returns the first violation.
func exploreReleases(depth, maxStates int, fault injectedFault) (states int, firstViolation string) {
	m := &releaseModel{state: New(), term: 1}
	for i := range m.processes {
		m.processes[i] = modelProcess{incarnation: 1, up: true}
		m.send(&RegisterBroker{Slot(i), fmt.Sprint(i), 1, "1", "z", 1}, i)
		m.send(&ReturnToService{Slot: Slot(i), Incarnation: 1}, i)
	}
	m.send(&LeaderElected{0, 1}, 0)
	m.send(&ReleasePlan{From: "1", To: "2", Slots: slotRange(3), MaxOut: modelMaxOut}, 0)
	for len(m.inFlight) > 0 {
		m.deliver(0, false, fault)
	}
	m.out, m.violation = [3]bool{}, ""
	m.send(&ReturnToService{Slot: 0, Incarnation: 1}, 0) // a repeat of its first return, still in flight
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{m.key(seed): true}
	level := []*releaseModel{m}
	for d := 0; d < depth && len(seen) < maxStates; d++ {
		var next []*releaseModel
		for _, x := range level {
			x.successors(fault, func(c *releaseModel) {
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

func noFault(_ *State, _ Entry, apply func() Result) Result { return apply() }

// In whatever order events occur, no permit is issued beyond the limit or by an earlier leader, none is used twice or after a halt, and a
// broker that went out or was lost does not count as serving before it returns under a new incarnation. Each injected fault is found.
func TestReleaseModel(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("STATEMACHINE_DEPTH")); err == nil {
		depth = n
	}
	states, violation := exploreReleases(depth, 1<<30, noFault)
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states up to depth %d", states, depth)
	for name, fault := range releaseFaults {
		states, violation := exploreReleases(9, 400000, fault)
		if violation == "" {
			t.Errorf("injected fault %q not found in %d states", name, states)
		}
		t.Logf("injected fault %q found in %d states: %s", name, states, violation)
	}
}

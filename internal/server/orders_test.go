package server

// Runs every order in which events about one query can come to the loop, and checks after each step what must hold in all of them:
// docs/acceptance.md.

import (
	"slices"
	"testing"
)

// Every order of five events, each handled in a step of its own or in one step with the event before.
func TestEveryEventOrder(t *testing.T) {
	all := []orderEvent{querySubmitted, clientLeaves, nodeDrained, nodeUnlisted, nodeRestarted, pollFails, connectionsOpen, attemptsAnswered, connectionsReset, deadlinePasses}
	orders, sent := 0, 0
	var extend func(history []orderEvent)
	extend = func(history []orderEvent) {
		if len(history) == 2 && !slices.Contains(history, querySubmitted) || len(history) == 5 && !slices.Contains(history, connectionsOpen) {
			return // events before the query matter little, and without a connection nothing is sent
		}
		if len(history) == 5 {
			for together := range 1 << (len(history) - 1) {
				o := newOrderRun(t)
				for i, h := range history {
					o.history = append(o.history, string(h))
					o.apply(h)
					if together>>i&1 == 0 {
						o.settle()
					} else {
						o.history = append(o.history, "at once")
					}
				}
				o.finish()
				orders++
				sent += o.sent
				if t.Failed() {
					t.FailNow()
				}
			}
			return
		}
		for _, h := range all {
			if !slices.Contains(history, h) {
				extend(append(slices.Clone(history), h))
			}
		}
	}
	extend(nil)
	if sent < orders/4 {
		t.Errorf("%d attempts in %d orders: too few to test anything", sent, orders)
	}
	t.Logf("%d orders, %d attempts", orders, sent)
}

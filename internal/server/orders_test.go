package server

// This file plays every order in which what happens to one query can come to the loop, and checks after each step what must hold
// in all of them: docs/acceptance.md.

import (
	"slices"
	"testing"
)

// Every order of up to five events, each taken in a step of its own or together with the one before.
func TestEveryEventOrder(t *testing.T) {
	all := []orderEvent{querySubmitted, clientLeaves, nodeDrained, nodeUnlisted, nodeRestarted, pollFails, connectionsOpen, attemptsAnswered, connectionsReset, deadlinePasses}
	orders, sent := 0, 0
	var extend func(events []orderEvent)
	extend = func(events []orderEvent) {
		if len(events) == 2 && !slices.Contains(events, querySubmitted) || len(events) == 5 && !slices.Contains(events, connectionsOpen) {
			return // what comes before the query matters little, and with no connection nothing is sent
		}
		if len(events) == 5 {
			for together := range 1 << (len(events) - 1) {
				o := newOrderRun(t)
				for i, h := range events {
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
			if !slices.Contains(events, h) {
				extend(append(slices.Clone(events), h))
			}
		}
	}
	extend(nil)
	if sent < orders/4 {
		t.Errorf("%d sub-requests in %d orders: too little is played", sent, orders)
	}
	t.Logf("%d orders, %d sub-requests", orders, sent)
}

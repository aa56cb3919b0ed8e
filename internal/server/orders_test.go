package server

// This file plays every order in which what happens to one query can come to the loop, and checks after each step what must hold
// in all of them: docs/acceptance.md.

import (
	"slices"
	"testing"
)

// Every order of up to five events, each taken in a step of its own or together with the one before.
func TestEveryOrder(t *testing.T) {
	all := []happening{asked, left, drained, unlisted, restarted, failed, rises, served, resets, passes}
	orders, sent := 0, 0
	var extend func(course []happening)
	extend = func(course []happening) {
		if len(course) == 2 && !slices.Contains(course, asked) || len(course) == 5 && !slices.Contains(course, rises) {
			return // what comes before the query matters little, and with no connection nothing is sent
		}
		if len(course) == 5 {
			for together := range 1 << (len(course) - 1) {
				o := newOrder(t)
				for i, h := range course {
					o.course = append(o.course, string(h))
					o.happens(h)
					if together>>i&1 == 0 {
						o.settle()
					} else {
						o.course = append(o.course, "at once")
					}
				}
				o.ends()
				orders++
				sent += o.sent
				if t.Failed() {
					t.FailNow()
				}
			}
			return
		}
		for _, h := range all {
			if !slices.Contains(course, h) {
				extend(append(slices.Clone(course), h))
			}
		}
	}
	extend(nil)
	if sent < orders/4 {
		t.Errorf("%d sub-requests in %d orders: too little is played", sent, orders)
	}
	t.Logf("%d orders, %d sub-requests", orders, sent)
}

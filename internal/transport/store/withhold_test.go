package store

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// An attempt that waits for a connection is never written once its node is unlisted, draining or restarted, however late the connection is
// established. One that was written before stays in flight, unless the node has restarted.
func TestQueuedAttemptsEndUnsent(t *testing.T) {
	for what, change := range map[string]func(b *poolTest){
		"drained":   func(b *poolTest) { b.EndQueued(testNode) },
		"gone":      func(b *poolTest) { b.RemoveNode(testNode) },
		"restarted": func(b *poolTest) { b.SetNode(testNode, "s-1", b.nodes[testNode].addr, b.since()) },
	} {
		runPoolTest(t, testLimits, func(b *poolTest) {
			b.dialDelay = 100 * time.Millisecond
			time.Sleep(time.Millisecond) // so that the node's new start is later than StartedLongAgo
			attempts := b.send("a.1", "a.2")
			b.Cancel(attempts[0])
			change(b)
			b.expect("a.1 6", "a.2 "+outcome(decision.NeverSent))
			time.Sleep(b.dialDelay)
			b.handleEvents()
			for _, p := range b.fakeConns {
				if len(p.wrote) > 0 {
					t.Errorf("%s: wrote %q", what, p.wrote)
				}
			}
			if b.InFlight() != 0 {
				t.Errorf("%s: %d in flight", what, b.InFlight())
			}
		})
		runPoolTest(t, testLimits, func(b *poolTest) {
			time.Sleep(time.Millisecond)
			b.send("a.1")
			time.Sleep(time.Millisecond)
			if change(b); what == "restarted" {
				b.expect("a.1 " + outcome(decision.ConnectionReset))
			} else {
				b.expect()
			}
		})
	}
}

func outcome(o decision.Outcome) string { return string(rune('0' + o)) }

package store

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// What waits for a connection is not written once the list has ended or drained its node, or tells a newer start of it, however late
// the connection comes up; what was written before stays out.
func TestWithheld(t *testing.T) {
	for what, change := range map[string]func(b *bench){
		"drained":   func(b *bench) { b.Withhold(at) },
		"gone":      func(b *bench) { b.Drop(at) },
		"restarted": func(b *bench) { b.Point(at, "s-1", b.nodes[at].addr, b.since()) },
	} {
		run(t, usual, func(b *bench) {
			b.hold = 100 * time.Millisecond
			time.Sleep(time.Millisecond) // a start has to be after the beginning
			called := b.send("a.1", "a.2")
			b.Cancel(called[0])
			change(b)
			b.expect("a.1 6", "a.2 "+outcome(decision.NeverSent))
			time.Sleep(b.hold)
			b.settle()
			for _, p := range b.pipes {
				if len(p.wrote) > 0 {
					t.Errorf("%s: wrote %q", what, p.wrote)
				}
			}
			if b.Out() != 0 {
				t.Errorf("%s: %d out", what, b.Out())
			}
		})
		run(t, usual, func(b *bench) {
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

func outcome(how decision.Outcome) string { return string(rune('0' + how)) }

package routing

// This file tests that a full node is told from a sick one.

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// While parts are turned away all over, a node that turned one away is full, not sick: it is shut only for the second without an
// answer between. One that alone turns parts away is shut at once, as it may drain.
func TestFullNodeIsNotShut(t *testing.T) {
	for _, c := range []struct {
		turned  float64
		between decision.Outcome // what comes between two refusals
		trusted [2]bool          // after each of them
	}{
		{0, decision.OK, [2]bool{false, false}},
		{0.2, decision.OK, [2]bool{true, true}},
		{0.2, decision.Rejected, [2]bool{true, false}},
	} {
		l := New(decision.Settings{QueryTypes: make([]decision.QueryType, 1), Cells: 1, CellsPerShard: 1})
		n := &node{l: l, trusted: true}
		l.now, l.desk.turned, l.desk.turnedAt = time.Second, c.turned, time.Second
		n.ended(&note{outcome: decision.Rejected})
		first := n.trusted
		if c.between == decision.OK {
			n.ended(&note{outcome: decision.OK})
			n.trusted = first
		}
		n.ended(&note{outcome: decision.Rejected})
		if got := [2]bool{first, n.trusted}; got != c.trusted {
			t.Errorf("%.1f turned away, %v between: trusted %v, want %v", c.turned, c.between, got, c.trusted)
		}
	}
}

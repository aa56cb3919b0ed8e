package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// While many nodes reject attempts, a node that rejects one has a full queue and is not faulty: it is ejected only after two rejections
// without an answer in between. A node that is the only one to reject attempts is ejected at once, as it may be draining.
func TestFullNodeIsNotEjected(t *testing.T) {
	for _, c := range []struct {
		rejections float64
		between    decision.Outcome // OK: an answer comes between two rejections; Rejected: nothing does
		inService  [2]bool          // after each of the rejections
	}{
		{0, decision.OK, [2]bool{false, false}},
		{0.2, decision.OK, [2]bool{true, true}},
		{0.2, decision.Rejected, [2]bool{true, false}},
	} {
		router := New(decision.Settings{QueryTypes: make([]decision.QueryType, 1), Cells: 1, CellsPerShard: 1})
		n := &nodeHealth{router: router}
		router.now = time.Second
		router.dispatcher.shedding.rejectionRate = c.rejections
		router.dispatcher.shedding.rejectionRateUpdatedAt = time.Second
		n.handleAttemptEnded(decision.Rejected, 0)
		first := !n.ejected
		if c.between == decision.OK {
			n.handleAttemptEnded(decision.OK, 0)
			n.ejected = !first
		}
		n.handleAttemptEnded(decision.Rejected, 0)
		if got := [2]bool{first, !n.ejected}; got != c.inService {
			t.Errorf("rejection rate %.1f, outcome %v in between: in service %v, want %v", c.rejections, c.between, got, c.inService)
		}
	}
}

package back

import (
	"sync/atomic"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/transport/store"
)

// Guards against attempts that wait for their turn in a connection going on to a node after it began to drain.
func TestWaitingAttemptsEndAtDrain(t *testing.T) {
	var searches atomic.Int32
	release := make(chan struct{})
	addr := startScriptedNode(t, func(n int, m z3950.Message) []byte {
		if n == 0 {
			return acceptInit(m)
		}
		searches.Add(1)
		<-release
		return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), OK: true})
	})
	p := startPool(t, addr)
	p.Send(testNode, []*store.Subrequest{p.attempt("a.1"), p.attempt("a.2"), p.attempt("a.3")})
	p.run(t, func() bool { return searches.Load() == 1 })
	p.EndQueued(testNode)
	if len(p.outcomes) != 2 || p.outcomes["a.2"] != decision.NeverSent || p.outcomes["a.3"] != decision.NeverSent {
		t.Errorf("outcomes at the drain: %v", p.outcomes)
	}
	close(release)
	p.run(t, func() bool { return len(p.outcomes) == 3 })
	time.Sleep(50 * time.Millisecond)
	if p.outcomes["a.1"] != decision.OK || searches.Load() != 1 {
		t.Errorf("outcomes %v, %d searches at the node", p.outcomes, searches.Load())
	}
}

package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// easedRig is a rig whose nodes are all eased in.
func easedRig(t decision.Settings, nodes int) *rig {
	r := newRig(t, nodes)
	for i := range nodes {
		r.list(decision.ListUpdateReceived, decision.Endpoint{Node: nodeID(i), Cell: i % t.Cells, State: decision.Ready,
			StartedAt: decision.StartedLongAgo, Unconfirmed: true})
	}
	r.step(5 * ms)
	return r
}

// A node that is eased in has one call out; parts beyond it wait for its answer, and none is lost or shed for that.
func TestEasedNodeHasOneCallOut(t *testing.T) {
	tm := smallTerms()
	tm.Cells, tm.BrokerCount, tm.OverloadAfter = 1, 1, 2*time.Second
	r := easedRig(tm, 2)
	for range 6 {
		r.ask(0, 3*time.Second, 0)
	}
	r.step(5 * ms)
	must(t, len(r.order) == 2, "%d calls out", len(r.order))
	for range 100 {
		r.endWhere(decision.OK, 20*ms, nil)
		r.step(5 * ms)
	}
	must(t, len(r.searches) == 0 && r.bad == "", "%d searches left, %s", len(r.searches), r.bad)
}

// What an eased node may have out grows with its answers, falls when it goes silent, and the easing ends once it answers
// and must be warm.
func TestEasedWindow(t *testing.T) {
	tm := smallTerms()
	tm.Cells, tm.BrokerCount, tm.OverloadAfter = 1, 1, 2*time.Second
	r := easedRig(tm, 1)
	b := &r.l.desk.board[0]
	for i := range 8 {
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
		must(t, len(r.order) == 1, "search %d: %d calls out", i, len(r.order))
		r.step(20 * ms)
		r.endWhere(decision.OK, 0, nil)
		r.step(5 * ms)
	}
	must(t, b.window == 3, "window %v after eight answers", b.window)
	r.ask(0, 3*time.Second, 0)
	r.step(5 * ms)
	r.endWhere(decision.ConnectFailed, 0, nil)
	r.step(5 * ms)
	must(t, b.window == 1.5, "window %v after a failure", b.window)
	r.step(tm.WarmUpTime)
	for range 3 {
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
		r.step(20 * ms)
		r.endWhere(decision.OK, 0, nil)
		r.step(5 * ms)
	}
	must(t, b.eased == 0, "still eased in after %v", r.now)
}

// Many brokers spread their first calls, so that those alone push no node over; a few send theirs at once.
func TestFirstCallsOfManyBrokersAreSpread(t *testing.T) {
	for brokers, within := range map[int][2]int{2: {200, 200}, 300: {0, 20}} {
		sent := 0
		for seed := range 200 {
			tm := smallTerms()
			tm.Cells, tm.BrokerCount, tm.Seed, tm.OverloadAfter = 1, brokers, uint64(seed), 2*time.Second
			r := easedRig(tm, 1)
			r.ask(0, 3*time.Second, 0)
			r.step(5 * ms)
			sent += len(r.order)
		}
		must(t, sent >= within[0] && sent <= within[1], "%d of %d brokers sent at once", sent, 200)
	}
}

package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Calls that a node lost while it hung no longer count once it answers calls sent after them: the node is neither ejected as
// unresponsive again, nor considered degraded or crowded.
func TestLostCallsAreNotHeldAgainstNode(t *testing.T) {
	settings := smallSettings()
	settings.Cells = 1
	r := newRig(settings, 1)
	node := func() *endpoint { return &r.router.dispatcher.endpoints.all[0] }
	round := func() {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		r.step(20 * ms)
		k := r.order[len(r.order)-1] // the newest; older attempts stay in flight
		r.endAttempt(k, decision.OK)
		r.step(5 * ms)
	}
	for range 40 {
		round()
	}
	for range 6 { // lost by the node
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
	}
	r.step(600 * ms)
	require(t, !node().available(), "a node that lost six shard requests is available")
	for range 40 {
		round()
		r.step(10 * ms)
	}
	lost := len(node().calls)
	require(t, node().mode == modeWarmedUp && node().costFactor == 1, "mode %v, cost factor %v after the node answered again", node().mode, node().costFactor)
	require(t, lost > 0 && len(node().pendingCalls()) == 0, "%d calls in flight, %d pending", lost, len(node().pendingCalls()))
	wait := time.Duration(r.router.dispatcher.expectedWait(&shardRequest{}, 0))
	require(t, wait < 200*ms, "expected wait %v", wait)
	require(t, r.violation == "", "%s", r.violation)
}

// The budget of extra attempts applies from the broker's start, that is from the first shard request.
func TestBudgetAppliesFromFirstShardRequest(t *testing.T) {
	settings := smallSettings()
	settings.ExtraAttemptsMin = 1
	settings.ExtraAttemptsShare = 0.1
	settings.ExtraAttemptsWindow = 2 * time.Second
	r := newRig(settings, 4)
	for i, want := range []int{1, 0} {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		require(t, len(r.order) == 1, "query %d: %d attempts in flight", i, len(r.order))
		r.endAttempt(r.order[0], decision.ConnectFailed)
		r.step(5 * ms)
		require(t, len(r.inFlight) == want && r.violation == "", "query %d: %d extra attempts sent; violation: %q", i, len(r.inFlight), r.violation)
		for _, k := range r.order {
			r.endAttempt(k, decision.OK)
		}
		r.step(5 * ms)
	}
}

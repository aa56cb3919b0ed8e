package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Calls that a node swallowed while it hung tell nothing of it once it answers what it was sent after: it is neither ejected as
// silent again, nor taken for slow or crowded.
func TestLostCallsAreNotHeldAgainstNode(t *testing.T) {
	settings := smallSettings()
	settings.Cells = 1
	r := newRig(settings, 1)
	node := func() *endpoint { return &r.router.dispatcher.endpoints.all[0] }
	round := func() {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		r.step(20 * ms)
		k := r.order[len(r.order)-1] // the newest; what is older stays out
		r.endAttempt(k, decision.OK)
		r.step(5 * ms)
	}
	for range 40 {
		round()
	}
	for range 6 { // swallowed
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
	}
	r.step(600 * ms)
	require(t, !node().available(), "a node that swallows six shard requests is in service")
	for range 40 {
		round()
		r.step(10 * ms)
	}
	lost := len(node().calls)
	require(t, node().mode == modeWarmedUp && node().costFactor == 1, "mode %v, counts as %v after it answered again", node().mode, node().costFactor)
	require(t, lost > 0 && len(node().pendingCalls()) == 0, "%d calls in flight, %d pending", lost, len(node().pendingCalls()))
	wait := time.Duration(r.router.dispatcher.expectedWait(&shardRequest{}, 0))
	require(t, wait < 200*ms, "expected wait %v", wait)
	require(t, r.violation == "", "%s", r.violation)
}

// Where there is a budget its count begins with the broker's start, and it is kept from the first shard request on.
func TestBudgetAppliesFromFirstShardRequest(t *testing.T) {
	settings := smallSettings()
	settings.ExtraAttemptsMin = 1
	settings.ExtraAttemptsShare = 0.1
	settings.ExtraAttemptsWindow = 2 * time.Second
	r := newRig(settings, 4)
	for i, want := range []int{1, 0} {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		require(t, len(r.order) == 1, "query %d: %d shard requests out", i, len(r.order))
		r.endAttempt(r.order[0], decision.ConnectFailed)
		r.step(5 * ms)
		require(t, len(r.inFlight) == want && r.violation == "", "query %d: %d sent further: %s", i, len(r.inFlight), r.violation)
		for _, k := range r.order {
			r.endAttempt(k, decision.OK)
		}
		r.step(5 * ms)
	}
}

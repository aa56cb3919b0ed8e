package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// newUnconfirmedRig returns a rig whose nodes are all unconfirmed.
func newUnconfirmedRig(t decision.Settings, nodes int) *rig {
	r := newRig(t, nodes)
	for i := range nodes {
		r.list(decision.ListUpdateReceived, decision.Endpoint{Node: nodeID(i), Cell: i % t.Cells, State: decision.Ready,
			StartedAt: decision.StartedLongAgo, Unconfirmed: true})
	}
	r.step(5 * ms)
	return r
}

// An unconfirmed node gets one call at a time. Further shard requests wait for its answer, and none of them is lost or shed.
func TestUnconfirmedNodeHasOneCallInFlight(t *testing.T) {
	settings := smallSettings()
	settings.Cells = 1
	settings.BrokerCount = 1
	settings.OverloadAfter = 2 * time.Second
	r := newUnconfirmedRig(settings, 2)
	for range 6 {
		r.query(0, 3*time.Second, 0)
	}
	r.step(5 * ms)
	require(t, len(r.order) == 2, "%d calls in flight, want one for each of two nodes", len(r.order))
	for range 100 {
		r.endAttempts(decision.OK, 20*ms, nil)
		r.step(5 * ms)
	}
	require(t, len(r.queries) == 0 && r.violation == "", "%d queries not answered, %s", len(r.queries), r.violation)
}

// The window of an unconfirmed node grows with each answer and shrinks after a failure. The node counts as confirmed when it has answered
// and the warm-up time has passed.
func TestConfirmationWindow(t *testing.T) {
	settings := smallSettings()
	settings.Cells = 1
	settings.BrokerCount = 1
	settings.OverloadAfter = 2 * time.Second
	r := newUnconfirmedRig(settings, 1)
	e := &r.router.dispatcher.endpoints.all[0]
	for i := range 8 {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		require(t, len(r.order) == 1, "query %d: %d calls in flight, want 1", i, len(r.order))
		r.step(20 * ms)
		r.endAttempts(decision.OK, 0, nil)
		r.step(5 * ms)
	}
	require(t, e.confirmation.window == 3, "window %v after eight answers, want 3", e.confirmation.window)
	r.query(0, 3*time.Second, 0)
	r.step(5 * ms)
	r.endAttempts(decision.ConnectFailed, 0, nil)
	r.step(5 * ms)
	require(t, e.confirmation.window == 1.5, "window %v after a failure, want 1.5", e.confirmation.window)
	r.step(settings.WarmUpTime)
	for range 3 {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		r.step(20 * ms)
		r.endAttempts(decision.OK, 0, nil)
		r.step(5 * ms)
	}
	require(t, e.confirmation.since == 0, "still unconfirmed after %v", r.now)
}

// Many brokers spread their first calls over time, so that these alone do not overload a node. A few brokers send theirs at once.
func TestFirstCallsOfManyBrokersAreSpread(t *testing.T) {
	for brokers, within := range map[int][2]int{2: {200, 200}, 300: {0, 20}} {
		sent := 0
		for seed := range 200 {
			settings := smallSettings()
			settings.Cells = 1
			settings.BrokerCount = brokers
			settings.Seed = uint64(seed)
			settings.OverloadAfter = 2 * time.Second
			r := newUnconfirmedRig(settings, 1)
			r.query(0, 3*time.Second, 0)
			r.step(5 * ms)
			sent += len(r.order)
		}
		require(t, sent >= within[0] && sent <= within[1], "%d of %d brokers sent their first call at once", sent, 200)
	}
}

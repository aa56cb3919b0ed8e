package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Where health checks are allowed, a first attempt waits for a replica that answers one, and without such an answer is sent after
// maxHealthCheckWait (scenarios memphis-main, sillon-casa).
func TestReplicasAreHealthChecked(t *testing.T) {
	settings := smallSettings()
	settings.HealthChecksAllowed = true
	for _, answers := range []bool{true, false} {
		r := newRig(settings, 6)
		r.query(0, 3*time.Second, 0)
		a := r.step(5 * ms)
		require(t, len(actionsOf(a, decision.SendAttempt)) == 0 && len(actionsOf(a, decision.SendHealthCheck)) == 3,
			"not exactly health checks to the three replicas: %v", a)
		answering := r.healthChecks[1]
		if answers {
			r.endHealthChecks(decision.OK, func(id decision.NodeID) bool { return id == answering })
			a = r.step(5 * ms)
			require(t, len(actionsOf(a, decision.SendAttempt)) == 1 && a[0].Node == answering, "not sent to the replica that answered: %v", a)
			r.endAttempts(decision.OK, 0, nil)
			r.step(5 * ms)
			r.query(0, 3*time.Second, 0)
			a = r.step(5 * ms)
			require(t, len(actionsOf(a, decision.SendHealthCheck)) == 0 && len(actionsOf(a, decision.SendAttempt)) == 1,
				"not sent at once to the replica that has just answered: %v", a)
			continue
		}
		for r.now < 5*ms+maxHealthCheckWait {
			require(t, len(r.order) == 0, "sent at %v, before a replica answered or the wait was over", r.now)
			r.step(5 * ms)
		}
		require(t, len(r.order) == 1 && r.violation == "", "not sent after the wait; violation: %q", r.violation)
	}
}

// In a ring each node is a cell of its own. A node that does not answer health checks is avoided for all the shards that it holds.
func TestUnresponsiveNodeInRingIsAvoided(t *testing.T) {
	settings := smallSettings()
	settings.HealthChecksAllowed = true
	settings.Cells = 9
	settings.CellsPerShard = 3
	r := newRig(settings, 9)
	unresponsive := nodeID(4)
	for i := range 200 {
		r.query(0, 3*time.Second, i%9, (i+1)%9)
		for range 4 {
			r.endHealthChecks(decision.TimedOut, func(id decision.NodeID) bool { return id == unresponsive })
			r.endHealthChecks(decision.OK, func(decision.NodeID) bool { return true })
			r.endAttempts(decision.OK, 40*ms, nil)
			r.step(20 * ms)
		}
		r.step(500 * ms)
	}
	require(t, len(r.sends[unresponsive]) < len(r.sends[nodeID(7)])/4 && r.violation == "",
		"%d attempts sent to a node that answers no health check, %d to another; violation: %q",
		len(r.sends[unresponsive]), len(r.sends[nodeID(7)]), r.violation)
}

// A query that has lost more shard requests than the budget allows to retry is shed at once, with a time to retry after. The remaining
// budget is kept for a query that it can save.
func TestQueryBeyondBudgetIsShed(t *testing.T) {
	settings := smallSettings()
	settings.ExtraAttemptsMin = 2
	settings.ExtraAttemptsWindow = 10 * time.Second
	r := newRig(settings, 12)
	r.query(0, 3*time.Second, 0, 1, 2, 3)
	r.step(5 * ms)
	for _, k := range r.order[:3] {
		r.endAttempt(k, decision.ConnectFailed)
	}
	a := r.step(5 * ms)
	shed := actionsOf(a, decision.ShedQuery)
	require(t, len(shed) == 1 && shed[0].RetryAfter > 0 && len(actionsOf(a, decision.SendAttempt)) == 0, "not shed at once: %v", a)
	r.step(5 * ms)
	r.query(0, 3*time.Second, 0, 1)
	r.step(5 * ms)
	for _, k := range r.order {
		r.endAttempt(k, decision.ConnectFailed)
	}
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 2 && r.violation == "", "the next query's shard requests were not retried; violation: %q", r.violation)
}

// The first of two phases ends early enough to leave time for the second, and the second phase is not shed.
func TestFirstPhaseLeavesTimeForSecond(t *testing.T) {
	settings := smallSettings()
	settings.QueryTypes[1].SecondPhaseRequests = 2
	r := newRig(settings, 6)
	r.query(1, 4*time.Second, 0, 1)
	r.step(0)
	r.endAttempt(r.order[0], decision.OK)
	reserve := r.router.dispatcher.latency.p95
	for len(actionsOf(r.actions, decision.AnswerQuery)) == 0 && r.now < 3*time.Second {
		r.step(5 * ms)
	}
	require(t, r.now <= 2*time.Second-deadlineMargin-reserve+5*ms, "the first phase ended at %v", r.now)
	r.router.dispatcher.shardLatencies[0] = shardLatency{perCall: float64(20 * time.Second), updatedAt: r.now}
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 2, "the shard requests of the second phase were not sent")
	r.endAttempts(decision.OK, 0, nil)
	a := actionsOf(r.step(5*ms), decision.AnswerQuery)
	require(t, len(a) == 1 && !a[0].Complete && r.violation == "", "not exactly one partial answer: %v; violation: %q", a, r.violation)
}

// An idempotency-keyed shard request is hedged within its idempotency window, in which nodes drop repeats, and not after.
func TestIdempotencyKeyedHedges(t *testing.T) {
	for _, window := range []time.Duration{time.Second, 100 * ms} {
		settings := smallSettings()
		settings.QueryTypes[0].Idempotency = decision.IdempotencyKeyed
		settings.QueryTypes[0].IdempotencyWindow = window
		r := newRig(settings, 6)
		r.query(0, 3*time.Second, 0)
		r.step(0)
		r.step(600 * ms)
		require(t, (len(r.order) == 2) == (window == time.Second) && r.violation == "",
			"%d attempts in flight, idempotency window %v; violation: %q", len(r.order), window, r.violation)
	}
}

// When a reconfiguration adds a budget of extra attempts, its minimum is not granted on top of what was sent before.
func TestBudgetAddedByReconfigure(t *testing.T) {
	settings := smallSettings()
	r := newRig(settings, 6)
	r.settings.ExtraAttemptsMin = 3
	r.settings.ExtraAttemptsWindow = 2 * time.Second
	r.router.Reconfigure(r.settings, false)
	for i, want := range []int{0, 1} {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		for _, k := range r.order {
			r.endAttempt(k, decision.ConnectFailed)
		}
		n := len(actionsOf(r.step(5*ms), decision.SendAttempt))
		require(t, n == want && r.violation == "", "query %d: %d extra attempts sent; violation: %q", i, n, r.violation)
		r.step(2500 * ms)
	}
}

package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Where nodes may be health-checked, a shard request waits for a replica that shows life, and goes all the same once it has waited for long
// (memphis-main, sillon-casa).
func TestReplicasAreHealthChecked(t *testing.T) {
	settings := smallSettings()
	settings.HealthChecksAllowed = true
	for _, answers := range []bool{true, false} {
		r := newRig(settings, 6)
		r.query(0, 3*time.Second, 0)
		a := r.step(5 * ms)
		require(t, len(actionsOf(a, decision.SendAttempt)) == 0 && len(actionsOf(a, decision.SendHealthCheck)) == 3,
			"health checks to the three replicas: %v", a)
		answering := r.healthChecks[1]
		if answers {
			r.endHealthChecks(decision.OK, func(id decision.NodeID) bool { return id == answering })
			a = r.step(5 * ms)
			require(t, len(actionsOf(a, decision.SendAttempt)) == 1 && a[0].Node == answering, "sent to the one that answered: %v", a)
			r.endAttempts(decision.OK, 0, nil)
			r.step(5 * ms)
			r.query(0, 3*time.Second, 0)
			a = r.step(5 * ms)
			require(t, len(actionsOf(a, decision.SendHealthCheck)) == 0 && len(actionsOf(a, decision.SendAttempt)) == 1,
				"it has just answered: %v", a)
			continue
		}
		for r.now < 5*ms+maxAwaitCheck {
			require(t, len(r.order) == 0, "sent at %v, before any replica answered", r.now)
			r.step(5 * ms)
		}
		require(t, len(r.order) == 1 && r.violation == "", "sent once it has waited: %s", r.violation)
	}
}

// In a ring each node is a cell of its own; one that leaves health checks unanswered is avoided by all shards that it holds.
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
		"%d sent to a node that answers no health check, %d to another: %s",
		len(r.sends[unresponsive]), len(r.sends[nodeID(7)]), r.violation)
}

// A query that lacks more shard requests than the budget lets be sent again gets its answer at once, with a time to come back, and what is
// left of the budget goes to one that it can save.
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
	require(t, len(shed) == 1 && shed[0].RetryAfter > 0 && len(actionsOf(a, decision.SendAttempt)) == 0, "given up at once: %v", a)
	r.step(5 * ms)
	r.query(0, 3*time.Second, 0, 1)
	r.step(5 * ms)
	for _, k := range r.order {
		r.endAttempt(k, decision.ConnectFailed)
	}
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 2 && r.violation == "", "the next one is sent again: %s", r.violation)
}

// The first of two phases ends early enough for the second, and the second is not shed.
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
	require(t, r.now <= 2*time.Second-deadlineMargin-reserve+5*ms, "the first step ended at %v", r.now)
	r.router.dispatcher.shardLatencies[0] = shardLatency{perCall: float64(20 * time.Second), at: r.now}
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 2, "the second step is sent")
	r.endAttempts(decision.OK, 0, nil)
	a := actionsOf(r.step(5*ms), decision.AnswerQuery)
	require(t, len(a) == 1 && !a[0].Complete && r.violation == "", "its answer: %v %s", a, r.violation)
}

// A idempotency-keyed shard request is hedged while repeats of it are dropped, and not after.
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
			"%d in flight, window %v: %s", len(r.order), window, r.violation)
	}
}

// A budget that comes into force while queries run does not give its stated few beside what was sent before.
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
		require(t, n == want && r.violation == "", "query %d: %d sent further: %s", i, n, r.violation)
		r.step(2500 * ms)
	}
}

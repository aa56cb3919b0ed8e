package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

func TestCompleteAtOnceAndPartialAtDeadline(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.query(1, 4*time.Second, 0, 1, 2)
	require(t, len(actionsOf(r.step(0), decision.SendAttempt)) == 3, "three shard requests are sent at once")
	r.endAttempts(decision.OK, 0, nil)
	a := actionsOf(r.step(100*ms), decision.AnswerQuery)
	require(t, len(a) == 1 && a[0].Complete, "complete answer expected: %v", a)
	r.query(1, 4*time.Second, 0, 1, 2)
	r.step(0)
	r.endAttempt(r.order[0], decision.OK)
	r.endAttempt(r.order[1], decision.OK)
	for end := r.now + 2*time.Second - deadlineMargin; r.now < end; {
		require(t, len(a) == 1, "answered at %v, before the deadline", r.now)
		a = append(a, actionsOf(r.step(5*ms), decision.AnswerQuery)...)
	}
	require(t, len(a) == 2 && !a[1].Complete && r.violation == "", "partial answer expected: %v %s", a, r.violation)
}

// A query that can't be answered any more is not held.
func TestUnanswerableQueryIsShedAtOnce(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.query(0, 3*time.Second, 0, 1)
	r.step(0)
	r.list(decision.FullListReceived)
	r.endAttempts(decision.ConnectionReset, 0, nil)
	a := actionsOf(r.step(5*ms), decision.ShedQuery)
	require(t, len(a) == 1 && a[0].RetryAfter > 0, "a shed with a time to come back expected: %v", a)
	r.query(0, 3*time.Second, 0, 1)
	actions := r.step(5 * ms)
	require(t, len(actionsOf(actions, decision.SendAttempt)) == 0 && len(r.queries) == 0, "no replica: shed before any work")
}

func TestManyQueriesWithLittleTime(t *testing.T) {
	r := newRig(smallSettings(), 6)
	for i := range 4000 {
		r.query(i%2, time.Duration(i%50)*ms, 0, 1)
	}
	for range 20 {
		r.step(5 * ms)
	}
	require(t, r.violation == "" && len(r.queries) == 0, "%d left: %s", len(r.queries), r.violation)
}

func TestHedgeAtP95AndLoserCancelled(t *testing.T) {
	settings := smallSettings()
	settings.QueryTypes[1].Idempotency = decision.NonIdempotent
	r := newRig(settings, 6)
	r.query(0, 3*time.Second, 0)
	first := actionsOf(r.step(0), decision.SendAttempt)[0]
	for r.now < 495*ms {
		require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 0, "hedged at %v, before half the latency objective", r.now)
	}
	second := actionsOf(r.step(5*ms), decision.SendAttempt)
	require(t, len(second) == 1 && second[0].Node != first.Node, "a hedge at another node expected")
	r.endAttempt(attemptKey{first.ID, 1}, decision.OK)
	actions := r.step(5 * ms)
	c := actionsOf(actions, decision.CancelAttempt)
	require(t, len(c) == 1 && c[0].Attempt == 0 && len(actionsOf(actions, decision.AnswerQuery)) == 1, "the loser is cancelled")

	// Hedges in a general slowdown join the crowd (kisumu-leases big-1).
	d := &r.router.dispatcher.latency
	d.known = true
	d.p50 = 300 * ms
	d.p95 = 350 * ms
	d.lowPoint = 100 * ms
	r.query(0, 3*time.Second, 0)
	for end := r.now + 395*ms; r.now < end; {
		require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) <= 1, "hedged at %v", r.now)
	}
	r.router.dispatcher.latency.lowPoint = d.p50
	r.query(1, 4*time.Second, 0)
	r.step(0)
	r.step(time.Second)
	require(t, len(r.inFlight) == 3 && r.violation == "", "a hedge of the idempotent shard request alone: %d in flight, %s",
		len(r.inFlight), r.violation)
}

func TestOneRetryWithinCredit(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.query(0, 3*time.Second, 0)
	first := actionsOf(r.step(0), decision.SendAttempt)[0]
	r.endAttempts(decision.Errored, 0, nil)
	retry := actionsOf(r.step(5*ms), decision.SendAttempt)
	require(t, len(retry) == 1 && retry[0].Node != first.Node, "a retry elsewhere expected")
	r.endAttempts(decision.Errored, 0, nil)
	require(t, len(actionsOf(r.step(5*ms), decision.ShedQuery)) == 1, "after one retry it is given up")
	r.router.dispatcher.extraBudget.credit = 0
	r.query(0, 3*time.Second, 0)
	r.step(5 * ms)
	r.endAttempts(decision.Errored, 0, nil)
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 0, "no retry without credit")
}

func TestFewestCallsInFlight(t *testing.T) {
	settings := smallSettings()
	settings.MaxBatch = 8
	r := newRig(settings, 6)
	r.query(0, 3*time.Second, 0, 2, 0)
	at := actionsOf(r.step(5*ms), decision.SendAttempt)[0].Node
	require(t, len(r.sends[at]) == 3, "shard requests held by the same nodes share one call")
	for range 2 {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
	}
	require(t, len(r.sends) == 3, "calls spread evenly over the three replicas: %v", r.sends)
}

// Queries past their deadline give their places back while the table is crowded (incident ib51c67).
func TestCrowdedTable(t *testing.T) {
	settings := smallSettings()
	settings.MaxInFlight = 20
	r := newRig(settings, 6)
	for range 8 {
		r.query(0, 3*time.Second, 0)
	}
	r.step(0)
	r.step(970 * ms)
	require(t, len(r.queries) == 0, "%d late queries still held", len(r.queries))
}

// Where the replicas of a shard are crowded, queries that need it are shed; it is left out where an answer may be partial, and is tried
// again without news: shedding must not feed on itself (incident i9c5150).
func TestCrowdedReplicas(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.step(5 * time.Second)
	r.router.dispatcher.shardLatencies[0] = shardLatency{perCall: float64(20 * time.Second), at: r.now}
	r.query(0, 3*time.Second, 0, 1)
	require(t, len(actionsOf(r.step(0), decision.ShedQuery)) == 1, "shed while replicas that it needs are slow")
	r.query(1, 4*time.Second, 0, 1)
	require(t, len(actionsOf(r.step(0), decision.SendAttempt)) == 1, "the shard request to crowded replicas is left out")
	r.endAttempts(decision.OK, 0, nil)
	r.query(0, 3*time.Second, 0, 1)
	require(t, len(actionsOf(r.step(25*time.Second), decision.SendAttempt)) == 2, "taken once the news is old")
}

// Replicas whose attempts are cancelled unanswered are known to be slow (kisumu-leases-later big-1).
func TestCancelledAttemptsCountInLatency(t *testing.T) {
	r := newRig(smallSettings(), 6)
	for range 3 {
		r.query(0, 1200*ms, 0)
		r.step(0)
		r.step(1200 * ms)
	}
	r.query(0, 800*ms, 0)
	r.query(0, 800*ms, 1)
	require(t, len(actionsOf(r.step(0), decision.SendAttempt)) == 1 && r.violation == "", "only the other shard is asked: %s", r.violation)
}

// What the client of a retry has spent shows in its remaining time; a longer one does not hide it (incident ica07b0).
func TestClientRetries(t *testing.T) {
	r := newRig(smallSettings(), 6)
	for i, remaining := range []time.Duration{2500, 2500, 2900, 2500, 2500, 1200} {
		id := r.query(0, remaining*ms, 0)
		r.step(5 * ms)
		ref, ok := r.router.dispatcher.queries.find(id)
		require(t, ok, "query %d not in flight", i)
		spent := r.router.dispatcher.queries.slots[ref.slot].clientTimeSpent
		want := []time.Duration{0, 1800 * ms}[i/5]
		require(t, spent == want, "query %d: spent %v", i, spent)
	}
}

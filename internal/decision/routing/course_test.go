package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

func TestCompleteAtOnceAndPartialAtDeadline(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.query(1, 4*time.Second, 0, 1, 2)
	require(t, len(actionsOf(r.step(0), decision.SendAttempt)) == 3, "the three shard requests were not sent at once")
	r.endAttempts(decision.OK, 0, nil)
	a := actionsOf(r.step(100*ms), decision.AnswerQuery)
	require(t, len(a) == 1 && a[0].Complete, "no complete answer: %v", a)
	r.query(1, 4*time.Second, 0, 1, 2)
	r.step(0)
	r.endAttempt(r.order[0], decision.OK)
	r.endAttempt(r.order[1], decision.OK)
	for end := r.now + 2*time.Second - deadlineMargin; r.now < end; {
		require(t, len(a) == 1, "answered at %v, before the deadline", r.now)
		a = append(a, actionsOf(r.step(5*ms), decision.AnswerQuery)...)
	}
	require(t, len(a) == 2 && !a[1].Complete && r.violation == "", "no partial answer at the deadline: %v; violation: %q", a, r.violation)
}

// A query that can no longer be answered is shed at once.
func TestUnanswerableQueryIsShedAtOnce(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.query(0, 3*time.Second, 0, 1)
	r.step(0)
	r.list(decision.FullListReceived)
	r.endAttempts(decision.ConnectionReset, 0, nil)
	a := actionsOf(r.step(5*ms), decision.ShedQuery)
	require(t, len(a) == 1 && a[0].RetryAfter > 0, "not shed with a time to retry after: %v", a)
	r.query(0, 3*time.Second, 0, 1)
	actions := r.step(5 * ms)
	require(t, len(actionsOf(actions, decision.SendAttempt)) == 0 && len(r.queries) == 0, "a query without any replica was not shed before any attempt")
}

func TestManyQueriesWithLittleTime(t *testing.T) {
	r := newRig(smallSettings(), 6)
	for i := range 4000 {
		r.query(i%2, time.Duration(i%50)*ms, 0, 1)
	}
	for range 20 {
		r.step(5 * ms)
	}
	require(t, r.violation == "" && len(r.queries) == 0, "%d queries without a result; violation: %q", len(r.queries), r.violation)
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
	require(t, len(second) == 1 && second[0].Node != first.Node, "no hedge at another node after half the latency objective")
	r.endAttempt(attemptKey{first.ID, 1}, decision.OK)
	actions := r.step(5 * ms)
	c := actionsOf(actions, decision.CancelAttempt)
	require(t, len(c) == 1 && c[0].Attempt == 0 && len(actionsOf(actions, decision.AnswerQuery)) == 1, "the other attempt was not cancelled, or the query not answered")

	// In a general slowdown hedges would only add to the queues (scenario kisumu-leases big-1).
	d := &r.router.dispatcher.latency
	d.known = true
	d.p50 = 300 * ms
	d.p95 = 350 * ms
	d.lowPoint = 100 * ms
	r.query(0, 3*time.Second, 0)
	for end := r.now + 395*ms; r.now < end; {
		require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) <= 1, "hedged while all replicas are slow, at %v", r.now)
	}
	r.router.dispatcher.latency.lowPoint = d.p50
	r.query(1, 4*time.Second, 0)
	r.step(0)
	r.step(time.Second)
	require(t, len(r.inFlight) == 3 && r.violation == "", "not exactly the idempotent shard request is hedged: %d in flight; violation: %q",
		len(r.inFlight), r.violation)
}

func TestOneRetryWithinCredit(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.query(0, 3*time.Second, 0)
	first := actionsOf(r.step(0), decision.SendAttempt)[0]
	r.endAttempts(decision.Errored, 0, nil)
	retry := actionsOf(r.step(5*ms), decision.SendAttempt)
	require(t, len(retry) == 1 && retry[0].Node != first.Node, "no retry at another node")
	r.endAttempts(decision.Errored, 0, nil)
	require(t, len(actionsOf(r.step(5*ms), decision.ShedQuery)) == 1, "not shed after its one retry failed")
	r.router.dispatcher.extraBudget.credit = 0
	r.query(0, 3*time.Second, 0)
	r.step(5 * ms)
	r.endAttempts(decision.Errored, 0, nil)
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 0, "retried without credit")
}

func TestFewestCallsInFlight(t *testing.T) {
	settings := smallSettings()
	settings.MaxBatch = 8
	r := newRig(settings, 6)
	r.query(0, 3*time.Second, 0, 2, 0)
	at := actionsOf(r.step(5*ms), decision.SendAttempt)[0].Node
	require(t, len(r.sends[at]) == 3, "shard requests to the same nodes do not share a call")
	for range 2 {
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
	}
	require(t, len(r.sends) == 3, "calls are not spread evenly over the three replicas: %v", r.sends)
}

// While the query table is crowded, queries past their deadline end and free their slots (incident ib51c67).
func TestCrowdedTable(t *testing.T) {
	settings := smallSettings()
	settings.MaxInFlight = 20
	r := newRig(settings, 6)
	for range 8 {
		r.query(0, 3*time.Second, 0)
	}
	r.step(0)
	r.step(970 * ms)
	require(t, len(r.queries) == 0, "%d queries past their deadline are still in flight", len(r.queries))
}

// Where the replicas of a shard are crowded, queries that need the shard are shed; it is left out of queries that may be answered in
// part. Once the measured latency is old the shard is tried again, as shedding would otherwise never end (incident i9c5150).
func TestCrowdedReplicas(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.step(5 * time.Second)
	r.router.dispatcher.shardLatencies[0] = shardLatency{perCall: float64(20 * time.Second), updatedAt: r.now}
	r.query(0, 3*time.Second, 0, 1)
	require(t, len(actionsOf(r.step(0), decision.ShedQuery)) == 1, "not shed while replicas that it needs are slow")
	r.query(1, 4*time.Second, 0, 1)
	require(t, len(actionsOf(r.step(0), decision.SendAttempt)) == 1, "the shard request to crowded replicas was not left out")
	r.endAttempts(decision.OK, 0, nil)
	r.query(0, 3*time.Second, 0, 1)
	require(t, len(actionsOf(r.step(25*time.Second), decision.SendAttempt)) == 2, "not sent though the measured latency is old")
}

// Attempts that are cancelled without an answer count towards the latency of their replicas (scenario kisumu-leases-later big-1).
func TestCancelledAttemptsCountInLatency(t *testing.T) {
	r := newRig(smallSettings(), 6)
	for range 3 {
		r.query(0, 1200*ms, 0)
		r.step(0)
		r.step(1200 * ms)
	}
	r.query(0, 800*ms, 0)
	r.query(0, 800*ms, 1)
	require(t, len(actionsOf(r.step(0), decision.SendAttempt)) == 1 && r.violation == "", "not exactly the query to the other shard was sent; violation: %q", r.violation)
}

// The time that a client has spent before a retry is derived from the query's remaining time, compared with the usual one. A single
// query with a longer remaining time does not change that (incident ica07b0).
func TestClientRetries(t *testing.T) {
	r := newRig(smallSettings(), 6)
	for i, remaining := range []time.Duration{2500, 2500, 2900, 2500, 2500, 1200} {
		id := r.query(0, remaining*ms, 0)
		r.step(5 * ms)
		ref, ok := r.router.dispatcher.queries.find(id)
		require(t, ok, "query %d not in flight", i)
		clientTimeSpent := r.router.dispatcher.queries.slots[ref.slot].clientTimeSpent
		want := []time.Duration{0, 1800 * ms}[i/5]
		require(t, clientTimeSpent == want, "query %d: client has spent %v before", i, clientTimeSpent)
	}
}

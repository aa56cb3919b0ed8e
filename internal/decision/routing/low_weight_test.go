package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// sendSkewedQuery sends a query of the second type whose shard requests have weights 0.7, 0.2, 0.05 and 0.05, and returns how many
// attempts are sent.
func sendSkewedQuery(r *rig) int {
	r.query(1, r.settings.QueryTypes[1].Timeout, 0, 1, 0, 1)
	for i, w := range []float64{0.7, 0.2, 0.05, 0.05} {
		e := &r.events[len(r.events)-4+i]
		e.Weight = w
		r.requests[e.ID].weight = w
	}
	return len(actionsOf(r.step(5*ms), decision.SendAttempt))
}

// answerQueriesAfter sends 60 queries of the first type, each answered after the duration took, so that the router learns this latency.
func answerQueriesAfter(r *rig, took time.Duration) {
	for range 60 {
		r.query(0, r.settings.QueryTypes[0].Timeout, 0, 1)
		r.step(5 * ms)
		r.step(took - 10*ms)
		r.endAttempts(decision.OK, took-10*ms, nil)
		r.step(5 * ms)
	}
}

// While replicas are crowded, a query that may be answered partially drops its shard requests of low weight; otherwise it drops none.
func TestLowWeightRequestsGiveWay(t *testing.T) {
	r := newRig(smallSettings(), 4)
	answerQueriesAfter(r, 100*ms)
	require(t, sendSkewedQuery(r) == 4, "some shard requests are not sent though replicas are not crowded")
	r.step(100 * ms)
	r.endAttempts(decision.OK, 100*ms, nil)
	r.step(5 * ms)
	answerQueriesAfter(r, 550*ms)
	sent := sendSkewedQuery(r)
	require(t, sent == 2, "%d shard requests sent though replicas are crowded, want the two of high weight", sent)
	require(t, r.violation == "", "%s", r.violation)
}

// Of a query that may be answered partially, a slow shard request of high weight is hedged, and those of low weight are not.
func TestLowWeightRequestsAreNotHedged(t *testing.T) {
	r := newRig(smallSettings(), 4)
	answerQueriesAfter(r, 100*ms)
	r.router.dispatcher.extraBudget.credit = maxCredit // the queries before have spent some
	require(t, sendSkewedQuery(r) == 4, "some shard requests are not sent")
	hedges := map[uint64]int{}
	for range 300 {
		for _, a := range actionsOf(r.step(5*ms), decision.SendAttempt) {
			hedges[a.ID]++
		}
	}
	require(t, len(hedges) == 1, "%d shard requests hedged, want the one of more than the mean weight", len(hedges))
	for id := range hedges {
		require(t, r.requests[id].weight == 0.7, "a shard request of weight %v is hedged", r.requests[id].weight)
	}
	require(t, r.violation == "", "%s", r.violation)
}

// A query with little time left is shed if replicas are crowded, and sent if it can be answered in time.
func TestShortTimeoutIsNotOverload(t *testing.T) {
	settings := smallSettings()
	settings.ClientsMarkRetries = true
	r := newRig(settings, 4)
	answerQueriesAfter(r, 100*ms)
	id := r.query(0, 170*ms, 0, 1) // needs both shard requests, whatever their weights
	for i, w := range []float64{0.9, 0.1} {
		r.events[len(r.events)-2+i].Weight, r.requests[r.queries[id].requests[i]].weight = w, w
	}
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 2, "a query with little time left is shed though the nodes are idle")
	r.step(100 * ms)
	r.endAttempts(decision.OK, 100*ms, nil)
	r.step(5 * ms)
	answerQueriesAfter(r, 200*ms)
	r.query(0, 270*ms, 0, 1)
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 0, "a query with little time left is sent though the nodes are crowded")
	require(t, r.violation == "", "%s", r.violation)
}

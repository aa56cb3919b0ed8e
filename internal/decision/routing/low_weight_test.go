package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// skewed asks for a query of the second type, whose shard requests count 70, 20, 5 and 5 in a hundred, and returns how many are sent.
func sendSkewedQuery(r *rig) int {
	r.query(1, r.settings.QueryTypes[1].Timeout, 0, 1, 0, 1)
	for i, w := range []float64{0.7, 0.2, 0.05, 0.05} {
		e := &r.events[len(r.events)-4+i]
		e.Weight = w
		r.requests[e.ID].weight = w
	}
	return len(actionsOf(r.step(5*ms), decision.SendAttempt))
}

// teach has many queries of the first type answered after a time.
func answerQueriesAfter(r *rig, took time.Duration) {
	for range 60 {
		r.query(0, r.settings.QueryTypes[0].Timeout, 0, 1)
		r.step(5 * ms)
		r.step(took - 10*ms)
		r.endAttempts(decision.OK, took-10*ms, nil)
		r.step(5 * ms)
	}
}

// A query that may be partial leaves out what counts least while shard requests wait long everywhere, and nothing while they do not.
func TestLowWeightRequestsGiveWay(t *testing.T) {
	r := newRig(smallSettings(), 4)
	answerQueriesAfter(r, 100*ms)
	require(t, sendSkewedQuery(r) == 4, "calm: some shard requests are left out")
	r.step(100 * ms)
	r.endAttempts(decision.OK, 100*ms, nil)
	r.step(5 * ms)
	answerQueriesAfter(r, 550*ms)
	sent := sendSkewedQuery(r)
	require(t, sent == 2, "crowded: %d shard requests sent, want the two heavy ones", sent)
	require(t, r.violation == "", "%s", r.violation)
}

// The heavy shard request of a query that may be partial is hedged when it is slow; the light ones are not.
func TestLowWeightRequestsAreNotHedged(t *testing.T) {
	r := newRig(smallSettings(), 4)
	answerQueriesAfter(r, 100*ms)
	r.router.dispatcher.extraBudget.credit = maxCredit // the lessons have used some
	require(t, sendSkewedQuery(r) == 4, "some shard requests are left out")
	hedges := map[uint64]int{}
	for range 300 {
		for _, a := range actionsOf(r.step(5*ms), decision.SendAttempt) {
			hedges[a.ID]++
		}
	}
	require(t, len(hedges) == 1, "%d shard requests hedged, want the one that counts more than the mean", len(hedges))
	for id := range hedges {
		require(t, r.requests[id].weight == 0.7, "a shard request of weight %v is hedged", r.requests[id].weight)
	}
	require(t, r.violation == "", "%s", r.violation)
}

// A client with little time left is rejected where nodes are crowded, and not where it can be answered.
func TestShortTimeoutIsNotOverload(t *testing.T) {
	settings := smallSettings()
	settings.ClientsMarkRetries = true
	r := newRig(settings, 4)
	answerQueriesAfter(r, 100*ms)
	id := r.query(0, 170*ms, 0, 1) // it needs both shard requests, however little one of them counts
	for i, w := range []float64{0.9, 0.1} {
		r.events[len(r.events)-2+i].Weight, r.requests[r.queries[id].requests[i]].weight = w, w
	}
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 2, "shed though the nodes are idle")
	r.step(100 * ms)
	r.endAttempts(decision.OK, 100*ms, nil)
	r.step(5 * ms)
	answerQueriesAfter(r, 200*ms)
	r.query(0, 270*ms, 0, 1)
	require(t, len(actionsOf(r.step(5*ms), decision.SendAttempt)) == 0, "not shed though the nodes are crowded")
	require(t, r.violation == "", "%s", r.violation)
}

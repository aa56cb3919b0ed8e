package server

// Runs orders of arrivals, departures and deadlines of queries that admission queues, with and without a step of the loop between them.

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// doorRun is a loop with admission whose router answers a query when it is told to.
type doorRun struct {
	loop      *loop
	now       time.Duration
	submitted int
	open      []*doorQuery // without a result, and their clients have not left
	answers   []uint64     // ids of queries that the router answers in its next step
}

// doorQuery is a query of a doorRun.
type doorQuery struct {
	*activeQuery
	results int
	left    bool // its client has left
}

// Step answers the queries that are to be answered.
func (r *doorRun) Step(_ time.Duration, _ []decision.Event, out []decision.Action) []decision.Action {
	for _, id := range r.answers {
		out = append(out, decision.Action{Kind: decision.AnswerQuery, ID: id, Complete: true})
	}
	r.answers = nil
	return out
}

func newDoorRun(t testing.TB, maxWaiting, maxInFlight int) *doorRun {
	r := &doorRun{}
	r.loop = newLoop(time.Now(), r, &decision.Settings{MaxInFlight: maxInFlight, MaxBatch: 8})
	r.loop.clock = func() time.Duration { return r.now }
	r.loop.pool = store.NewPool(t.Context(), store.Limits{}, nil, r.loop.since, nil, nil, r.loop.attemptEnded)
	settings := operator.Default().Admission
	settings.MaxWaiting, settings.MinInFlight = maxWaiting, 1
	control, err := newAdmissionControl(&settings, &terms.Terms{})
	if err != nil {
		t.Fatal(err)
	}
	r.loop.useAdmission(control)
	return r
}

// submit submits a query of a client with a number of shard requests.
func (r *doorRun) submit(client uint64, shards int) *doorQuery {
	r.submitted++
	request := &query.Request{ID: fmt.Sprint("q", r.submitted), Client: client, Shards: make([]query.ShardRequest, shards)}
	q := &doorQuery{activeQuery: &activeQuery{Request: request, arrival: r.now, deadline: r.now + 5*time.Second}}
	q.onResult = func(query.Result) { q.results++ }
	r.open = append(r.open, q)
	r.loop.handle(queryReceived{q.activeQuery})
	return q
}

// end abandons a query.
func (r *doorRun) end(q *doorQuery, cause query.AbandonCause) {
	q.left = q.left || cause == query.ClientDeparted
	r.loop.handle(queryAbandoned{q.activeQuery, cause})
}

// Guards against a broker that ends when a queued query gives way to another and its client leaves before the next step.
func TestClientOfEvictedQueryLeaves(t *testing.T) {
	r := newDoorRun(t, 1, 100)
	r.submit(1, 4)
	r.loop.advance()
	queued := r.submit(1, 1)
	r.submit(2, 1)
	if queued.results != 1 {
		t.Errorf("a query that gave way to another has %d results before the next step, want 1", queued.results)
	}
	r.end(queued, query.ClientDeparted)
	r.loop.advance()
	if counts := r.loop.admission.State(r.now).Tenants[0]; counts.Rejected != 1 || counts.Queued != 1 {
		t.Errorf("%+v: no query gave way to another", counts)
	}
}

// In every order each query has one result or none after its client left, what admission and the loop hold agrees, and nothing is held in
// the end.
func TestOrdersOfQueuedQueries(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		r := newDoorRun(t, rapid.IntRange(1, 3).Draw(check, "queue"), rapid.SampledFrom([]int{12, 100}).Draw(check, "slots"))
		for range rapid.IntRange(1, 60).Draw(check, "events") {
			r.now += time.Duration(rapid.IntRange(0, 300).Draw(check, "ms")) * time.Millisecond
			r.apply(check)
			if rapid.Bool().Draw(check, "step") {
				r.loop.advance()
				r.check(check)
			}
		}
		for _, q := range r.open {
			r.end(q, query.DeadlinePassed)
		}
		for range 3 {
			r.loop.advance()
		}
		r.check(check)
		if state := r.loop.admission.State(r.now); r.loop.slotsUsed != 0 || r.loop.counters.InFlight != 0 || len(r.loop.requestIDs) != 0 ||
			state.InFlight > 1e-6 || len(r.loop.admission.waiting) != 0 {
			check.Fatalf("still held: %d slots, %d in flight, ids %v, %+v", r.loop.slotsUsed, r.loop.counters.InFlight, r.loop.requestIDs, state)
		}
	})
}

// apply draws one event.
func (r *doorRun) apply(check *rapid.T) {
	if len(r.open) == 0 || rapid.IntRange(0, 2).Draw(check, "event") > 0 {
		r.submit(uint64(rapid.IntRange(0, 4).Draw(check, "client")), rapid.IntRange(1, 5).Draw(check, "shards"))
		return
	}
	q := r.open[rapid.IntRange(0, len(r.open)-1).Draw(check, "query")]
	switch rapid.IntRange(0, 2).Draw(check, "end") {
	case 0:
		r.end(q, query.ClientDeparted)
	case 1:
		r.end(q, query.DeadlinePassed)
	default:
		r.answers = append(r.answers, q.id)
		r.loop.post(decision.Event{Kind: decision.TimerFired})
	}
}

// check fails if a query has two results or one after its client left, or if admission and the loop hold different queries.
func (r *doorRun) check(check *rapid.T) {
	open := r.open[:0]
	for _, q := range r.open {
		if q.results > 1 {
			check.Fatalf("query %s has %d results", q.Request.ID, q.results)
		}
		if q.results == 0 && !q.left {
			open = append(open, q)
		}
	}
	r.open = open
	queued := 0
	for _, counts := range r.loop.admission.State(r.now).Tenants {
		queued += counts.Queued
	}
	if waiting := len(r.loop.admission.waiting); waiting != queued {
		check.Fatalf("the loop holds %d queued queries, admission %d", waiting, queued)
	}
}

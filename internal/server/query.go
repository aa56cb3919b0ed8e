package server

import (
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/membudget"
	"flaxfront/internal/transport/store"
)

// activeQuery is a query in flight. Only the loop uses it, except through the methods of query.Pending.
type activeQuery struct {
	*query.Request
	arrival             time.Duration      // when the whole request had been received
	deadline            time.Duration      // when the client stops waiting
	connectionOverLimit bool               // its client's connection exceeds the limit on connections
	result              chan query.Result  // buffers one result, so that the loop never waits
	onResult            func(query.Result) // if set, gets the result instead, in the loop's goroutine
	server              *Server            // set where a client connection or a front waits for the result

	id       uint64 // the router's id of the query; its shard requests have the ids that follow
	done     bool
	sent     bool // an attempt may have left this broker
	requests []shardRequest
	// answerMemory holds the large values of answers, until the result is written, or the query has ended without one.
	answerMemory membudget.Account

	pin        *pinnedQuery // nil: the query has no read pin
	admission  admissionState
	forwarding forwardingState
}

// shardRequest is the part of a query that one shard answers.
type shardRequest struct {
	answered    bool
	value       string
	attempts    []*store.Subrequest // also those before the query was last submitted to the router
	submittedAt int                 // the number of attempts before that
}

// slots returns the number of slots that a query takes: one for itself and one for each shard request.
func (q *activeQuery) slots() int { return 1 + len(q.Request.Shards) }

// fromOtherSite reports whether a broker of another site sent the query.
func (q *activeQuery) fromOtherSite() bool { return q.forwarding.remote }

// receive passes a query to the router if there are slots for it and its shard requests and admission admits it at once.
func (l *loop) receive(q *activeQuery) {
	l.counters.Received++
	l.queryLog.received(q)
	if why, refused := l.refuses(q); refused {
		l.refuse(q, why)
		return
	}
	if !q.fromOtherSite() && !l.admit(q) {
		return
	}
	l.markInFlight(q)
	if !q.fromOtherSite() {
		l.gateway.queryAccepted()
	}
	l.submit(q, q.deadline-l.since())
}

// refuses reports whether a query can't be accepted, and why.
func (l *loop) refuses(q *activeQuery) (why refusal, refused bool) {
	switch {
	case l.requestIDs[q.Request.ID]:
		return duplicateID, true
	case !q.fromOtherSite() && l.usedIDs.Contains(q.Request.ID):
		return usedID, true
	case q.connectionOverLimit:
		return connectionOverLimit, true
	case !l.hasCapacity(q):
		return noSlot, true
	case !l.adaptToSettings(q.Request):
		return otherSettings, true
	}
	return "", false
}

// refuse delivers the result of a query that is not accepted.
func (l *loop) refuse(q *activeQuery, why refusal) {
	l.queryLog.refused(q, why)
	if why == duplicateID || why == usedID {
		l.deliverResult(q, query.Result{Outcome: query.Duplicate})
		return
	}
	l.counters.NoCapacity++
	l.deliverResult(q, l.shedResult())
}

// admit reports whether a client's query may go to the router now. Otherwise the query waits for admission or already has its result.
func (l *loop) admit(q *activeQuery) bool {
	if retryAfter, overloaded := l.connLeases.overloaded(q.Tenant); overloaded {
		l.counters.RejectedByAdmission++
		l.deliverResult(q, query.Result{Outcome: query.Shed, RetryAfter: min(retryAfter, l.maxRetryAfter)})
		return false
	}
	return l.admission.admitOrQueue(q)
}

// hasCapacity reports whether there are slots for a query and its shard requests.
func (l *loop) hasCapacity(q *activeQuery) bool { return l.slotsUsed+q.slots() <= l.maxInFlight }

// capacity returns the number of slots in use and the limit on it.
func (l *loop) capacity() (used, limit int) { return l.slotsUsed, l.maxInFlight }

// shedResult returns the result of a query that finds no slot. Its retry-after time is the longest that the settings allow.
func (l *loop) shedResult() query.Result {
	return query.Result{Outcome: query.Shed, RetryAfter: l.maxRetryAfter}
}

// retryAfterLimit returns the longest retry-after time that a client may be given.
func (l *loop) retryAfterLimit() time.Duration { return l.maxRetryAfter }

// typeOf returns the settings of a query's type.
func (l *loop) typeOf(r *query.Request) *decision.QueryType { return &l.queryTypes[r.Type] }

// markInFlight counts a query as in flight, so that another with its id is rejected as a duplicate.
func (l *loop) markInFlight(q *activeQuery) {
	l.counters.InFlight++
	l.requestIDs[q.Request.ID] = true
}

// clearInFlight stops counting a query as in flight. The router does not have it, or has ended it.
func (l *loop) clearInFlight(q *activeQuery) {
	l.counters.InFlight--
	delete(l.requestIDs, q.Request.ID)
}

// submit passes a query in flight to the router, with the time left until its deadline.
func (l *loop) submit(q *activeQuery, left time.Duration) {
	q.id = l.nextID
	l.nextID += uint64(q.slots())
	l.slotsUsed += q.slots()
	l.queries[q.id] = q
	earlier := q.requests
	q.answerMemory.Close() // of answers before it was forwarded to another site
	q.requests = make([]shardRequest, len(q.Request.Shards))
	for i := range earlier { // a query that was forwarded to another site and returned
		q.requests[i].attempts, q.requests[i].submittedAt = earlier[i].attempts, len(earlier[i].attempts)
	}
	l.readPins.pinQuery(q)
	serial := float32(q.id % (1 << 24)) // exact in a float32, and a range far larger than the number of queries in flight
	l.post(decision.Event{Kind: decision.QueryReceived, ID: q.id, Serial: serial, Type: q.Type, Tenant: q.Tenant, RemainingTime: left,
		Weight: float64(len(q.requests)), Retry: q.Retry})
	for i := range q.Request.Shards {
		r := &q.Request.Shards[i]
		id := q.id + 1 + uint64(i)
		l.queryOfShardRequest[id] = q
		l.post(decision.Event{Kind: decision.ShardRequestReceived, ID: id, Serial: serial, Shard: r.Shard, Weight: r.Weight,
			Allowed: q.allowedReplicas(i)})
	}
}

// findShardRequest returns the query of a shard request and the request's index in it, or nil if it is not in flight.
func (l *loop) findShardRequest(id uint64) (*activeQuery, int) {
	if q := l.queryOfShardRequest[id]; q != nil {
		return q, int(id - q.id - 1)
	}
	return nil, 0
}

// abandon ends a query whose client has left, or whose deadline has passed.
func (l *loop) abandon(m queryAbandoned) {
	q := m.query
	if m.cause == query.ClientDeparted {
		q.answerMemory.Close() // nobody reads the result
	}
	if q.done {
		return
	}
	l.queryLog.abandoned(q, m.cause)
	if m.cause == query.DeadlinePassed {
		l.deliverResult(q, query.Result{Outcome: query.Failed})
	} else {
		l.counters.Abandoned++
	}
	if q.admission.queued {
		l.admission.abandon(q)
		return
	}
	l.admission.done(q, query.Failed)
	if q.forwarding.forwarded {
		l.gateway.abandon(q)
		return
	}
	l.post(decision.Event{Kind: decision.ClientDeparted, ID: q.id})
	l.finishQuery(q)
	l.cancelUnsent(q) // at once, as a connection may be established before the next step and would carry them
}

// finishQuery ends a query that is with the router. forgetQuery drops it once the actions of its last step are executed.
func (l *loop) finishQuery(q *activeQuery) {
	q.done = true
	l.counters.InFlight--
	l.freeSlots(q)
}

// freeSlots frees the slots of a query that the router has ended, and has it dropped at the end of the step.
func (l *loop) freeSlots(q *activeQuery) {
	l.slotsUsed -= q.slots()
	l.finished = append(l.finished, q)
}

// cancelUnsent cancels the attempts that are not yet written to a node, so that they never are.
func (l *loop) cancelUnsent(q *activeQuery) {
	for i := range q.requests {
		for _, attempt := range q.requests[i].attempts {
			if !attempt.Written() {
				l.pool.Cancel(attempt)
			}
		}
	}
}

// forgetQuery drops a query that the router has ended, and cancels its attempts that are not yet written to a node.
func (l *loop) forgetQuery(q *activeQuery) {
	l.cancelUnsent(q)
	for i := range q.requests {
		delete(l.queryOfShardRequest, q.id+1+uint64(i))
	}
	delete(l.queries, q.id)
	if !q.forwarding.forwarded {
		delete(l.requestIDs, q.Request.ID)
	}
}

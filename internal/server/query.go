package server

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// activeQuery is a query in flight. Only the loop uses it, but for the methods that make it a query.Pending.
type activeQuery struct {
	*query.Request
	arrival             time.Duration      // when it had come whole
	deadline            time.Duration      // when its client gives up
	connectionOverLimit bool               // its client's connection exceeds the limit on connections
	result              chan query.Result  // holds one; nobody waits to deliver it
	onResult            func(query.Result) // takes the result instead, in the loop
	server              *Server            // where a front waits for the result

	id            uint64 // as the router knows it; its shard requests have the numbers that follow
	done          bool
	shardRequests []shardRequest

	pin        *pinnedQuery // nil: its reads are ordinary ones
	admission  admissionState
	forwarding forwardingState
}

// shardRequest is what one shard contributes to a query.
type shardRequest struct {
	answered bool
	value    string
	attempts []*store.Part
}

// slots is how many of the slots for queries and shard requests in flight a query takes.
func (q *activeQuery) slots() int { return 1 + len(q.Request.Shards) }

// fromOtherSite tells whether a broker of another site sent the query.
func (q *activeQuery) fromOtherSite() bool { return q.forwarding.remote }

// receiveQuery hands a query to the router, if there are slots for it and its shard requests and admission lets it enter at once.
func (l *loop) receiveQuery(q *activeQuery) {
	l.counters.Received++
	if l.requestIDs[q.Request.ID] {
		l.deliverResult(q, query.Result{Outcome: query.Duplicate})
		return
	}
	if q.connectionOverLimit || !l.hasCapacity(q) || !l.adaptToSettings(q.Request) {
		l.counters.NoCapacity++
		l.deliverResult(q, l.shedResult())
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

// admit tells whether a client's query may go to the router now. Otherwise it waits for admission, or has its result.
func (l *loop) admit(q *activeQuery) bool {
	if retryAfter, overloaded := l.connLeases.overloaded(q.Tenant); overloaded {
		l.counters.RejectedByAdmission++
		l.deliverResult(q, query.Result{Outcome: query.Shed, RetryAfter: min(retryAfter, l.maxRetryAfter)})
		return false
	}
	return l.admission.admit(q)
}

// hasCapacity tells whether there are slots for a query and its shard requests.
func (l *loop) hasCapacity(q *activeQuery) bool { return l.slotsUsed+q.slots() <= l.maxInFlight }

// capacity is how many slots are used, and how many there are.
func (l *loop) capacity() (used, limit int) { return l.slotsUsed, l.maxInFlight }

// shedResult is the result of a query that finds no slot: the client is told the longest time that the settings allow.
func (l *loop) shedResult() query.Result {
	return query.Result{Outcome: query.Shed, RetryAfter: l.maxRetryAfter}
}

// retryAfterLimit is the longest time after which a client may be told to return.
func (l *loop) retryAfterLimit() time.Duration { return l.maxRetryAfter }

// typeOf is the settings' entry for a query's type.
func (l *loop) typeOf(r *query.Request) *decision.QueryType { return &l.queryTypes[r.Type] }

// markInFlight counts a query as in flight, so that another of its id is a duplicate.
func (l *loop) markInFlight(q *activeQuery) {
	l.counters.InFlight++
	l.requestIDs[q.Request.ID] = true
}

// clearInFlight takes a query out of flight that the router does not have.
func (l *loop) clearInFlight(q *activeQuery) {
	l.counters.InFlight--
	delete(l.requestIDs, q.Request.ID)
}

// submit gives a query in flight to the router, with the time that is left to it.
func (l *loop) submit(q *activeQuery, left time.Duration) {
	q.id = l.nextID
	l.nextID += uint64(q.slots())
	l.slotsUsed += q.slots()
	l.queries[q.id] = q
	q.shardRequests = make([]shardRequest, len(q.Request.Shards))
	l.readPins.pinQuery(q)
	serial := float32(q.id % (1 << 24)) // exact in a float32, and far more ids than can be in flight
	l.post(decision.Event{Kind: decision.QueryReceived, ID: q.id, Serial: serial, Type: q.Type, Tenant: q.Tenant, RemainingTime: left,
		Weight: float64(len(q.shardRequests)), Retry: q.Retry})
	for i := range q.Request.Shards {
		r := &q.Request.Shards[i]
		id := q.id + 1 + uint64(i)
		l.queryOfShardRequest[id] = q
		l.post(decision.Event{Kind: decision.ShardRequestReceived, ID: id, Serial: serial, Shard: r.Shard, Weight: r.Weight,
			Allowed: q.allowedReplicas(i)})
	}
}

// findShardRequest finds the query of a shard request, and its index there; nil: it is not in flight.
func (l *loop) findShardRequest(id uint64) (*activeQuery, int) {
	if q := l.queryOfShardRequest[id]; q != nil {
		return q, int(id - q.id - 1)
	}
	return nil, 0
}

// abandon ends a query that nobody waits for any more, or whose time is up.
func (l *loop) abandon(m queryAbandoned) {
	q := m.query
	if q.done {
		return
	}
	if m.cause == query.DeadlinePassed {
		l.deliverResult(q, query.Result{Outcome: query.Failed})
	} else {
		l.counters.Abandoned++
	}
	if q.admission.queued {
		l.admission.abandon(q)
		return
	}
	l.admission.queryEnded(q, query.Failed)
	if q.forwarding.forwarded {
		l.gateway.abandon(q)
		return
	}
	l.post(decision.Event{Kind: decision.ClientDeparted, ID: q.id})
	l.finishQuery(q)
	l.cancelUnsent(q) // now, as a connection may come up in the same moment
}

// finishQuery takes a query out of flight; it is forgotten once the actions of its last step are executed.
func (l *loop) finishQuery(q *activeQuery) {
	q.done = true
	l.counters.InFlight--
	l.freeSlots(q)
}

// freeSlots frees the slots of a query that the router has ended.
func (l *loop) freeSlots(q *activeQuery) {
	l.slotsUsed -= q.slots()
	l.finished = append(l.finished, q)
}

// cancelUnsent cancels the attempts that were not written to a node yet; they never are.
func (l *loop) cancelUnsent(q *activeQuery) {
	for i := range q.shardRequests {
		for _, attempt := range q.shardRequests[i].attempts {
			if !attempt.Written() {
				l.pool.Cancel(attempt)
			}
		}
	}
}

// forgetQuery drops a query that the router has ended. What was not written to a node by now never is.
func (l *loop) forgetQuery(q *activeQuery) {
	l.cancelUnsent(q)
	for i := range q.shardRequests {
		delete(l.queryOfShardRequest, q.id+1+uint64(i))
	}
	delete(l.queries, q.id)
	if !q.forwarding.forwarded {
		delete(l.requestIDs, q.Request.ID)
	}
}

// adaptToSettings translates a query that was read under other settings to those in force; false: they can't serve it.
func (l *loop) adaptToSettings(r *query.Request) bool {
	if r.Settings == nil || r.Settings == l.settings {
		return true
	}
	previous, current := r.Settings, l.settings
	r.Type = slices.Index(current.Types, previous.Types[r.Type])
	if r.Type < 0 || current.Fingerprint() != previous.Fingerprint() {
		return false
	}
	switch {
	case len(current.Tenants) == 0:
		r.Tenant = 0
	case len(previous.Tenants) > 0:
		r.Tenant = slices.Index(current.Tenants, previous.Tenants[r.Tenant])
	default:
		r.Tenant = -1
	}
	r.Settings = current
	return r.Tenant >= 0
}

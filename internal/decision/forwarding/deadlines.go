package forwarding

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

const never time.Duration = math.MaxInt64

// Tick ends the queries that have run out of time and returns when it has to be called again.
func (f *Forwarder) Tick(now time.Duration) (next time.Duration) {
	next = never
	due := f.queriesInOrder(func(q *forwardedQuery) bool {
		at := f.decisionDueAt(q)
		if at > now {
			next = min(next, at)
		}
		return at <= now
	})
	for _, q := range due {
		if q.state == linkLost && now < q.Deadline-f.policy.AnswerReserve {
			f.resolveUncertain(q, now) // its link was not established again in time
		} else {
			f.timeOut(q, now)
		}
	}
	return next
}

// timeOut ends a query that has only the time reserved for the answer left.
func (f *Forwarder) timeOut(q *forwardedQuery, now time.Duration) {
	f.Counters.TimedOut++
	f.cancelRemote(q)
	if q.Idempotency == decision.Idempotent && now < q.Deadline {
		f.finish(q, Action{Kind: Shed})
	} else {
		f.finish(q, Action{Kind: Fail})
	}
}

// decisionDueAt returns when a query must end or leave linkLost if no message arrives.
func (f *Forwarder) decisionDueAt(q *forwardedQuery) time.Duration {
	last := q.Deadline - f.policy.AnswerReserve
	if q.state == linkLost {
		return min(last, q.waitsUntil)
	}
	return last
}

// queriesInOrder returns the selected queries by ID, so that the order of actions does not depend on the map.
func (f *Forwarder) queriesInOrder(selected func(*forwardedQuery) bool) []*forwardedQuery {
	var queries []*forwardedQuery
	for _, q := range f.queries {
		if selected(q) {
			queries = append(queries, q)
		}
	}
	slices.SortFunc(queries, func(x, y *forwardedQuery) int { return cmp.Compare(x.ID, y.ID) })
	return queries
}

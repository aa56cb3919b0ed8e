package routing

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	deadlineMargin            = 50 * time.Millisecond // from a query's deadline to its latency objective or its client's timeout, whichever is earlier
	guardClockSteps           = 3                     // clock steps between the latest time for a result and the client's timeout
	weightTolerance           = 5e-5                  // rounding error of sums of weights
	crowdedTableShare         = 0.7                   // of MaxInFlight; above it queries past their deadline are abandoned
	secondPhaseReserveDivisor = 4                     // at most the latency objective divided by this is reserved for the second phase
	minRetryAfterShare        = 0.5                   // of MaxRetryAfter; the rest is random, so that clients do not retry all at once
	majorityTolerance         = 20 * time.Millisecond // remaining times that differ by no more count as equal
)

// setDeadlines sets the time at which a new query is answered with what has been received by then, and the latest time for its result.
func (d *dispatcher) setDeadlines(q *query, e *decision.Event) {
	r := d.router
	q.overallDeadline = r.now + min(q.queryType.LatencyObjective, e.RemainingTime) - deadlineMargin
	q.deadline = q.overallDeadline
	if q.queryType.SecondPhaseRequests > 0 {
		q.deadline -= min(d.latency.p95, q.queryType.LatencyObjective/secondPhaseReserveDivisor)
	}
	q.hardDeadline = r.now + e.RemainingTime - guardClockSteps*r.settings.ClockStep
}

// setTimeSpent estimates how much of its timeout the client of a query has spent on earlier tries. If a query may be a retry and has less
// time left than is usual for its type, it is taken for a retry of a client whose timeout began with the first try; that client has spent
// the part of the timeout that is no longer left.
func (d *dispatcher) setTimeSpent(q *query, e *decision.Event) {
	usual := d.usualRemainingTime[e.Type].vote(e.RemainingTime)
	mayBeRetry := e.Retry || !d.router.settings.ClientsMarkRetries
	if mayBeRetry && e.RemainingTime < usual-majorityTolerance {
		q.clientTimeSpent = max(0, q.queryType.Timeout-e.RemainingTime)
	}
}

// completeness holds the answered weight that the result of a phase needs.
type completeness struct {
	full float64 // for a complete result
	min  float64 // for any result
}

// completeness returns what the current phase needs. In the second phase a complete result needs all shard requests, and so does any
// result if the query type allows no partial ones.
func (q *query) completeness() completeness {
	c := completeness{full: q.queryType.FullCompleteness, min: q.queryType.MinCompleteness}
	if q.secondPhase {
		c.full = 1
		if c.min >= q.queryType.FullCompleteness {
			c.min = 1
		}
	}
	return c
}

// completeIfReady answers or abandons a query as soon as its result is certain or its time is up.
func (d *dispatcher) completeIfReady(slot int32) {
	q := &d.queries.slots[slot]
	now := d.router.now
	needed := q.completeness()
	unanswered := q.unansweredWeight()
	enough := q.answeredWeight >= needed.min-weightTolerance
	switch {
	case q.answeredWeight >= needed.full-weightTolerance:
		d.answer(slot, !q.secondPhase || q.firstPhaseComplete)
	case enough && (now >= q.deadline || unanswered == 0):
		d.answer(slot, false)
	case now >= q.hardDeadline:
		d.abandon(slot)
	case now >= q.deadline && d.tableCrowded: // otherwise queries that wait for unresponsive nodes would leave no place for new ones
		d.abandon(slot)
	case !enough && q.answeredWeight+unanswered < needed.min-weightTolerance:
		d.abandon(slot)
	}
}

// answer answers a query. If a second phase follows, the query stays in flight for it.
func (d *dispatcher) answer(slot int32, complete bool) {
	q := &d.queries.slots[slot]
	d.router.act(decision.Action{Kind: decision.AnswerQuery, ID: q.id, Complete: complete})
	if q.queryType.SecondPhaseRequests == 0 || q.secondPhase {
		d.remove(slot)
		return
	}
	d.removeShardRequests(q)
	d.queries.inFlight -= q.expectedRequests
	q.beginSecondPhase(complete)
}

// beginSecondPhase prepares a query for the shard requests of its second phase.
func (q *query) beginSecondPhase(firstPhaseComplete bool) {
	q.secondPhase = true
	q.firstPhaseComplete = firstPhaseComplete
	q.dispatched = false
	q.answeredWeight = 0
	q.expectedRequests = 0
	q.deadline = q.overallDeadline
}

// abandon ends a query that cannot be answered. If the query may be run again and its time is not up, it is shed with a Retry-After;
// otherwise it fails.
func (d *dispatcher) abandon(slot int32) {
	r := d.router
	q := &d.queries.slots[slot]
	action := decision.Action{Kind: decision.FailQuery, ID: q.id}
	repeatable := q.noneRan() || q.queryType.Idempotency == decision.Idempotent
	if repeatable && r.now < q.hardDeadline {
		share := minRetryAfterShare + (1-minRetryAfterShare)*r.random.share()
		action.Kind = decision.ShedQuery
		action.RetryAfter = time.Duration(share * float64(r.settings.MaxRetryAfter))
	}
	r.act(action)
	d.remove(slot)
}

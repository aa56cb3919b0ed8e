package routing

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	deadlineMargin            = 50 * time.Millisecond // before the latency objective
	guardClockSteps           = 3                     // of the clock before the client's timeout
	weightTolerance           = 5e-5                  // of sums of weights
	crowdedTableShare         = 0.7                   // of MaxInFlight; above it queries past their deadline are given up
	secondPhaseReserveDivisor = 4                     // the second phase is left the latency objective over this at most
	minRetryAfterShare        = 0.5                   // of MaxRetryAfter
	majorityTolerance         = 20 * time.Millisecond // two remaining times that differ by less count as one
)

// setDeadlines sets when a query that came is answered with what there is, and when it must have a result.
func (d *dispatcher) setDeadlines(q *query, e *decision.Event) {
	r := d.router
	q.overallDeadline = r.now + min(q.queryType.LatencyObjective, e.RemainingTime) - deadlineMargin
	q.deadline = q.overallDeadline
	if q.queryType.SecondPhaseRequests > 0 {
		q.deadline -= min(d.latency.p95, q.queryType.LatencyObjective/secondPhaseReserveDivisor)
	}
	q.hardDeadline = r.now + e.RemainingTime - guardClockSteps*r.settings.ClockStep
}

// setTimeSpent sets how much of its time the client of a query has spent before. A retry that leaves less time than usual was cut
// short by its client's timeout, which tells when the client asked first.
func (d *dispatcher) setTimeSpent(q *query, e *decision.Event) {
	usual := d.usualRemainingTime[e.Type].vote(e.RemainingTime)
	mayBeRetry := e.Retry || !d.router.settings.ClientsMarkRetries
	if mayBeRetry && e.RemainingTime < usual-majorityTolerance {
		q.clientTimeSpent = max(0, q.queryType.Timeout-e.RemainingTime)
	}
}

// completeness holds the weights that decide the result of a phase.
type completeness struct {
	full float64 // of a complete answer
	min  float64 // of any answer
}

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

// completeIfReady gives a query its result as soon as its state allows.
func (d *dispatcher) completeIfReady(slot int32) {
	q := &d.queries.slots[slot]
	now := d.router.now
	need := q.completeness()
	unanswered := q.unansweredWeight()
	enough := q.answeredWeight >= need.min-weightTolerance
	switch {
	case q.answeredWeight >= need.full-weightTolerance:
		d.answer(slot, !q.secondPhase || q.firstPhaseComplete)
	case enough && (now >= q.deadline || unanswered == 0):
		d.answer(slot, false)
	case now >= q.hardDeadline:
		d.abandon(slot)
	case now >= q.deadline && d.tableCrowded: // else queries that wait for silent nodes take all places, and new ones are shed unseen
		d.abandon(slot)
	case !enough && q.answeredWeight+unanswered < need.min-weightTolerance:
		d.abandon(slot)
	}
}

// answer answers a query, or ends its first phase.
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

func (q *query) beginSecondPhase(firstPhaseComplete bool) {
	q.secondPhase = true
	q.firstPhaseComplete = firstPhaseComplete
	q.dispatched = false
	q.answeredWeight = 0
	q.expectedRequests = 0
	q.deadline = q.overallDeadline
}

// abandon ends a query that cannot be answered: shed, with the time to come back after, where that is true, or else failed.
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

package routing

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Credit for extra attempts.
const (
	creditPerFirstAttempt = 0.1 // of an extra attempt, earned by each first attempt
	maxCredit             = 30.0
	initialCredit         = maxCredit / 2
	extraAttemptCost      = 1.0 // that an extra attempt costs
)

// extraBudget limits hedges and retries, together: by credit that first attempts earn, and where the deployment sets a window, by
// their number in it over that of queries and shard requests.
type extraBudget struct {
	credit      float64
	receivedAt  []time.Duration // when queries and shard requests came, in the window
	extraSentAt []time.Duration // when extra attempts were sent, in the window
}

// noteReceived counts a query or shard request.
func (b *extraBudget) noteReceived(s *decision.Settings, now time.Duration) {
	if s.ExtraAttemptsWindow > 0 {
		b.receivedAt = dropUntil(append(b.receivedAt, now), now-s.ExtraAttemptsWindow)
	}
}

// earn adds the credit of a first attempt.
func (b *extraBudget) earn() { b.credit = min(maxCredit, b.credit+creditPerFirstAttempt) }

// refund adds the credit of an extra attempt.
func (b *extraBudget) refund() { b.credit = min(maxCredit, b.credit+extraAttemptCost) }

// allows reports whether an extra attempt may be sent now.
func (b *extraBudget) allows(s *decision.Settings, now time.Duration) bool {
	return b.credit >= extraAttemptCost && (s.ExtraAttemptsWindow == 0 || b.remaining(s, now, now-s.ClockStep) >= 1)
}

// spend books an extra attempt.
func (b *extraBudget) spend(s *decision.Settings, now time.Duration) {
	b.credit -= extraAttemptCost
	if s.ExtraAttemptsWindow > 0 {
		b.extraSentAt = append(b.extraSentAt, now)
	}
}

// remaining is how many extra attempts the window leaves at a time, if nothing is received or sent until then.
func (b *extraBudget) remaining(s *decision.Settings, now, at time.Duration) float64 {
	b.receivedAt = dropUntil(b.receivedAt, now-s.ExtraAttemptsWindow)
	b.extraSentAt = dropUntil(b.extraSentAt, now-s.ClockStep-s.ExtraAttemptsWindow)
	spent := 0
	for _, sentAt := range b.extraSentAt {
		if sentAt > at-s.ExtraAttemptsWindow {
			spent++
		}
	}
	return s.ExtraAttemptsMin + s.ExtraAttemptsShare*float64(len(b.receivedAt)) - float64(spent)
}

// extendWindow is called before a longer window is in force. What was sent so long ago is not known, so the minimum counts as spent.
func (b *extraBudget) extendWindow(now time.Duration, minimum int) {
	b.extraSentAt = append(b.extraSentAt, slices.Repeat([]time.Duration{now}, minimum)...)
}

// dropUntil drops the times at or before a bound, in place.
func dropUntil(times []time.Duration, bound time.Duration) []time.Duration {
	n := 0
	for n < len(times) && times[n] <= bound {
		n++
	}
	if n == 0 {
		return times
	}
	return append(times[:0], times[n:]...)
}

// queryBudget is what the window leaves for the extra attempts of a query.
type queryBudget struct {
	insufficient bool // the query lacks more than can be sent again in time
	scarce       bool // less is remaining now than the query has unanswered shard requests
}

func (d *dispatcher) queryBudget(q *query) queryBudget {
	s := d.router.settings
	if s.ExtraAttemptsWindow == 0 {
		return queryBudget{}
	}
	unanswered := float64(len(q.requests) - q.answeredRequests)
	return queryBudget{
		insufficient: d.lossesExceedBudget(q),
		scarce:       unanswered > d.extraBudget.remaining(s, d.router.now, d.router.now),
	}
}

// lossesExceedBudget reports whether a query has lost more shard requests than the budget lets be sent again before its deadline. What is
// remaining of the budget is better spent on a query that it can save.
func (d *dispatcher) lossesExceedBudget(q *query) bool {
	lost := 0.0
	lostWeight := 0.0
	for i := range q.requests {
		sr := &q.requests[i]
		if !sr.answered && !sr.abandoned && sr.inFlight == 0 && len(sr.attempts) > 0 {
			lost++
			lostWeight += sr.weight
		}
	}
	remaining := d.extraBudget.remaining(d.router.settings, d.router.now, q.deadline)
	if lost <= remaining {
		return false
	}
	return q.answeredWeight+q.unansweredWeight()-lostWeight*(1-remaining/lost) < q.completeness().min-weightTolerance
}

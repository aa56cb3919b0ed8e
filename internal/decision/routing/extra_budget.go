package routing

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Credit for extra attempts.
const (
	creditPerFirstAttempt = 0.1 // earned by each first attempt
	maxCredit             = 30.0
	initialCredit         = maxCredit / 2
	extraAttemptCost      = 1.0 // spent by each extra attempt
)

// extraBudget limits hedges and retries together. Each costs credit, which first attempts earn. If the deployment sets
// Settings.ExtraAttemptsWindow, their number within that window is limited too, in proportion to the queries and shard requests
// received.
type extraBudget struct {
	credit      float64
	receivedAt  []time.Duration // times at which queries and shard requests came, within the window
	extraSentAt []time.Duration // times at which extra attempts were sent, within the window
}

// noteReceived counts a query or shard request that was received.
func (b *extraBudget) noteReceived(s *decision.Settings, now time.Duration) {
	if s.ExtraAttemptsWindow > 0 {
		b.receivedAt = dropUntil(append(b.receivedAt, now), now-s.ExtraAttemptsWindow)
	}
}

// earn adds the credit that a first attempt earns.
func (b *extraBudget) earn() { b.credit = min(maxCredit, b.credit+creditPerFirstAttempt) }

// refund gives back the cost of an extra attempt.
func (b *extraBudget) refund() { b.credit = min(maxCredit, b.credit+extraAttemptCost) }

// allows reports whether an extra attempt may be sent now.
func (b *extraBudget) allows(s *decision.Settings, now time.Duration) bool {
	return b.credit >= extraAttemptCost && (s.ExtraAttemptsWindow == 0 || b.remaining(s, now, now-s.ClockStep) >= 1)
}

// spend takes the cost of an extra attempt and counts it in the window.
func (b *extraBudget) spend(s *decision.Settings, now time.Duration) {
	b.credit -= extraAttemptCost
	if s.ExtraAttemptsWindow > 0 {
		b.extraSentAt = append(b.extraSentAt, now)
	}
}

// remaining returns how many extra attempts the window allows at the time at, which may be before or after now. For a later time it
// assumes that no extra attempts are sent meanwhile, and that as many queries and shard requests are received as leave the window.
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

// extendWindow prepares for a longer window. The extra attempts sent before the shorter window began are not known, so the budget counts
// the minimum as spent now.
func (b *extraBudget) extendWindow(now time.Duration, minimum int) {
	b.extraSentAt = append(b.extraSentAt, slices.Repeat([]time.Duration{now}, minimum)...)
}

// dropUntil removes the times up to and including bound from an ascending slice, in place.
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

// queryBudget says whether the window allows enough extra attempts for a query.
type queryBudget struct {
	insufficient bool // too few before the deadline for the query to reach its minimum completeness
	scarce       bool // fewer now than the query has unanswered shard requests
}

// queryBudget compares the remaining budget with the needs of a query.
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

// lossesExceedBudget reports whether so many shard requests of a query have failed that it cannot reach its minimum completeness with
// the retries that the budget allows before its deadline. The rest of the budget then goes to queries that can still be answered.
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

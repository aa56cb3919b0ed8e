package routing

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	// recheckInterval is the time until the router tries again to send an attempt that could not be sent.
	recheckInterval = 10 * time.Millisecond
	// While the p95 is not known, an attempt is hedged after the latency objective divided by assumedHedgeDivisor.
	assumedHedgeDivisor = 2
)

// sendHedgesAndRetries sends those first attempts of a query that had to wait, and then the hedges and retries that are due and that the
// budget allows. It abandons the unanswered shard requests if the budget is insufficient for the query, and those without an attempt in
// flight if the query's shards have moved.
func (d *dispatcher) sendHedgesAndRetries(q *query) {
	if q.waiting {
		q.waiting = false
		d.sendFirstAttempts(q)
		d.scheduleStep(d.router.now + recheckInterval)
	}
	budget := d.queryBudget(q)
	for i := range q.requests {
		sr := &q.requests[i]
		if sr.answered || sr.abandoned || budget.insufficient || len(sr.attempts) == 0 || q.shardsMoved {
			sr.abandoned = sr.abandoned || budget.insufficient || q.shardsMoved && sr.inFlight == 0
			continue
		}
		if sr.inFlight == 0 {
			d.retry(q, sr)
		} else {
			d.hedge(q, sr, budget)
		}
	}
}

// hedge sends a second attempt of a shard request that has one in flight, if the hedge is due.
func (d *dispatcher) hedge(q *query, sr *shardRequest, budget queryBudget) {
	due := d.hedgeDueAt(q, sr, budget)
	if due > d.router.now {
		d.scheduleStep(due)
		return
	}
	index := d.selectReplica(q, sr, extraAttemptNewReplica)
	if index >= 0 && d.canAffordExtraAttempt(q, sr, index) {
		sr.hedged = true
		d.sendExtraAttempt(sr, index)
		return
	}
	d.scheduleStep(d.router.now + recheckInterval)
}

// hedgeDueAt returns the time from which a shard request with attempts in flight may be hedged, or never.
func (d *dispatcher) hedgeDueAt(q *query, sr *shardRequest, budget queryBudget) time.Duration {
	if sr.inFlight > 1 || !d.mayHedge(q, sr) || !d.extraAttemptPossible(q, sr) || !d.mayRunTwice(q, sr) {
		return never
	}
	a := sr.attempts[len(sr.attempts)-1]
	due := a.sentAt + d.hedgeDelay(q)
	// If the replicas are crowded, a hedge would only wait in another long queue, unless the attempt in flight is at a node that has been
	// ejected or unlisted.
	crowded := d.latency.known && d.endpoints.all[a.node].available() && d.isCrowded(sr)
	if budget.scarce || crowded {
		return max(due, d.router.now+recheckInterval)
	}
	return due
}

// mayHedge reports whether a shard request may be hedged at all. A low-weight shard request may not: its hedge would take budget and
// capacity from the shard requests that decide the result.
func (d *dispatcher) mayHedge(q *query, sr *shardRequest) bool {
	return d.router.settings.HedgingAllowed && !sr.hedged && !q.isLowWeight(sr)
}

// hedgeDelay returns how long an attempt is in flight before it is hedged.
func (d *dispatcher) hedgeDelay(q *query) time.Duration {
	if !d.latency.known {
		return q.queryType.LatencyObjective / assumedHedgeDivisor
	}
	return d.latency.p95
}

// extraAttemptPossible reports whether a shard request is below the limit on attempts and an extra attempt may still be answered before
// the deadline.
func (d *dispatcher) extraAttemptPossible(q *query, sr *shardRequest) bool {
	return d.router.now+d.latency.p50 <= q.deadline && len(sr.attempts) < d.router.settings.MaxAttempts
}

// canAffordExtraAttempt reports whether the budget allows an extra attempt and the node's answer is expected before the deadline.
func (d *dispatcher) canAffordExtraAttempt(q *query, sr *shardRequest, index nodeIndex) bool {
	r := d.router
	return d.extraBudget.allows(r.settings, r.now) && r.now+time.Duration(d.expectedWait(sr, index)) <= q.deadline
}

func (d *dispatcher) sendExtraAttempt(sr *shardRequest, index nodeIndex) {
	d.extraBudget.spend(d.router.settings, d.router.now)
	d.send(sr, index)
}

// mayRunTwice reports whether another attempt of a shard request is allowed by the idempotency of its query type. If no attempt is in
// flight and none can have run, it always is.
func (d *dispatcher) mayRunTwice(q *query, sr *shardRequest) bool {
	if sr.inFlight == 0 && !sr.mayHaveRun {
		return true
	}
	firstRunAt := sr.mayHaveRunAt
	if sr.inFlight > 0 {
		firstRunAt = sr.attempts[0].sentAt
	}
	switch q.queryType.Idempotency {
	case decision.Idempotent:
		return true
	case decision.IdempotencyKeyed:
		return d.router.now <= firstRunAt+q.queryType.IdempotencyWindow
	default:
		return false
	}
}

package routing

import "flaxfront/internal/decision"

// noteQuiet marks a query as quiet, after advance has processed it, if nothing but the passage of time can affect it until one of its
// attempts ends. sweep skips quiet queries. A query must not be marked if completeIfReady or sendHedgesAndRetries would depend on
// anything else.
func (d *dispatcher) noteQuiet(q *query) {
	if !q.inUse || !q.dispatched || q.waiting {
		return
	}
	q.oldestHedgeableSentAt = never
	for i := range q.requests {
		sr := &q.requests[i]
		if sr.answered || sr.abandoned {
			continue
		}
		if sr.inFlight == 0 {
			return
		}
		if sr.inFlight == 1 && d.mayEverHedge(q, sr) {
			q.oldestHedgeableSentAt = min(q.oldestHedgeableSentAt, sr.attempts[len(sr.attempts)-1].sentAt)
		}
	}
	q.quiet = true
}

// mayEverHedge reports whether a shard request may be hedged at some time before its attempt ends.
func (d *dispatcher) mayEverHedge(q *query, sr *shardRequest) bool {
	repeatable := q.queryType.Idempotency != decision.NonIdempotent
	return repeatable && d.mayHedge(q, sr) && len(sr.attempts) < d.router.settings.MaxAttempts
}

// staysQuiet reports whether a quiet query has nothing due now; if so, it schedules a step for the time at which something is due.
func (d *dispatcher) staysQuiet(q *query) bool {
	now := d.router.now
	if now >= q.deadline || now >= q.hardDeadline {
		return false
	}
	if q.oldestHedgeableSentAt != never && now+d.latency.p50 <= q.deadline {
		due := q.oldestHedgeableSentAt + d.hedgeDelay(q)
		if due <= now+recheckInterval {
			return false
		}
		d.scheduleStep(due)
	}
	d.scheduleStep(min(q.hardDeadline, q.deadline))
	return true
}

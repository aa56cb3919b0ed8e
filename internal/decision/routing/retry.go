package routing

import "flaxfront/internal/decision"

// retry sends another attempt of a shard request whose attempts have all ended without an answer. It abandons the shard request if no
// further attempt is possible, and schedules a step after recheckInterval if one may be possible then.
func (d *dispatcher) retry(q *query, sr *shardRequest) {
	if sr.retried || !d.extraAttemptPossible(q, sr) || !d.mayRunTwice(q, sr) {
		sr.abandoned = true
		return
	}
	index := d.selectReplica(q, sr, extraAttemptNewReplica)
	if index == noReplica {
		index = d.selectReplica(q, sr, extraAttemptAnyReplica)
	}
	if index == noReplica {
		sr.abandoned = true
		return
	}
	if index >= 0 && d.canAffordExtraAttempt(q, sr, index) {
		sr.retried = true
		d.sendExtraAttempt(sr, index)
		return
	}
	d.scheduleStep(d.router.now + recheckInterval)
}

// allowAnotherRetry lets a shard request be retried again after an attempt has failed, and refunds the credit of one extra attempt, unless
// replicas are crowded. The refund is needed because more attempts may fail than the credit covers, and a retry only replaces the work that
// a failed attempt has lost. At a crowded store, however, a retry would add work.
func (d *dispatcher) allowAnotherRetry(sr *shardRequest) {
	if d.isCrowded(sr) {
		return
	}
	d.extraBudget.refund()
	sr.retried = false
}

// handleFailure handles the end of an attempt without an answer. An attempt that was rejected or not sent did not run; any other may
// have run. A rejection is a sign of a full queue, so it is not refunded.
func (d *dispatcher) handleFailure(sr *shardRequest, a *attempt, event *decision.Event) {
	switch event.Outcome {
	case decision.Rejected:
		return
	case decision.ConnectFailed, decision.NeverSent:
	default:
		sr.notePossibleRun(a.sentAt)
		if d.isQuickReset(event) {
			d.observeConnection(a, attemptFailed)
		}
	}
	d.allowAnotherRetry(sr)
}

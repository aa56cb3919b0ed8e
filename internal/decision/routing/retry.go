package routing

import "flaxfront/internal/decision"

// retry sends a shard request again whose attempts have all ended without an answer, or abandons it.
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

// allowAnotherRetry gives back the budget of one extra attempt after an attempt failed, unless replicas are crowded. Failures may lose
// more attempts than the credit pays for; a retry of them replaces work, where a crowded store would only get more of it.
func (d *dispatcher) allowAnotherRetry(sr *shardRequest) {
	if d.isCrowded(sr) {
		return
	}
	d.extraBudget.refund()
	sr.retried = false
}

// handleFailure takes the end of an attempt without an answer. What was rejected, or never left this broker, did not run. A rejection
// tells of a full queue and gives no budget back.
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

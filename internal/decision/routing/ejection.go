package routing

import "time"

// Error rate of a node.
const (
	errorWeight           = 0.3  // of one attempt in the moving average of the error rate
	maxErrorRate          = 0.45 // above it a node is ejected
	maxReinstateErrorRate = 0.25 // below it an ejected node is reinstated
	failureShareWeight    = 0.05 // of one attempt in the moving average of the failure share
	commonFailureFactor   = 2.0  // this times the median failure share of all nodes is added to maxErrorRate
	maxErrorRateBound     = 0.95 // upper limit of that sum
)

// Trial attempts to an ejected node.
const (
	initialTrialBackoff = 200 * time.Millisecond
	maxTrialBackoff     = 3 * time.Second
	repeatEjectionTime  = 2 * time.Second // a node ejected again within this time of its reinstatement starts with twice its last backoff
)

// Unresponsive nodes.
const (
	minUnresponsiveTime    = 400 * time.Millisecond  // without an answer before a node may be ejected as unresponsive
	maxUnresponsiveTime    = 1500 * time.Millisecond // without an answer after which it is ejected in any case
	unresponsiveFactor     = 5.0                     // summed wait of a node's calls, in usual latencies, above which it is ejected
	renewConnectionsFactor = 4                       // summed wait, in p95 latencies, above which its connections are replaced
)

// eject stops all attempts to the node except trial attempts. The backoff between trial attempts grows while they fail.
func (n *nodeHealth) eject(reason logMessage, value float64) {
	now := n.router.now
	if !n.ejected {
		n.router.notifyBrokers(gossipEjected, n.id)
		n.router.log(reason, n.id, value)
	}
	switch {
	case !n.ejected && now-n.reinstatedAt > repeatEjectionTime:
		// On a broker with little traffic, a shorter backoff than the send interval would make every attempt a trial attempt.
		n.trialBackoff = max(initialTrialBackoff, n.sendInterval)
	case !n.ejected || n.trialInFlight:
		n.trialBackoff = max(n.sendInterval, min(max(2*n.trialBackoff, initialTrialBackoff), maxTrialBackoff))
	}
	n.ejected = true
	n.trialInFlight = false
	n.nextTrialAt = now + n.trialBackoff
}

// reinstate ends the ejection of the node.
func (n *nodeHealth) reinstate() {
	n.ejected = false
	n.reinstatedAt = n.router.now
	n.router.notifyBrokers(gossipReinstated, n.id)
	n.router.log(logReinstated, n.id, n.errorRate)
}

// noteTrial records that an attempt was sent to the node; if the node is ejected, this is a trial attempt.
func (n *nodeHealth) noteTrial() {
	if !n.ejected {
		return
	}
	if n.trialInFlight { // the previous trial attempt has not been answered
		n.trialBackoff = max(n.sendInterval, min(2*n.trialBackoff, maxTrialBackoff))
	}
	n.nextTrialAt = n.router.now + n.trialBackoff
	n.trialInFlight = true
}

// noteAnswer records an answer of the node, and reinstates the node if it is ejected and its error rate has fallen enough.
func (n *nodeHealth) noteAnswer(latency time.Duration) {
	n.noteResponse()
	n.consecutiveRejected = 0
	n.ejectedBy = 0
	n.unreachable = false
	n.errorRate *= 1 - errorWeight
	n.setFailureShare(n.failureShare * (1 - failureShareWeight))
	n.noteLatency(latency)
	if !n.ejected {
		return
	}
	n.nextTrialAt = n.router.now
	if n.errorRate < maxReinstateErrorRate {
		n.reinstate()
	}
}

// noteFailure records a failed attempt at the node. Attempts that fail at the same time count once, as one broken connection may have
// carried them all. If attempts fail at all nodes alike, each node looks faulty in turn, and ejecting some would crowd the others; so the
// error rate above which a node is ejected rises with the median failure share.
func (n *nodeHealth) noteFailure() {
	now := n.router.now
	n.noteResponse()
	if n.lastFailureAt != now {
		n.errorRate += errorWeight * (1 - n.errorRate)
		n.lastFailureAt = now
		n.setFailureShare(n.failureShare + failureShareWeight*(1-n.failureShare))
	}
	bound := min(maxErrorRateBound, maxErrorRate+commonFailureFactor*n.router.failureShares.median())
	if n.ejected || n.errorRate > maxErrorRate && n.errorRate > bound {
		n.eject(logEjectedErrors, n.errorRate)
	}
}

// noteRejection records an attempt that the node rejected. If only this node rejects attempts, it is ejected at once, as it may be
// draining. If others do so too, their queues are full: the node is ejected only after two rejections without an answer in between, as
// ejecting every node that rejects one attempt would crowd the others.
func (n *nodeHealth) noteRejection() {
	n.noteResponse()
	n.consecutiveRejected++
	alone := n.router.dispatcher.shedding.currentRejectionRate(n.router.now) <= rejectionWeight
	if n.ejected || n.consecutiveRejected > 1 || alone {
		n.eject(logEjectedRejecting, n.errorRate)
	}
}

// noteUnreachable records that a connection to the node could not be opened, and ejects the node.
func (n *nodeHealth) noteUnreachable() {
	n.unreachable = true
	n.eject(logEjectedUnreachable, n.errorRate)
}

// noteResponse records that the node answered, failed or rejected an attempt, which shows that it is responsive.
func (n *nodeHealth) noteResponse() {
	n.lastResponseAt = n.router.now
	n.unansweredTime = 0
}

// checkUnresponsive ejects the node if its calls have together waited several times the usual latency without any response. It also has the
// connections to the node replaced once that sum is several times the p95, as a connection may be broken while the node is healthy; after
// that, not again until the node has responded.
func (n *nodeHealth) checkUnresponsive(m *message) {
	r := n.router
	now := r.now
	unansweredFor := min(m.elapsed, now-n.lastResponseAt)
	n.unansweredTime += time.Duration(m.calls) * min(now-n.updatedAt, unansweredFor)
	if n.connectionsRenewedAt <= n.lastResponseAt && n.unansweredTime > renewConnectionsFactor*r.dispatcher.latency.p95 {
		n.connectionsRenewedAt = now
		n.renewConnections()
	}
	unresponsive := unansweredFor > minUnresponsiveTime && float64(n.unansweredTime) > unresponsiveFactor*float64(m.usualLatency)
	if !n.ejected && (unansweredFor > maxUnresponsiveTime || unresponsive) {
		n.eject(logEjectedUnresponsive, unansweredFor.Seconds())
	}
}

// pendingCalls returns the calls that the node may still answer. Calls that a node lost while it hung stay in flight until their
// clients time out. A call counts as lost once the node has answered one that was sent more than minUnresponsiveTime later.
func (e *endpoint) pendingCalls() []call {
	lost := 0
	for lost < len(e.calls) && e.calls[lost].sentAt < e.lastAnsweredSentAt-minUnresponsiveTime {
		lost++
	}
	return e.calls[lost:]
}

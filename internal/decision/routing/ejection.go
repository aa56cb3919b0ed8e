package routing

import "time"

// Error rate of a node.
const (
	errorWeight           = 0.3  // of one attempt in the error rate
	maxErrorRate          = 0.45 // above it a node is ejected
	maxReinstateErrorRate = 0.25 // below it a node is reinstated
	failureShareWeight    = 0.05 // of one attempt in the failure share
	commonFailureFactor   = 2.0  // the bound on the error rate rises by this times the failure share that half of all nodes have
	maxErrorRateBound     = 0.95
)

// Trial attempts to an ejected node.
const (
	initialTrialBackoff = 200 * time.Millisecond
	maxTrialBackoff     = 3 * time.Second
	repeatEjectionTime  = 2 * time.Second // ejected again within it, a node starts with the first backoff
)

// Silence of a node.
const (
	minUnresponsiveTime    = 400 * time.Millisecond // of a node before it is ejected as unresponsive
	maxUnresponsiveTime    = 1500 * time.Millisecond
	unresponsiveFactor     = 5.0 // its calls have waited this many usual latencies, added up
	renewConnectionsFactor = 4   // and this many p95 before fresh connections are tried
)

// eject sends a node no work but trial attempts, the rarer the longer it fails.
func (n *nodeHealth) eject(reason logMessage, value float64) {
	now := n.router.now
	if !n.ejected {
		n.router.notifyBrokers(gossipEjected, n.id)
		n.router.log(reason, n.id, value)
	}
	switch {
	case !n.ejected && now-n.reinstatedAt > repeatEjectionTime:
		n.trialBackoff = max(initialTrialBackoff, n.sendInterval) // a broker with little traffic would try it with each attempt
	case !n.ejected || n.trialInFlight:
		n.trialBackoff = max(n.sendInterval, min(max(2*n.trialBackoff, initialTrialBackoff), maxTrialBackoff))
	}
	n.ejected = true
	n.trialInFlight = false
	n.nextTrialAt = now + n.trialBackoff
}

// reinstate ends an ejection.
func (n *nodeHealth) reinstate() {
	n.ejected = false
	n.reinstatedAt = n.router.now
	n.router.notifyBrokers(gossipReinstated, n.id)
	n.router.log(logReinstated, n.id, n.errorRate)
}

// noteTrial notes an attempt to the node if it is ejected.
func (n *nodeHealth) noteTrial() {
	if !n.ejected {
		return
	}
	if n.trialInFlight { // the one before was never answered
		n.trialBackoff = max(n.sendInterval, min(2*n.trialBackoff, maxTrialBackoff))
	}
	n.nextTrialAt = n.router.now + n.trialBackoff
	n.trialInFlight = true
}

// noteAnswer takes an answer of the node; an ejected one may be reinstated.
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

// noteFailure takes an attempt that failed at the node. The attempts that fail at one time, with one connection, count once. Where
// attempts fail at all nodes alike each looks faulty in turn, and ejecting some would crowd the others: a node has to stand out.
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

// noteRejection takes an attempt that the node rejected. Where many queues are full, a node is ejected only for the second rejection
// without an answer between; ejecting each node that rejected one attempt would crowd the others.
func (n *nodeHealth) noteRejection() {
	n.noteResponse()
	n.consecutiveRejected++
	alone := n.router.dispatcher.shedding.currentRejectionRate(n.router.now) <= rejectionWeight
	if n.ejected || n.consecutiveRejected > 1 || alone {
		n.eject(logEjectedRejecting, n.errorRate)
	}
}

// noteUnreachable takes a connection to the node that failed.
func (n *nodeHealth) noteUnreachable() {
	n.unreachable = true
	n.eject(logEjectedUnreachable, n.errorRate)
}

func (n *nodeHealth) noteResponse() {
	n.lastResponseAt = n.router.now
	n.unansweredTime = 0
}

// checkUnresponsive ejects a node that takes attempts and answers none: its calls together have waited several times what is usual. Before
// that, once until it answers again, fresh connections are tried, as one connection may be dead and not its node.
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

// pendingCalls are the calls that the node may still answer. What it lost while it hung stays in flight until clients give up; a call
// counts as lost once the node has answered one that was sent well after it.
func (e *endpoint) pendingCalls() []call {
	lost := 0
	for lost < len(e.calls) && e.calls[lost].sentAt < e.lastAnsweredSentAt-minUnresponsiveTime {
		lost++
	}
	return e.calls[lost:]
}

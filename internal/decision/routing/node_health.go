package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// nodeHealth tracks the health of one store node and reports to the dispatcher what may be sent to it.
type nodeHealth struct {
	router           *Router
	inbox            inbox
	index            nodeIndex
	id               decision.NodeID
	cell             int
	listed           bool            // the endpoint list names the node as ready
	startedAt        time.Duration   // the latest start time that a list has given
	unlistedAt       time.Duration   // when the node was removed from the list; never: it is in the list, perhaps draining
	listedIn         *decision.Event // the list or update being merged, if it names the node
	reported         endpointStatus  // the last status that was sent to the dispatcher
	warmingUp        bool
	unconfirmedSince time.Duration // 0: the entry in the endpoint list is confirmed
	unreachable      bool          // the last connection failed
	sendInterval     time.Duration // usual time between two attempts to a node

	ejected             bool
	trialInFlight       bool
	trialBackoff        time.Duration
	nextTrialAt         time.Duration
	reinstatedAt        time.Duration
	errorRate           float64
	failureShare        float64 // share of the node's attempts that fail, averaged over a longer time than errorRate
	ranked              bool    // failureShare is in Router.failureShares
	lastFailureAt       time.Duration
	consecutiveRejected int // attempts rejected since the node's last answer

	lastResponseAt       time.Duration // when the node last answered, failed or rejected an attempt
	unansweredTime       time.Duration // sum of the time that its calls have waited since lastResponseAt
	connectionsRenewedAt time.Duration // when fresh connections to the node were last requested

	latency        time.Duration // the last latency; one above the usual latency decays towards it
	updatedAt      time.Duration // when latency was last set or decayed
	costFactor     float64       // how many calls one call to the node counts as
	ejectedBy      float64       // how many other brokers had ejected the node, as of lastGossipedAt; decays with time
	lastGossipedAt time.Duration
}

func (n *nodeHealth) handle(m *message) {
	switch m.kind {
	case endpointListed:
		n.handleListed(&m.endpoint)
	case gossipReceived:
		n.handleGossip(m.ejectedBySender)
	case healthCheckAnswered:
		n.unreachable = false
	case attemptSent:
		n.noteTrial()
	case attemptEnded:
		n.handleAttemptEnded(m.outcome, m.elapsed)
	case ticked:
		n.handleTick(m)
	}
	n.report()
}

// handleListed applies the node's entry in the endpoint list.
func (n *nodeHealth) handleListed(line *decision.Endpoint) {
	n.cell = line.Cell
	n.listed = line.State == decision.Ready
	n.setFailureShare(n.failureShare)
	n.unconfirmedSince = 0
	if line.Unconfirmed {
		n.unconfirmedSince = max(1, n.router.now)
	}
	if line.StartedAt > n.startedAt { // an old list may give an older start
		n.startedAt = line.StartedAt
		n.beginWarmUp()
	}
}

func (n *nodeHealth) handleTick(m *message) {
	n.checkUnresponsive(m)
	n.sendInterval = m.sendInterval
	n.updateCostFactor(m)
}

// handleAttemptEnded updates the node's health with the outcome of an attempt.
func (n *nodeHealth) handleAttemptEnded(outcome decision.Outcome, elapsed time.Duration) {
	switch outcome {
	case decision.OK, decision.Stale:
		n.noteAnswer(elapsed)
	case decision.Cancelled:
		if elapsed > n.latency { // the answer would have taken at least as long
			n.noteLatency(elapsed)
		}
	case decision.Errored, decision.ConnectionReset:
		n.noteFailure()
	case decision.Rejected:
		n.noteRejection()
	case decision.ConnectFailed:
		n.noteUnreachable()
	}
}

// report sends the node's status to the dispatcher if it has changed since the last report.
func (n *nodeHealth) report() {
	r := n.router
	n.endSlowStart()
	status := endpointStatus{
		mode:             n.mode(),
		cell:             n.cell,
		capacityShare:    1,
		costFactor:       n.costFactor,
		unreachable:      n.unreachable,
		unconfirmedSince: n.unconfirmedSince,
	}
	if n.warmingUp {
		status.capacityShare = capacityShare(r.settings, r.now-n.startedAt)
	}
	if status != n.reported {
		n.reported = status
		r.post(&r.dispatcher.inbox, message{kind: statusChanged, node: n.index, status: status})
	}
}

func (n *nodeHealth) mode() endpointMode {
	switch {
	case !n.listed:
		return modeUnlisted
	case n.ejected && n.router.now >= n.nextTrialAt:
		return modeTrial
	case n.ejected:
		return modeEjected
	case n.warmingUp:
		return modeWarmingUp
	default:
		return modeWarmedUp
	}
}

// setFailureShare sets the share of the node's attempts that fail, and updates Router.failureShares, which holds the shares of listed
// nodes only.
func (n *nodeHealth) setFailureShare(share float64) {
	ranking := &n.router.failureShares
	unchanged := !n.listed || share == n.failureShare
	if n.ranked == n.listed && unchanged {
		n.failureShare = share
		return
	}
	if n.ranked {
		ranking.remove(n.failureShare)
	}
	n.failureShare = share
	n.ranked = n.listed
	if n.ranked {
		ranking.insert(share)
	}
}

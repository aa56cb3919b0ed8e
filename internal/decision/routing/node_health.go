package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// nodeHealth holds what is known of the health of one store node, and lets the dispatcher know what may be sent to it.
type nodeHealth struct {
	router           *Router
	inbox            inbox
	index            nodeIndex
	id               decision.NodeID
	cell             int
	listed           bool            // and ready
	startedAt        time.Duration   // the latest start that a list named
	unlistedAt       time.Duration   // when it left the list; never: it is in it
	listedIn         *decision.Event // the list being merged, if it names the node
	reported         endpointStatus  // the last that the dispatcher was sent
	warmingUp        bool
	unconfirmedSince time.Duration // 0: it is confirmed
	unreachable      bool          // the last connection failed
	sendInterval     time.Duration // usual time between two attempts to a node

	ejected             bool
	trialInFlight       bool
	trialBackoff        time.Duration
	nextTrialAt         time.Duration
	reinstatedAt        time.Duration
	errorRate           float64
	failureShare        float64 // of its attempts, over a longer time than errorRate
	ranked              bool    // failureShare is in Router.failureShares
	lastFailureAt       time.Duration
	consecutiveRejected int // attempts rejected since its last answer

	lastResponseAt       time.Duration // when it last answered, failed or rejected an attempt
	unansweredTime       time.Duration // that its calls have waited since then, added up
	connectionsRenewedAt time.Duration // when fresh connections to it were last asked for

	latency         time.Duration // the last, fading to the usual one
	updatedAt       time.Duration
	costFactor      float64 // as how many calls one of its calls counts
	ejectingBrokers float64 // how many other brokers have lately ejected it, fading
	lastGossipedAt  time.Duration
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

// handleListed takes the node's line of the endpoint list.
func (n *nodeHealth) handleListed(line *decision.Endpoint) {
	n.cell = line.Cell
	n.listed = line.State == decision.Ready
	n.setFailureShare(n.failureShare)
	n.unconfirmedSince = 0
	if line.Unconfirmed {
		n.unconfirmedSince = max(1, n.router.now)
	}
	if line.StartedAt > n.startedAt { // an old list may name an older start
		n.startedAt = line.StartedAt
		n.beginWarmUp()
	}
}

func (n *nodeHealth) handleTick(m *message) {
	n.checkUnresponsive(m)
	n.sendInterval = m.sendInterval
	n.updateCostFactor(m)
}

// handleAttemptEnded takes how an attempt to the node ended.
func (n *nodeHealth) handleAttemptEnded(outcome decision.Outcome, elapsed time.Duration) {
	switch outcome {
	case decision.OK, decision.Stale:
		n.noteAnswer(elapsed)
	case decision.Cancelled:
		if elapsed > n.latency { // its answer would have taken longer still
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

// report lets the dispatcher know the node's status if that has changed.
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

// setFailureShare sets the share of its attempts that the node fails, and its rank among the listed nodes.
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

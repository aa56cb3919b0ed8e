package routing

import (
	"math"
	"time"
)

// Degraded nodes.
const (
	minDegradedRatio        = 2.0  // of a node's latency to the usual one, from which the node is degraded
	maxCostFactor           = 10.0 // the most calls that one call to a degraded node counts as
	nodeLatencyTimeConstant = 5 * time.Second
	nodeLatencyIntervals    = 4   // the time constant is at least this many send intervals
	minEjectingBrokers      = 1.5 // decaying count of the other brokers that have ejected a node, from which it is degraded
	gossipTimeConstant      = 4 * time.Second
)

// noteLatency records a latency of the node. It replaces the last one and is not averaged, as a broker may send the node no other
// attempt for many seconds.
func (n *nodeHealth) noteLatency(latency time.Duration) {
	n.latency = latency
	n.updatedAt = n.router.now
}

// outdatedLatencyShare returns the share, from 0 to 1, by which the node's last latency is outdated.
func (n *nodeHealth) outdatedLatencyShare() float64 {
	timeConstant := max(nodeLatencyTimeConstant, nodeLatencyIntervals*n.sendInterval)
	return 1 - decayFactor(n.router.now-n.updatedAt, timeConstant)
}

// updateCostFactor compares the node's latency, or the age of its oldest call if that is longer, with the usual latency. To a broker
// with few attempts in flight, a node that is several times slower than the others looks idle; so each call to a degraded node counts
// several times.
func (n *nodeHealth) updateCostFactor(m *message) {
	if n.latency > m.usualLatency {
		n.latency -= time.Duration(n.outdatedLatencyShare() * float64(n.latency-m.usualLatency))
	}
	n.updatedAt = n.router.now
	ratio := min(maxCostFactor, float64(max(n.latency, m.elapsed))/float64(m.usualLatency))
	n.costFactor = 1
	if ratio >= minDegradedRatio {
		n.costFactor = math.Floor(ratio)
	}
	if n.ejectingBrokers() >= minEjectingBrokers {
		n.costFactor = maxCostFactor
	}
}

// handleGossip handles the message of another broker that it has ejected or reinstated the node. If several brokers have ejected it, the
// node counts as degraded until it answers or the count has decayed, so that not every broker has to detect the fault itself. A wrong
// message only costs the node some traffic.
func (n *nodeHealth) handleGossip(ejectedThere bool) {
	n.ejectedBy = n.ejectingBrokers()
	if ejectedThere {
		n.ejectedBy++
	} else {
		n.ejectedBy /= 2
	}
	n.lastGossipedAt = n.router.now
	if n.ejectedBy >= minEjectingBrokers {
		n.costFactor = maxCostFactor
	}
}

// ejectingBrokers returns how many other brokers have ejected the node, decayed by the time since their last message.
func (n *nodeHealth) ejectingBrokers() float64 {
	return n.ejectedBy * decayFactor(n.router.now-n.lastGossipedAt, gossipTimeConstant)
}

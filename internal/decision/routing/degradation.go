package routing

import (
	"math"
	"time"
)

// Degraded nodes.
const (
	minDegradedRatio        = 2.0  // of a node's latency and the usual one
	maxCostFactor           = 10.0 // as how many calls one of its calls counts at most
	nodeLatencyTimeConstant = 5 * time.Second
	nodeLatencyIntervals    = 4   // or this many usual times between attempts to a node
	minEjectingBrokers      = 1.5 // a node is degraded if more have ejected it, fading
	gossipTimeConstant      = 4 * time.Second
)

// noteLatency takes the last latency for the node's; a broker may send it nothing else for many seconds.
func (n *nodeHealth) noteLatency(latency time.Duration) {
	n.latency = latency
	n.updatedAt = n.router.now
}

// outdatedLatencyShare is how much of what is known of the node's latency is outdated.
func (n *nodeHealth) outdatedLatencyShare() float64 {
	timeConstant := max(nodeLatencyTimeConstant, nodeLatencyIntervals*n.sendInterval)
	return 1 - decayFactor(n.router.now-n.updatedAt, timeConstant)
}

// updateCostFactor compares the node's latency, or the age of its oldest call, with the usual one. A node several times slower than others
// looks idle to a broker that has few attempts in flight; while it is degraded, each of its calls counts as several.
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

// handleGossip takes another broker's word that it has ejected or reinstated the node. Where several have ejected it, it counts as
// degraded until it answers or time goes by, so that not every broker has to find out by itself; false word costs it some traffic.
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

// ejectingBrokers is how many other brokers have ejected the node, as far as it is remembered.
func (n *nodeHealth) ejectingBrokers() float64 {
	return n.ejectedBy * decayFactor(n.router.now-n.lastGossipedAt, gossipTimeConstant)
}

package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// Slow start of nodes that are warming up.
const (
	slowStartSafety     = 0.6 // of the load above which a warming-up node fails
	maxFlowRatio        = 1.6 // the flow of which a node gets its share is at most this times the usual flow
	maxAllowance        = 2   // attempts
	minAllowance        = -1
	minUnconfirmedShare = 0.01
)

// Window of an unconfirmed node: how many calls it may have in flight.
const (
	initialWindow          = 1
	windowGrowthPerAnswer  = 0.25 // at most; less if OverloadMultiple is below 2
	windowDivisorOnFailure = 2
)

// slowStart limits the attempts to a node that is warming up, as a token bucket.
type slowStart struct {
	share      float64 // of the flow to a warmed-up node; 1: the node is warmed up
	allowance  float64 // attempts that may be sent now
	refilledAt time.Duration
}

// refill adds the node's share of a flow, in attempts per second, since the last refill.
func (s *slowStart) refill(flow float64, now time.Duration) {
	s.allowance = min(maxAllowance, s.allowance+s.share*flow*(now-s.refilledAt).Seconds())
	s.refilledAt = now
}

// spend subtracts an attempt from the allowance. Attempts sent beyond the allowance make it negative, down to minAllowance.
func (s *slowStart) spend() {
	if s.share < 1 {
		s.allowance = max(minAllowance, s.allowance-1)
	}
}

// capacityShare returns the share of the usual load that a node may get at a given age. It assumes that capacity grows linearly over the
// warm-up time. If every broker sends the node at most this share of what it sends a warmed-up node, then the load from all brokers
// together stays below that under which the node would fail.
func capacityShare(s *decision.Settings, age time.Duration) float64 {
	capacity := s.InitialCapacity + (1-s.InitialCapacity)*float64(max(0, age))/float64(s.WarmUpTime)
	return min(1, slowStartSafety*s.OverloadMultiple*capacity)
}

// beginWarmUp marks the node as warming up if it started less than the warm-up time ago, and resets what was learned before its start.
func (n *nodeHealth) beginWarmUp() {
	age := n.router.now - n.startedAt
	if age >= n.router.settings.WarmUpTime {
		return
	}
	n.warmingUp = true
	n.unreachable = false
	n.ejected = false
	n.errorRate = 0
	n.router.log(logWarmingUp, n.id, age)
}

// endSlowStart ends the warm-up of the node once the warm-up time has passed. An unconfirmed node that has answered counts as confirmed
// after the same time, as by then it has warmed up whenever it started.
func (n *nodeHealth) endSlowStart() {
	r := n.router
	answered := n.lastResponseAt > n.unconfirmedSince
	if n.unconfirmedSince > 0 && answered && r.now-n.unconfirmedSince >= r.settings.WarmUpTime {
		n.unconfirmedSince = 0
	}
	if n.warmingUp && r.now-n.startedAt >= r.settings.WarmUpTime {
		n.warmingUp = false
		r.log(logWarmedUp, n.id)
	}
}

// nodeFlows holds the flow to a warmed-up node, in attempts per second: the mean over the fleet, and over each cell.
type nodeFlows struct {
	fleet  rate
	byCell []rate
}

// add counts an attempt to a warmed-up node of a cell.
func (f *nodeFlows) add(t *endpointTable, cell int, now time.Duration) {
	c := cell % len(f.byCell)
	f.fleet.add(now, 1/float64(t.warmedUp))
	f.byCell[c].add(now, 1/float64(t.warmedUpByCell[c]))
}

// slowStartAdmits reports whether a node that is warming up may be sent an attempt. Its allowance grows by its share of the flow to a
// warmed-up node, which is the current flow in its cell, but
//
//   - at least the usual flow of the fleet, so that the node still gets traffic while its cell is overloaded, and
//   - at most maxFlowRatio times the usual flow, as the nodes of a cell that lacks nodes are sent too much.
//
// A node with no call in flight may also have one attempt per slowStartInterval.
func (d *dispatcher) slowStartAdmits(e *endpoint) bool {
	now := d.router.now
	usual := d.flows.fleet.usual(now)
	cellFlow := &d.flows.byCell[e.cell%len(d.flows.byCell)]
	cellFlow.decay(now)
	flow := min(max(cellFlow.fast, usual), maxFlowRatio*usual)
	e.slowStart.refill(flow, now)
	return e.slowStart.allowance >= 1 || len(e.calls) == 0 && float64(now-e.lastSentAt) >= d.slowStartInterval(e)
}

// slowStartInterval returns the time between attempts to a warming-up node, in nanoseconds, at which all brokers together use no more
// than the node's share of one core.
func (d *dispatcher) slowStartInterval(e *endpoint) float64 {
	return float64(d.router.settings.BrokerCount) * float64(d.latency.lowPoint) / e.slowStart.share
}

// beginSlowStart initialises the slow start of a node at random, so that the brokers do not send their first attempts at the same time.
func (d *dispatcher) beginSlowStart(e *endpoint) {
	r := d.router
	e.slowStart.allowance = r.random.share()
	e.slowStart.refilledAt = r.now
	e.lastSentAt = r.now - time.Duration(r.random.share()*d.slowStartInterval(e))
}

// confirmation limits the calls to a node whose entry in the endpoint list is unconfirmed. A cached list does not show which nodes have
// just started or left. Without the limit, brokers that restart together would overload nodes that are cold, and wait for nodes that
// are gone.
type confirmation struct {
	since        time.Duration // when the node became unconfirmed; 0: it is confirmed
	window       float64       // calls that may be in flight
	backoffUntil time.Duration
	startOffset  float64 // from 0 to 1: this broker's random place in the period over which brokers spread their first calls
}

// admits reports whether another call may be sent. The interval is the time between calls of one broker at which all brokers together do
// not overload a cold node. If it is longer than overloadAfter, a first call from every broker at once would overload such a node, so the
// first calls are spread over the difference.
func (c *confirmation) admits(e *endpoint, now, interval, overloadAfter time.Duration) bool {
	wait := c.startOffset * float64(interval-overloadAfter)
	started := e.lastSentAt > c.since || float64(now-c.since) >= wait
	return started && now >= c.backoffUntil && float64(len(e.calls)+1) <= c.window
}

// confirmationAdmits reports whether a node is confirmed or its window allows another call.
func (d *dispatcher) confirmationAdmits(e *endpoint) bool {
	c := &e.confirmation
	return c.since <= 0 || c.admits(e, d.router.now, d.unconfirmedInterval(), d.router.settings.OverloadAfter)
}

// unconfirmedInterval returns the time between attempts of one broker at which all brokers together do not overload a node that may be
// cold.
func (d *dispatcher) unconfirmedInterval() time.Duration {
	s := d.router.settings
	share := max(minUnconfirmedShare, min(1, slowStartSafety*s.OverloadMultiple*s.InitialCapacity))
	return time.Duration(float64(s.BrokerCount) * float64(d.latency.lowPoint) / share)
}

// adaptWindow widens the window of an unconfirmed node after an answer. After a failure it narrows the window and starts a backoff.
func (d *dispatcher) adaptWindow(e *endpoint, outcome decision.Outcome, elapsed time.Duration) {
	c := &e.confirmation
	switch {
	case c.since == 0:
	case outcome == decision.OK || outcome == decision.Stale:
		c.window += windowGrowthPerAnswer * max(0, min(1, d.router.settings.OverloadMultiple-1))
	case outcome != decision.Cancelled || elapsed > d.latency.p95:
		c.window = max(initialWindow, c.window/windowDivisorOnFailure)
		c.backoffUntil = d.router.now + d.unconfirmedInterval()
	}
}

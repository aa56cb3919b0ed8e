package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// Slow start of nodes that are warming up.
const (
	slowStartSafety     = 0.6 // of the load under which a warming-up node fails
	maxFlowRatio        = 1.6 // of the usual flow that a node is allowed its share of
	maxAllowance        = 2   // attempts
	minAllowance        = -1
	minUnconfirmedShare = 0.01
)

// Confirmation window of nodes that are unconfirmed.
const (
	initialWindow          = 1    // calls in flight
	windowGrowthPerAnswer  = 0.25 // calls
	windowDivisorOnFailure = 2    // the window is divided by it
)

// slowStart is what a node that is warming up may be sent.
type slowStart struct {
	share      float64 // of what a warmed-up node is sent; 1: the node is warmed up
	allowance  float64 // attempts that may be sent now
	refilledAt time.Duration
}

// grow adds the share of a flow, in attempts a second, since the last time.
func (s *slowStart) refill(flow float64, now time.Duration) {
	s.allowance = min(maxAllowance, s.allowance+s.share*flow*(now-s.refilledAt).Seconds())
	s.refilledAt = now
}

// spend books an attempt; one that was not allowed is pending.
func (s *slowStart) spend() {
	if s.share < 1 {
		s.allowance = max(minAllowance, s.allowance-1)
	}
}

// capacityShare is the share of its usual load that a node may get so long after its start. All brokers at once would overload a node
// that is warming up; if each keeps to this share of what it sends a warmed-up node, by a capacity that grows evenly, so does their sum.
func capacityShare(s *decision.Settings, age time.Duration) float64 {
	capacity := s.InitialCapacity + (1-s.InitialCapacity)*float64(max(0, age))/float64(s.WarmUpTime)
	return min(1, slowStartSafety*s.OverloadMultiple*capacity)
}

// beginWarmUp has a node warm up if it started a short while ago. What was known of it before its start no longer counts.
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

// endSlowStart ends the warm-up of a node after its time. An unconfirmed node that has answered is warmed up after the same time,
// whenever it started.
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

// nodeFlows are attempts a second to a warmed-up node.
type nodeFlows struct {
	fleet  rate
	byCell []rate
}

func (f *nodeFlows) add(t *endpointTable, cell int, now time.Duration) {
	c := cell % len(f.byCell)
	f.fleet.add(now, 1/float64(t.warmedUp))
	f.byCell[c].add(now, 1/float64(t.warmedUpByCell[c]))
}

// slowStartAdmits reports whether a node that is warming up may be sent an attempt. Its allowance grows by its share of the flow to a
// warmed-up node: the present one in its cell, or the usual one of the fleet where that is more, as a jam must not starve it; at most
// maxFlowRatio of the usual, as a cell that lacks nodes is sent too much. With nothing in flight it may have one at its interval.
func (d *dispatcher) slowStartAdmits(e *endpoint) bool {
	now := d.router.now
	usual := d.flows.fleet.usual(now)
	own := &d.flows.byCell[e.cell%len(d.flows.byCell)]
	own.decay(now)
	flow := min(max(own.fast, usual), maxFlowRatio*usual)
	e.slowStart.refill(flow, now)
	return e.slowStart.allowance >= 1 || len(e.calls) == 0 && float64(now-e.lastSentAt) >= d.slowStartInterval(e)
}

// slowStartInterval is the time between attempts to a warming-up node, in nanoseconds, that all brokers together can keep within the
// share of one core.
func (d *dispatcher) slowStartInterval(e *endpoint) float64 {
	return float64(d.router.settings.BrokerCount) * float64(d.latency.lowPoint) / e.slowStart.share
}

// beginSlowStart starts the allowance of a node at a time of this broker's own, so that brokers do not send their first attempts at once.
func (d *dispatcher) beginSlowStart(e *endpoint) {
	r := d.router
	e.slowStart.allowance = r.random.share()
	e.slowStart.refilledAt = r.now
	e.lastSentAt = r.now - time.Duration(r.random.share()*d.slowStartInterval(e))
}

// confirmation limits the calls to a node whose entry in the endpoint list is unconfirmed. A cached list does not tell which nodes have
// just started or left. Brokers that come back together would overload those that are cold and wait in vain for those that are gone.
type confirmation struct {
	since        time.Duration // when it became unconfirmed; 0: it is confirmed
	window       float64       // calls that may be in flight
	backoffUntil time.Duration
	startOffset  float64 // from 0 to 1: this broker's place in the time over which brokers spread their first calls
}

// admits reports whether another call may be sent. interval is what all brokers can keep; where one call from each of them at once is
// more than a cold node stands, the first calls are spread over it.
func (c *confirmation) admits(e *endpoint, now, interval, overloadAfter time.Duration) bool {
	wait := c.startOffset * float64(interval-overloadAfter)
	begun := e.lastSentAt > c.since || float64(now-c.since) >= wait
	return begun && now >= c.backoffUntil && float64(len(e.calls)+1) <= c.window
}

func (d *dispatcher) confirmationAdmits(e *endpoint) bool {
	c := &e.confirmation
	return c.since <= 0 || c.admits(e, d.router.now, d.unconfirmedInterval(), d.router.settings.OverloadAfter)
}

// unconfirmedInterval is the time between attempts that all brokers can keep to a node that may be cold.
func (d *dispatcher) unconfirmedInterval() time.Duration {
	s := d.router.settings
	share := max(minUnconfirmedShare, min(1, slowStartSafety*s.OverloadMultiple*s.InitialCapacity))
	return time.Duration(float64(s.BrokerCount) * float64(d.latency.lowPoint) / share)
}

// adaptWindow has the window of an unconfirmed node follow how an attempt to it ended; after a failure the node gets a pause.
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

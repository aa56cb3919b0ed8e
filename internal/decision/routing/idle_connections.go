package routing

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	idleErrorWeight   = 0.05                   // of one attempt in the error rates
	minIdleErrorRate  = 0.3                    // above it idle connections are closed before use
	minIdleErrorRatio = 4.0                    // of the error rates over idle and over fresh connections
	minIdleTime       = 200 * time.Millisecond // from which a connection counts as idle
	closeIdleFor      = 20 * time.Second
	quickResetDivisor = 16 // a reset within the p50 over this tells of a connection that was cut
)

// attemptError is how much of an attempt failed, for an error rate.
type attemptError float64

const (
	attemptAnswered attemptError = 0
	attemptFailed   attemptError = 1
)

// idleConnections learns whether something between this broker and the nodes cuts connections that stand idle. The next attempt over
// such a connection breaks, or is lost without a word: that is most attempts of a broker with little traffic.
type idleConnections struct {
	errorRate          float64       // of attempts over connections that stood idle
	freshErrorRate     float64       // of the others
	shortestFailedIdle time.Duration // idle connections that stood so long fail; never: none did
	closeUntil         time.Duration
}

// observe takes how an attempt ended that was sent after the connection had stood idle for a time. It reports whether closing begins.
func (c *idleConnections) observe(idle time.Duration, failed attemptError, now time.Duration) (begins bool) {
	if idle < minIdleTime {
		c.freshErrorRate += idleErrorWeight * (float64(failed) - c.freshErrorRate)
		return false
	}
	c.errorRate += idleErrorWeight * (float64(failed) - c.errorRate)
	if failed == attemptAnswered {
		return false
	}
	c.shortestFailedIdle = min(c.shortestFailedIdle, idle)
	if c.errorRate < 2*idleErrorWeight { // the failures before were long ago
		c.shortestFailedIdle = idle
	}
	cut := c.errorRate > minIdleErrorRate && c.errorRate > minIdleErrorRatio*c.freshErrorRate
	if !cut || now < c.closeUntil {
		return false
	}
	c.closeUntil = now + closeIdleFor
	return true
}

// closeBeforeUse reports whether connections that stood idle for a time are closed rather than used.
func (c *idleConnections) closeBeforeUse(idle, now time.Duration) bool {
	return idle >= c.shortestFailedIdle && now < c.closeUntil
}

func (d *dispatcher) observeConnection(a *attempt, failed attemptError) {
	c := &d.idleConnections
	if c.observe(a.idleTime, failed, d.router.now) {
		d.router.log(logIdleConnectionsAreCut, c.errorRate, c.shortestFailedIdle, c.freshErrorRate)
	}
}

// isQuickReset reports whether an attempt was reset so soon that the connection must have been cut before.
func (d *dispatcher) isQuickReset(e *decision.Event) bool {
	return e.Outcome == decision.ConnectionReset && e.Elapsed < d.latency.p50/quickResetDivisor
}

// renewConnections has the node's next attempts go over fresh connections.
func (n *nodeHealth) renewConnections() {
	n.router.act(decision.Action{Kind: decision.CloseIdleConnections, Node: n.id})
}

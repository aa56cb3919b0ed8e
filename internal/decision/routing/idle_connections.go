package routing

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	idleErrorWeight   = 0.05                   // of one attempt in the moving averages of the error rates
	minIdleErrorRate  = 0.3                    // above it idle connections are closed before use, if minIdleErrorRatio is exceeded too
	minIdleErrorRatio = 4.0                    // of the error rate over idle connections to that over fresh ones
	minIdleTime       = 200 * time.Millisecond // from which a connection counts as idle
	closeIdleFor      = 20 * time.Second
	quickResetDivisor = 16 // a reset within the p50 divided by this means that the connection had been cut before the attempt was sent
)

// attemptError is the contribution of an attempt to an error rate.
type attemptError float64

const (
	attemptAnswered attemptError = 0
	attemptFailed   attemptError = 1
)

// idleConnections detects whether something between this broker and the nodes cuts idle connections. The next attempt over such a
// connection is reset, or gets no answer at all. On a broker with little traffic this would hit most attempts.
type idleConnections struct {
	errorRate          float64       // of attempts over connections that had been idle
	freshErrorRate     float64       // of attempts over other connections
	shortestFailedIdle time.Duration // shortest idle time after which an attempt failed; never: none did
	closeUntil         time.Duration // until then, connections that have been idle for shortestFailedIdle or longer are closed before use
}

// observe records the outcome of an attempt and how long its connection had been idle before. It reports whether idle connections are
// closed from now on.
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
	if c.errorRate < 2*idleErrorWeight { // earlier failures were long ago
		c.shortestFailedIdle = idle
	}
	cut := c.errorRate > minIdleErrorRate && c.errorRate > minIdleErrorRatio*c.freshErrorRate
	if !cut || now < c.closeUntil {
		return false
	}
	c.closeUntil = now + closeIdleFor
	return true
}

// closeBeforeUse reports whether a connection that has been idle for the given time has to be closed and not used.
func (c *idleConnections) closeBeforeUse(idle, now time.Duration) bool {
	return idle >= c.shortestFailedIdle && now < c.closeUntil
}

// observeConnection records the outcome of an attempt over its connection, and logs if idle connections are closed from now on.
func (d *dispatcher) observeConnection(a *attempt, failed attemptError) {
	c := &d.idleConnections
	if c.observe(a.idleTime, failed, d.router.now) {
		d.router.log(logIdleConnectionsAreCut, c.errorRate, c.shortestFailedIdle, c.freshErrorRate)
	}
}

// isQuickReset reports whether an attempt was reset so soon after sending that the connection must have been cut before.
func (d *dispatcher) isQuickReset(e *decision.Event) bool {
	return e.Outcome == decision.ConnectionReset && e.Elapsed < d.latency.p50/quickResetDivisor
}

// renewConnections has the open connections to the node closed, so that the next attempts use new ones.
func (n *nodeHealth) renewConnections() {
	n.router.act(decision.Action{Kind: decision.CloseIdleConnections, Node: n.id})
}

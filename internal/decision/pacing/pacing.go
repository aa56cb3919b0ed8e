// Package pacing decides how long the next request of a client's connection has to wait, so that one client that sends requests as fast as it can
// does not take the processor from the others, and how long the next new connection has to wait, so that a crowd that connects as fast as it can
// does not either. Only requests that the broker answers by itself count: refused and unsound ones, and those for its state. Queries that nodes have
// answered are limited by the nodes' time.
//
// The package does no I/O and reads no clock. Concurrency: all methods may be called from any goroutine.
package pacing

import (
	"time"

	"golang.org/x/time/rate"
)

// A connection may have ownBurst requests answered by the broker itself at once, and ownRate a second from then on. Connections beyond that share
// sharedRate, which costs the processor a few percent.
const (
	ownRate     = 200 // requests a second
	ownBurst    = 50  // requests
	sharedRate  = 2000
	sharedBurst = 200
)

// At the limit on connections, each new one ends another. Beyond displacementBurst such connections, displacementRate a second are accepted; more wait
// in the kernel's queue, so that clients which connect as fast as they can leave the processor to queries.
const (
	displacementRate  = 2000 // connections a second
	displacementBurst = 200
)

// Displacements paces new connections that end others.
type Displacements struct{ limiter *rate.Limiter }

// NewDisplacements returns a pacer that has seen no connection.
func NewDisplacements() *Displacements {
	return &Displacements{rate.NewLimiter(displacementRate, displacementBurst)}
}

// Displaced records that a new connection has ended another, and returns how long the next one has to wait.
func (d *Displacements) Displaced(now time.Time) time.Duration {
	return d.limiter.ReserveN(now, 1).DelayFrom(now)
}

// Limiter is what the connections of all clients share.
type Limiter struct{ shared *rate.Limiter }

// NewLimiter returns a limiter without connections.
func NewLimiter() *Limiter { return &Limiter{rate.NewLimiter(sharedRate, sharedBurst)} }

// Connection paces one connection. Its zero value has answered nothing.
type Connection struct{ own *rate.Limiter }

// Answered records that the broker has answered a request by itself, and returns how long the connection has to wait before its next one.
func (l *Limiter) Answered(c *Connection, now time.Time) time.Duration {
	if c.own == nil {
		c.own = rate.NewLimiter(ownRate, ownBurst)
	}
	if c.own.TokensAt(now) >= 1 {
		return c.own.ReserveN(now, 1).DelayFrom(now)
	}
	turn := l.shared.ReserveN(now, 1).DelayFrom(now)
	tokens := 1 + int(turn.Seconds()*ownRate) // else it would gain tokens of its own while it waits for its turn
	wait := c.own.ReserveN(now, min(tokens, ownBurst)).DelayFrom(now)
	return max(wait, turn)
}

// Package reclaim decides which client connection gives way when a front may hold no more of them, whatever protocol its clients speak. It does
// no I/O and reads no clock.
//
// Depends on no package of this module. Concurrency: the package keeps no state; the caller guards the connections.
package reclaim

import (
	"iter"
	"time"
)

// State is the state of a connection.
type State uint8

// The states, in the order in which connections are reclaimed: idle ones first, busy ones never.
const (
	Idle    State = iota // between requests
	Reading              // a request is arriving
	Busy                 // a request is being answered
)

// Connection is what the decision depends on.
type Connection struct {
	State  State
	Since  time.Time // when it entered that state
	Used   bool      // a whole request has arrived on it
	Ending bool      // the broker has decided to end it
}

// ForNew returns the connection that gives way to a new one: the one that has been idle for longest or, if none is idle, the one whose request
// has been arriving for longest; nil if there is none. New connections and arriving requests are exempt for the grace.
func ForNew(open iter.Seq[*Connection], now time.Time, grace time.Duration) *Connection {
	return first(open, func(c *Connection) bool {
		idle := c.State == Idle && c.Used
		overdue := c.State != Busy && now.Sub(c.Since) > grace
		return idle || overdue
	})
}

// OverUsed returns the connection that gives way because requests have arrived on more than limit connections: the one that has been idle for
// longest; nil if there is none. Clients have a limited number of connections for requests, and idle ones that they don't use again would take
// these up while the broker still has capacity, so that their next requests would never be sent. Clients that send requests seldom pay with a
// new connection for each.
func OverUsed(open iter.Seq[*Connection], limit int) *Connection {
	used := 0
	for c := range open {
		if c.Used && !c.Ending {
			used++
		}
	}
	if used <= limit {
		return nil
	}
	return first(open, func(c *Connection) bool { return c.State == Idle && c.Used })
}

// first returns the connection that is reclaimed first of those that qualify, or nil.
func first(open iter.Seq[*Connection], qualifies func(*Connection) bool) *Connection {
	var found *Connection
	for c := range open {
		if !c.Ending && qualifies(c) && (found == nil || c.before(found)) {
			found = c
		}
	}
	return found
}

// before reports whether c is reclaimed before o: the lower state first, then the one longer in its state.
func (c *Connection) before(o *Connection) bool {
	if c.State != o.State {
		return c.State < o.State
	}
	return c.Since.Before(o.Since)
}

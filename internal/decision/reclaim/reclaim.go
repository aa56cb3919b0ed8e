// Package reclaim decides which client connection gives way when a front may hold no more of them, whatever protocol its clients speak. It does
// no I/O and reads no clock. A decision costs the same however many connections are open, as it is made for each new one.
//
// Depends on no package of this module. Concurrency: an Order and its connections are for one goroutine at a time.
package reclaim

import "time"

// State is the state of a connection.
type State uint8

// The states, in the order in which connections are reclaimed: idle ones first, busy ones never.
const (
	Idle    State = iota // between requests
	Reading              // a request is arriving
	Busy                 // a request is being answered

	StateCount = int(Busy) + 1
)

// Connection is what the decision depends on. It is in one Order at most.
type Connection struct {
	Owner any // what the connection stands for; the Order does not use it

	state  State
	since  time.Time // when it entered that state
	used   bool      // a whole request has arrived on it
	ending bool      // the broker has decided to end it

	queue          *queue // that it is in; nil: none
	previous, next *Connection
}

// State returns the connection's state.
func (c *Connection) State() State { return c.state }

// Used reports whether a whole request has arrived on the connection.
func (c *Connection) Used() bool { return c.used }

// Order holds the open connections of a front, in the order in which they give way. Times must not go back.
type Order struct {
	idleUsed   queue
	idleUnused queue
	reading    queue
	usedCount  int // connections that are used and not ending
}

// Enter records that a connection enters a state. One that is not in the order is added; one that is busy has brought a whole request.
func (o *Order) Enter(c *Connection, state State, now time.Time) {
	c.state = state
	c.since = now
	if state == Busy && !c.used {
		c.used = true
		o.countUsed(c, 1)
	}
	o.place(c)
}

// MarkEnding records that the broker has decided to end a connection: it no longer gives way to others.
func (o *Order) MarkEnding(c *Connection) {
	o.countUsed(c, -1)
	c.ending = true
	c.leave()
}

// countUsed counts a connection if it is used and not ending.
func (o *Order) countUsed(c *Connection, n int) {
	if c.used && !c.ending {
		o.usedCount += n
	}
}

// Remove removes a connection that has ended.
func (o *Order) Remove(c *Connection) { o.MarkEnding(c) }

// place puts a connection that has just entered its state at the end of the queue for it.
func (o *Order) place(c *Connection) {
	c.leave()
	switch {
	case c.ending || c.state == Busy:
	case c.state == Reading:
		o.reading.append(c)
	case c.used:
		o.idleUsed.append(c)
	default:
		o.idleUnused.append(c)
	}
}

// ForNew returns the connection that gives way to a new one: the one that has been idle for longest or, if none is idle, the one whose request
// has been arriving for longest; nil if there is none. New connections and arriving requests are exempt for the grace.
func (o *Order) ForNew(now time.Time, grace time.Duration) *Connection {
	used, unused, reading := o.idleUsed.first, o.idleUnused.first, o.reading.first
	unused = unused.overdue(now, grace)
	switch {
	case used != nil && (unused == nil || used.since.Before(unused.since)):
		return used
	case unused != nil:
		return unused
	default:
		return reading.overdue(now, grace)
	}
}

// overdue returns the connection if it has been in its state for longer than the grace, and nil otherwise.
func (c *Connection) overdue(now time.Time, grace time.Duration) *Connection {
	if c != nil && now.Sub(c.since) > grace {
		return c
	}
	return nil
}

// OverUsed returns the connection that gives way because requests have arrived on more than limit connections: the one that has been idle for
// longest; nil if there is none. Clients have a limited number of connections for requests, and idle ones that they don't use again would take
// these up while the broker still has capacity, so that their next requests would never be sent. Clients that send requests seldom pay with a
// new connection for each.
func (o *Order) OverUsed(limit int) *Connection {
	if o.usedCount <= limit {
		return nil
	}
	return o.idleUsed.first
}

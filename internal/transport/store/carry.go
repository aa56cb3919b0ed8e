package store

// This file lets connections be something other than sockets with frames: connections to nodes of other protocols, and the simulated network
// in virtual time. The pool still decides when a connection is opened and closed, and what is written.

import (
	"net/netip"
	"time"
)

// Carrier opens a connection to a node and returns a function that closes it. It reports progress by events that the handle makes, and that
// are passed to Pool.HandleEvent: first Up or Down; after Up any number of Answered, and finally Down, also after a close.
type Carrier func(node string, addr netip.AddrPort, h Handle) (closing func())

// Queue is implemented by a carrier's connection that sends attempts one after the other.
type Queue interface {
	// Withdraw takes back the attempts that were not sent yet, and returns their ids. They get no answer.
	Withdraw() (ids []string)
}

// Handle makes the events of one connection.
type Handle struct{ conn *conn }

// Up returns the event that the connection is established.
func (h Handle) Up(at time.Duration, c Conn) Event {
	return Event{conn: h.conn, kind: up, at: at, up: c}
}

// Answered returns the event that an answer has been received.
func (h Handle) Answered(at time.Duration, a Answer) Event {
	return Event{conn: h.conn, kind: answered, at: at, answer: a}
}

// Down returns the event that the connection has ended, or could not be established.
func (h Handle) Down(at time.Duration, err error) Event {
	return Event{conn: h.conn, kind: down, at: at, err: err}
}

// SetCarrier makes the pool open connections by a carrier instead of the dialer.
func (p *Pool) SetCarrier(c Carrier) { p.carrier = c }

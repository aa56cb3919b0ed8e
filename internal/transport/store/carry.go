package store

// This file owns the way in for connections that do not carry frames over sockets: nodes of other protocols, and the laboratory's
// network in virtual time. The pool goes on deciding when a connection is opened and closed and what is written.

import (
	"net/netip"
	"time"
)

// Carrier opens a connection to a node and returns how it is closed from this side. It tells what comes of it by events made
// of the handle, which go to Pool.Handle: once up or down, then answers, then down, also after a close.
type Carrier func(node string, addr netip.AddrPort, h Handle) (closing func())

// HandleEvent makes the events of one connection.
type Handle struct{ conn *conn }

// Up tells that the connection stands.
func (h Handle) Up(at time.Duration, c Conn) Event {
	return Event{conn: h.conn, kind: up, at: at, up: c}
}

// Answered tells an answer.
func (h Handle) Answered(at time.Duration, a Answer) Event {
	return Event{conn: h.conn, kind: answered, at: at, answer: a}
}

// Down tells the end.
func (h Handle) Down(at time.Duration, err error) Event {
	return Event{conn: h.conn, kind: down, at: at, err: err}
}

// SetCarrier has connections opened by a carrier instead of the dialer.
func (p *Pool) SetCarrier(c Carrier) { p.carrier = c }

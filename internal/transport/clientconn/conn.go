// Package clientconn holds the client connections of a front and their states, so that their number is limited and an idle one gives way to a
// new one, by the same rules for every protocol. It reads and writes nothing: a front tells it of each change of state, and interrupts the reader
// of a connection that is to end. Which connection gives way is decided in decision/reclaim.
//
// Depends on decision/pacing, decision/reclaim. Concurrency: a lock guards the set and the state of its connections; all methods may be called from any goroutine.
package clientconn

import "flaxfront/internal/decision/reclaim"

// Reason is why a connection ends: the reason code in its log line.
type Reason string

// The reasons for which a set ends connections.
const (
	StillOpen Reason = ""        // it stays open
	Reclaimed Reason = "spare"   // its descriptor was needed for another connection
	Drained   Reason = "drained" // it was idle in a graceful shutdown
)

// Conn is the state of one connection.
type Conn struct {
	interrupt func() // wakes the connection's reader
	overLimit bool   // set by Admit, before the connection is served

	state     reclaim.Connection // guarded by the set's lock, as is endReason
	endReason Reason
}

// NewConn returns the state of a connection. interrupt is called, with the set locked, when the set has decided to end the connection while it
// waits for a request or reads one; it must make the reader return.
func NewConn(interrupt func()) *Conn {
	c := &Conn{interrupt: interrupt}
	c.state.Owner = c
	return c
}

// OverLimit reports whether the connection was admitted beyond the limit although none could give way: its request must be shed, and it must be
// closed after that. It may be called once Admit has returned.
func (c *Conn) OverLimit() bool { return c.overLimit }

package ingress

import (
	"bufio"
	"net"
	"time"

	"flaxfront/internal/transport/httpwire"
	"flaxfront/internal/transport/lookahead"
)

// connection is one client connection. Only the goroutine that serves it uses it, apart from the fields guarded by the set's lock.
type connection struct {
	net.Conn
	ahead    *lookahead.Reader
	in       *bufio.Reader // reads from ahead
	out      []byte        // buffer for answers
	opened   time.Time
	requests int

	overLimit bool // it exceeds the limit on connections: its query is shed, and it is closed
	hadQuery  bool // a valid query has arrived on it

	// Guarded by connectionSet.mu.
	state      State
	stateSince time.Time // when it entered that state
	used       bool      // a whole request has arrived on it
	endReason  Reason    // why the broker ends it; stillOpen: it doesn't
}

// State is the state of a connection.
type State uint8

// The states, in the order in which connections are reclaimed: idle ones first, busy ones never.
const (
	StateIdle    State = iota // between requests
	StateReading              // a request is arriving
	StateBusy                 // a request is being answered
)

// ConnectionInfo describes a connection at one moment.
type ConnectionInfo struct {
	State  State
	Used   bool   // a whole request has arrived on it
	Ending Reason // why the broker ends it; empty: it doesn't
}

// MaxLookahead is the maximum number of bytes read ahead of a client's next requests while one is being answered.
const MaxLookahead = 16 << 10

func newConnection(conn net.Conn, now func() time.Duration) *connection {
	ahead := lookahead.New(conn, now, MaxLookahead)
	return &connection{
		Conn:   conn,
		ahead:  ahead,
		in:     httpwire.NewReader(ahead),
		opened: time.Now(),
	}
}

// pastDeadline is a read deadline in the past: it wakes a blocked reader.
var pastDeadline = time.Unix(1, 0)

// hasUnread reports whether bytes have arrived that were not read yet. Ending an idle connection just as its next request arrives would
// lose that query.
func (c *connection) hasUnread() bool {
	c.ahead.ReadAvailable()
	return c.in.Buffered()+c.ahead.Unread() > 0
}

// end makes the broker end the connection, and wakes its reader. The caller holds connectionSet.mu.
func (c *connection) end(reason Reason) {
	c.endReason = reason
	c.SetReadDeadline(pastDeadline)
}

// setState sets the state and its time. The caller holds connectionSet.mu.
func (c *connection) setState(state State) {
	c.state = state
	c.stateSince = time.Now()
}

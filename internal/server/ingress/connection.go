package ingress

import (
	"bufio"
	"net"
	"time"

	"flaxfront/internal/transport/httpwire"
	"flaxfront/internal/transport/lookahead"
)

// connection is one client connection. It is used by the goroutine that serves it, but for the fields behind the set's lock.
type connection struct {
	net.Conn
	ahead    *lookahead.Reader
	in       *bufio.Reader // over ahead
	out      []byte        // buffer of answers
	opened   time.Time
	requests int

	overLimit bool // it exceeds the limit: its query is shed, and it ends
	hadQuery  bool // it has brought a query that could be submitted

	// Guarded by connectionSet.mu.
	state      State
	stateSince time.Time // when it came into that state
	used       bool      // it has brought a request
	endReason  Reason    // why this side ends it
}

// State is what a connection is at.
type State uint8

// The states, in the order in which connections are reclaimed.
const (
	StateIdle    State = iota // between requests
	StateReading              // a request has begun
	StateBusy                 // a request is being answered
)

// ConnectionInfo is a connection at one moment.
type ConnectionInfo struct {
	State  State
	Used   bool   // it has brought a request
	Ending Reason // why the broker ends it; empty: it doesn't
}

// MaxLookahead bounds the bytes that are read of a client's next requests while one is being answered.
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

// pastDeadline is a deadline that wakes whoever reads.
var pastDeadline = time.Unix(1, 0)

// hasUnread tells whether bytes have come that were not read: an idle connection that ends just when its next request arrives would take
// the query with it.
func (c *connection) hasUnread() bool {
	c.ahead.Look()
	return c.in.Buffered()+c.ahead.Ahead() > 0
}

// end has this side end the connection: its reader is woken. The caller holds connectionSet.mu.
func (c *connection) end(reason Reason) {
	c.endReason = reason
	c.SetReadDeadline(pastDeadline)
}

// setState notes a state. The caller holds connectionSet.mu.
func (c *connection) setState(state State) {
	c.state = state
	c.stateSince = time.Now()
}

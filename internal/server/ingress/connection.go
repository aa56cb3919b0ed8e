package ingress

import (
	"bufio"
	"net"
	"time"

	"flaxfront/internal/decision/pacing"
	"flaxfront/internal/transport/clientconn"
	"flaxfront/internal/transport/httpwire"
	"flaxfront/internal/transport/lookahead"
	"flaxfront/internal/transport/membudget"
)

// connection is one client connection. Only the goroutine that serves it uses it.
type connection struct {
	net.Conn
	ahead    *lookahead.Reader
	in       *bufio.Reader // reads from ahead
	out      []byte        // buffer for answers
	opened   time.Time
	requests int

	state    *clientconn.Conn
	hadQuery bool // a valid query has arrived on it
	pace     pacing.Connection

	memory       membudget.Account // of the request that is being read or answered
	waited       bool              // the request has had to wait for memory
	waitedSince  time.Duration     // when it first had to, since the broker's start
	waitForBytes func() time.Time  // see reserve; created once, as it is passed for each line
}

// MaxLookahead is the maximum number of bytes read ahead of a client's next requests while one is being answered.
const MaxLookahead = 16 << 10

func (in *Ingress) newConnection(conn net.Conn) *connection {
	ahead := lookahead.New(conn, in.broker.Uptime, MaxLookahead, in.options.Memory)
	c := &connection{
		state:  clientconn.NewConn(func() { conn.SetReadDeadline(pastDeadline) }),
		Conn:   conn,
		ahead:  ahead,
		in:     httpwire.NewReader(ahead),
		opened: time.Now(),
	}
	c.memory.Open(in.options.Memory, in.options.GuaranteedBytes)
	c.waitForBytes = func() time.Time {
		if !c.waited {
			c.waited = true
			c.waitedSince = in.broker.Uptime()
		}
		left := in.options.ReadGrace - (in.broker.Uptime() - c.waitedSince)
		return time.Now().Add(left)
	}
	return c
}

// reserve reserves memory for the request that is being read, and waits for it up to the read grace in all. Nothing is read meanwhile.
func (c *connection) reserve(bytes int) bool { return c.memory.Grow(bytes, c.waitForBytes) }

// releaseRequest gives back the memory of the last request.
func (c *connection) releaseRequest() {
	c.memory.Close()
	c.waited = false
}

// release gives back all memory.
func (c *connection) release() {
	c.releaseRequest()
	c.ahead.Release()
}

// pastDeadline is a read deadline in the past: it wakes a blocked reader.
var pastDeadline = time.Unix(1, 0)

// hasUnread reports whether bytes have arrived that were not read yet. Ending an idle connection just as its next request arrives would
// lose that query.
func (c *connection) hasUnread() bool {
	c.ahead.ReadAvailable()
	return c.in.Buffered()+c.ahead.Unread() > 0
}

package server

// This file owns the set of client connections: accepting, their states, who is admitted, who gives way, who is told to go. It must
// never close a connection that has a search in hand.

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/transport/httpwire"
	"flaxfront/internal/transport/lookahead"
)

// client is one client connection.
type client struct {
	net.Conn
	ahead    *lookahead.Reader
	in       *bufio.Reader // over ahead
	out      []byte
	opened   time.Time
	requests int

	crowded bool // there was no room for it: its search is shed, and then it ends
	useful  bool // it has brought a request that could be taken

	// guarded by clients.mu
	state state
	since time.Time // when it came into that state
	used  bool      // it has brought a request
	ended string    // why this side ends it
}

// keptAhead bounds what is read of a client's next requests while one is in hand.
const keptAhead = 16 << 10

func newClient(conn net.Conn, now func() time.Duration) *client {
	ahead := lookahead.New(conn, now, keptAhead)
	return &client{Conn: conn, ahead: ahead, in: httpwire.NewReader(ahead), opened: time.Now()}
}

type state uint8

const (
	idle    state = iota // between requests
	reading              // a request has begun
	busy                 // a request is in hand
)

// overflow is how many connections may stand beyond the bound for a moment: those about to be closed, and those that
// found no room.
const overflow = 8

// clients are all client connections. Danger: more of them than there are descriptors, by a crowd, by clients that
// open and say nothing, or by requests that never come whole. Where their number is reached the one that idled
// longest is closed for a new one; where none idles the new one is told to come back, and beyond the overflow new
// ones wait in the kernel. It may hurt clients that open connections long before they use them.
type clients struct {
	mu      sync.Mutex
	all     map[*client]bool
	most    int
	kept    int           // that have brought a request, busy ones included
	moment  time.Duration // in which a request comes whole, as a rule
	room    chan struct{} // told when one ends or falls idle
	closing bool          // idle ones are closed at once
	lines   lines

	accepted, closed, refused, unwritten atomic.Uint64
}

// admit counts a connection in, or tells that there is no room.
func (cs *clients) admit(c *client) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.state, c.since = idle, time.Now()
	if over := len(cs.all) - cs.most; over >= 0 {
		freed := cs.spare()
		if over >= overflow {
			return false
		}
		c.crowded = !freed
	}
	cs.all[c] = true
	return true
}

// spare ends the connection that idled longest, or where none idles the one whose request has been coming for
// longest. A new one, or a request that comes, is given a moment. The caller holds mu.
func (cs *clients) spare() bool {
	return cs.endOldest(func(c *client) bool {
		return c.state == idle && c.used || c.state != busy && time.Since(c.since) > cs.moment
	})
}

// endOldest ends, of those that fit, the one that idled longest, or else the one in its state for longest. The caller
// holds mu.
func (cs *clients) endOldest(fits func(*client) bool) bool {
	var oldest *client
	for c := range cs.all {
		if fits(c) && c.ended == "" && (oldest == nil || c.state < oldest.state ||
			c.state == oldest.state && c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.end("spare")
	}
	return oldest != nil
}

// keep ends the connection that idled longest where more than kept have brought a request. Danger: the protocol lets
// clients hold a third of the descriptors for requests. Where they keep connections that they don't use again, they run
// out of them while this side still has room, and their next requests never leave. It may hurt many clients that come
// back seldom, by a new connection each. The caller holds mu.
func (cs *clients) keep() {
	n := 0
	for c := range cs.all {
		if c.used && c.ended == "" {
			n++
		}
	}
	if n > cs.kept {
		cs.endOldest(func(c *client) bool { return c.state == idle && c.used })
	}
}

// end wakes the connection's reader, which then closes it. The caller holds mu.
func (c *client) end(reason string) {
	c.ended = reason
	c.SetReadDeadline(past)
}

// turn notes a connection's state and tells why it is to be closed, if it is.
func (cs *clients) turn(c *client, to state) string {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.state, c.since = to, time.Now()
	if to == busy && !c.used {
		c.used = true
		cs.keep()
	}
	if to == idle {
		if cs.closing && c.ended == "" {
			c.ended = "drained"
		}
		cs.tellRoom()
	}
	return c.ended
}

// ending tells why this side ends a connection, if it does.
func (cs *clients) ending(c *client) string {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.ended
}

func (cs *clients) tellRoom() {
	select {
	case cs.room <- struct{}{}:
	default:
	}
}

// remove takes a connection off the books and tells whether its end is to be logged.
func (cs *clients) remove(c *client) (logged bool, left int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.all, c)
	cs.closed.Add(1)
	cs.tellRoom()
	if c.useful {
		return true, 0
	}
	return cs.lines.one(time.Now())
}

// closeIdle closes idle connections, now and whenever one falls idle.
func (cs *clients) closeIdle() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closing = true
	for c := range cs.all {
		if c.state == idle && c.ended == "" {
			c.end("drained")
		}
	}
}

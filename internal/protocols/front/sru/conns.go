package sru

// This file limits the front's connections: an idle one gives way to a new one, and where none idles, the new one's request is shed.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"flaxfront/internal/decision/pacing"
	"flaxfront/internal/decision/reclaim"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/clientconn"
	"flaxfront/internal/transport/lookahead"
)

// pastDeadline is a read deadline in the past: it wakes a blocked reader.
var pastDeadline = time.Unix(1, 0)

// limitedListener accepts connections and keeps their states in a set.
type limitedListener struct {
	net.Listener
	set    *clientconn.Set
	now    func() time.Duration
	memory server.FrontMemory

	closing sync.Once
	closed  chan struct{}
}

func newListener(l net.Listener, clients int, now func() time.Duration, memory server.FrontMemory) *limitedListener {
	limits := clientconn.Limits{Connections: clients, Used: clients, ReadGrace: readGrace}
	return &limitedListener{Listener: l, set: clientconn.NewSet(limits), now: now, memory: memory, closed: make(chan struct{})}
}

const (
	readGrace    = 250 * time.Millisecond // for a request that has begun to arrive, and for a new connection
	capacityWait = 250 * time.Millisecond // after which a connection that waits for capacity looks again
)

// Accept returns the next connection once there is capacity for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	time.Sleep(l.set.AcceptPause())
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, set: l.set, ahead: lookahead.New(conn, l.now, maxLookahead, l.memory.Requests)}
	c.request.memory.Open(l.memory.Requests, l.memory.Guaranteed)
	c.state = clientconn.NewConn(c.interrupt)
	for !l.set.Admit(c.state) {
		select {
		case <-l.set.Capacity():
		case <-time.After(capacityWait):
		case <-l.closed:
			conn.Close()
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

// Close stops accepting connections.
func (l *limitedListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// maxLookahead is the number of bytes read ahead of a client's next request.
const maxLookahead = 4 << 10

// clientConn is a client's connection, which net/http reads. Only its reader's goroutine uses ahead and used.
type clientConn struct {
	net.Conn
	set   *clientconn.Set
	state *clientconn.Conn
	ahead *lookahead.Reader
	used  bool // a request has arrived on it
	close sync.Once
	pace  pacing.Connection

	request incoming

	mu          sync.Mutex
	interrupted bool      // read deadlines that net/http sets have no effect
	pausedUntil time.Time // before which nothing is read
}

// interrupt wakes the reader of an idle connection that gives way.
func (c *clientConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.Conn.SetReadDeadline(pastDeadline)
}

// resume lets a request be read whose first bytes arrived just as its connection was to give way. A new connection gets no more than the grace,
// as its client is owed an error or a close soon after connecting.
func (c *clientConn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return
	}
	left := readGrace
	if c.used {
		left = headerTimeout
	}
	c.interrupted = false
	c.Conn.SetReadDeadline(time.Now().Add(left))
}

// SetReadDeadline sets the deadline of reads, unless the connection is to give way.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// pauseUntil lets nothing be read before a time.
func (c *clientConn) pauseUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil = t
}

// awaitPause waits until a pause is over.
func (c *clientConn) awaitPause() {
	c.mu.Lock()
	left := time.Until(c.pausedUntil)
	c.mu.Unlock()
	time.Sleep(left)
}

// Read reads from the client. The first bytes of a request change the connection's state.
func (c *clientConn) Read(p []byte) (int, error) {
	c.awaitPause()
	if c.request.isRefused() {
		return 0, errRefused
	}
	n, err := c.ahead.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.set.EndReason(c.state) != clientconn.StillOpen {
		if c.ahead.ReadAvailable(); c.ahead.Unread() > 0 {
			c.resume()
			n, err = c.ahead.Read(p)
		}
	}
	if n > 0 && c.set.State(c.state) == reclaim.Idle {
		c.set.StartReading(c.state)
		c.resume()
	}
	n, refused := c.account(p[:n])
	if refused != nil {
		return 0, refused
	}
	return n, err
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.close.Do(func() { c.set.Remove(c.state) })
	c.request.end()
	c.ahead.Release()
	return c.Conn.Close()
}

// trackState is net/http's hook for the states of connections.
func trackState(conn net.Conn, state http.ConnState) {
	c, is := conn.(*clientConn)
	if !is {
		return
	}
	switch state {
	case http.StateActive:
		c.used = true
		c.set.StartAnswering(c.state)
	case http.StateIdle:
		c.request.end()
		if c.set.BecomeIdle(c.state) != clientconn.StillOpen {
			c.interrupt()
		}
	}
}

// connKey is the context's key of the connection that a request came over.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection that a request came over, or nil if that is not known.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// overLimit reports whether the connection's request has to be shed, as it was admitted beyond the limit.
func (c *clientConn) overLimit() bool { return c != nil && c.state.OverLimit() }

// ending reports whether the connection's next answer is its last.
func (c *clientConn) ending() bool {
	return c != nil && (c.state.OverLimit() || c.set.EndReason(c.state) != clientconn.StillOpen)
}

package server

// This file owns client connections: accepting, reading one request after the other, the life of a search, writing.
// It must never decide about a search, keep one after its answer, or close a connection that has a search in hand.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"flaxfront/httpwire"
)

var past = time.Unix(1, 0) // a deadline that wakes whoever reads

// wholeWithin is the time in which a request must be whole: the first one of a connection from when that was accepted, a
// later one from its first byte. The protocol owes a client that brings none an error or a close 3 s after connecting.
const wholeWithin = 2500 * time.Millisecond

// client is one client connection.
type client struct {
	net.Conn
	in       *bufio.Reader
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

type state uint8

const (
	idle    state = iota // between requests
	reading              // a request has begun
	busy                 // a request is in hand
)

// overflow is how many connections may stand beyond the bound for a moment: those about to be closed, and those that
// found no room.
const overflow = spareSockets / 2

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

// lines bounds the log lines on connections that brought nothing of use. Danger: whoever opens thousands a second
// would fill the log and take the core with it. What is left out is counted and said with the next line.
type lines struct {
	second int64
	n      int
	left   int
}

const linesASecond = 20

// one tells whether another line may be written now, and how many were left out before it. The caller holds mu.
func (l *lines) one(now time.Time) (ok bool, left int) {
	if s := now.Unix(); s != l.second {
		l.second, l.n = s, 0
	}
	if l.n++; l.n > linesASecond {
		l.left++
		return false, 0
	}
	left, l.left = l.left, 0
	return true, left
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

// accept takes connections until the listener is closed.
func (s *Server) accept(ctx context.Context) error {
	defer close(s.accepted)
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // such as no descriptor left: an idle one goes, and the kernel keeps the others waiting
			slog.Warn("accept failed", "error", err)
			s.clients.mu.Lock()
			s.clients.spare()
			s.clients.mu.Unlock()
			if !s.waitForRoom(ctx) {
				return nil
			}
			continue
		}
		c := &client{Conn: conn, in: httpwire.NewReader(conn), opened: time.Now()}
		for !s.clients.admit(c) {
			if !s.waitForRoom(ctx) {
				conn.Close()
				return nil
			}
		}
		s.clients.accepted.Add(1)
		s.serving.Add(1)
		s.group.Go(func() error {
			defer s.serving.Done()
			s.serve(ctx, c)
			return nil
		})
	}
}

// waitForRoom waits until a connection ends or falls idle, or for a short time.
func (s *Server) waitForRoom(ctx context.Context) bool {
	select {
	case <-s.clients.room:
	case <-time.After(s.Terms().Dial):
	case <-ctx.Done():
		return false
	}
	return true
}

// serve owns a client connection until its end, which leaves one log line.
func (s *Server) serve(ctx context.Context, c *client) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	reason := s.converse(ctx, c)
	stop()
	c.Close()
	if ok, left := s.clients.remove(c); ok {
		slog.Info("client connection ended", "from", c.RemoteAddr(), "reason", reason, "requests", c.requests,
			"lines_left_out", left)
	}
}

// converse answers one request after the other and returns why the connection ends.
func (s *Server) converse(ctx context.Context, c *client) string {
	for {
		if c.requests == 0 {
			c.SetReadDeadline(c.opened.Add(wholeWithin))
		} else {
			c.SetReadDeadline(time.Now().Add(s.Terms().Idle))
		}
		if ended := s.clients.turn(c, idle); ended != "" {
			return ended
		}
		_, err := c.in.Peek(1)
		c.SetReadDeadline(s.whole(c))
		if errors.Is(err, os.ErrDeadlineExceeded) && c.pending() {
			_, err = c.in.Peek(1)
		}
		ended := s.clients.turn(c, reading)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && ended != "":
			return ended
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "idle"
		case errors.Is(err, io.EOF):
			return "client_closed"
		case err != nil:
			return "client_reset"
		}
		m, err := httpwire.ReadRequest(c.in)
		arrived := s.loop.since()
		ended = s.clients.turn(c, busy)
		var bad *httpwire.Fault
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && ended != "":
			return ended
		case errors.As(err, &bad):
			s.clients.refused.Add(1)
			s.part(c, bad.Status, bad.Why)
			return "bad_request"
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.part(c, 408, "the request did not come whole")
			return "slow_request"
		case err != nil:
			return "cut_short"
		}
		c.requests++
		if reason := s.request(ctx, c, m, arrived, m.Close || c.crowded || ended != ""); reason != "" {
			return reason
		}
	}
}

// whole is when a request whose first byte is there must have come whole, however slowly its bytes go on coming.
func (s *Server) whole(c *client) time.Time {
	switch {
	case c.crowded:
		return time.Now().Add(s.clients.moment)
	case c.requests == 0:
		return c.opened.Add(max(wholeWithin, time.Since(c.opened)+s.clients.moment)) // what came late gets a moment
	default:
		return time.Now().Add(min(longest(s.Terms()), wholeWithin))
	}
}

// pending tells whether bytes have come that were not read. Danger: an idle connection is ended just when its next
// request arrives, and the search is lost with it.
func (c *client) pending() (there bool) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := conn.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				var one [1]byte
				n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				there = err == nil && n > 0
			})
		}
	}
	return there
}

// part tells a client why its connection ends. What it still sends is read for a while: a close with bytes unread
// would reset the connection and could take the answer with it.
func (s *Server) part(c *client, status int, why string) {
	s.write(c, httpwire.AppendResponse(c.out[:0], status, true, []byte(why+"\n")))
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(s.Terms().Dial))
		io.Copy(io.Discard, io.LimitReader(c, httpwire.MaxBody))
	}
}

// request answers one request; a reason ends the connection.
func (s *Server) request(ctx context.Context, c *client, m *httpwire.Message, arrived time.Duration,
	last bool) string {
	last = last || s.draining.Load()
	switch m.Path {
	case "/up", "/alive":
		status := 200
		if m.Path == "/up" && s.draining.Load() {
			status = 503 // no front should take this broker in now
		}
		return s.reply(c, httpwire.AppendResponse(c.out[:0], status, last, nil), last)
	case "/counters":
		text := append([]byte(s.Counters().String()), '\n')
		return s.reply(c, httpwire.AppendResponse(c.out[:0], 200, last, text, "Content-Type: application/json"), last)
	}
	a, bad := decodeAsk(m, s.Terms())
	if bad != nil { // whoever sends such a one gets no second try on the same connection
		s.clients.refused.Add(1)
		s.part(c, bad.status, bad.why)
		return "bad_request"
	}
	c.useful = true
	return s.search(ctx, c, a, arrived, last)
}

// search is the life of one search, from its last byte to the last byte of its answer.
func (s *Server) search(ctx context.Context, c *client, a *ask, arrived time.Duration, last bool) string {
	q := &search{ask: a, deadline: arrived + a.timeout, crowded: c.crowded, verdict: make(chan verdict, 1)}
	if !s.deliver(taken{q}) {
		return "shutdown"
	}
	// While the module has it, its client may go away.
	c.SetReadDeadline(time.Time{})
	gone := make(chan error, 1)
	go func() {
		_, err := c.in.Peek(1)
		gone <- err
	}()
	overdue := time.NewTimer(q.deadline - s.loop.since())
	defer overdue.Stop()
	var v verdict
	watching := gone
	for waiting := true; waiting; {
		select {
		case v = <-q.verdict:
			waiting = false
		case err := <-watching:
			if err != nil {
				s.deliver(leave{q, false})
				return "client_left"
			}
			watching = nil // it has sent more already; that waits its turn
		case <-overdue.C:
			s.deliver(leave{q, true}) // a verdict comes of it
		case <-ctx.Done():
			return "shutdown"
		}
	}
	if watching != nil {
		c.SetReadDeadline(past)
		<-gone
	}
	last = last || s.draining.Load()
	reason := s.reply(c, appendVerdict(c.out[:0], v, last), last)
	if reason == writeFailed {
		s.clients.unwritten.Add(1)
	}
	slog.Debug("search over", "id", a.id, "verdict", v.kind, "took", s.loop.since()-arrived, "end", reason)
	return reason
}

const writeFailed = "write_failed"

// reply writes a response and tells why the connection ends with it, if it does.
func (s *Server) reply(c *client, b []byte, last bool) string {
	if err := s.write(c, b); err != nil {
		return writeFailed
	}
	if last {
		return "last_answer"
	}
	return ""
}

// write sends a response whole, within the longest time that any client waits.
func (s *Server) write(c *client, b []byte) error {
	c.out = b[:0]
	c.SetWriteDeadline(time.Now().Add(longest(s.Terms())))
	_, err := c.Write(b)
	return err
}

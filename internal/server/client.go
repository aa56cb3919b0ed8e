package server

// This file owns one client connection: reading one request after the other, the life of a search, writing.
// It must never decide about a search, keep one after its answer, or close a connection that has a search in hand.

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"time"

	"flaxfront/internal/transport/httpwire"
)

var past = time.Unix(1, 0) // a deadline that wakes whoever reads

// wholeWithin is the time in which a request must be whole: the first one of a connection from when that was accepted, a
// later one from its first byte. The protocol owes a client that brings none an error or a close 3 s after connecting.
const wholeWithin = 2500 * time.Millisecond

// serve owns a client connection until its end, which leaves one log line.
func (s *Server) serve(ctx context.Context, c *client) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	reason := s.converse(ctx, c)
	if reason == lastAnswer {
		s.linger(c)
	}
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
		ended, reason := s.await(c)
		if reason != "" {
			return reason
		}
		m, reason := s.receive(c, ended)
		if reason != "" {
			return reason
		}
		arrived := c.ahead.Came(c.in.Buffered())
		last := s.clients.turn(c, busy) != "" || m.Close || c.crowded
		// Danger: what came while another request was in hand, or while nobody had time to accept, is worked on for a client that has
		// gone since.
		if c.ahead.Look() {
			return clientLeft
		}
		c.requests++
		if reason := s.request(ctx, c, m, arrived, last); reason != "" {
			return reason
		}
	}
}

// await waits for the first byte of a request. ended is why this side ends the connection after it; a reason ends it at once.
func (s *Server) await(c *client) (ended, reason string) {
	if c.requests == 0 {
		c.SetReadDeadline(c.opened.Add(wholeWithin))
	} else {
		c.SetReadDeadline(time.Now().Add(s.Settings().Idle))
	}
	if ended := s.clients.turn(c, idle); ended != "" && !c.pending() {
		return "", ended // before it was waited on
	}
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.pending() {
		c.SetReadDeadline(s.whole(c))
		_, err = c.in.Peek(1)
	}
	ended = s.clients.turn(c, reading)
	c.SetReadDeadline(s.whole(c)) // after the turn: who ended it as idle just before must not cut the request short
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && ended != "":
		return "", ended
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "", "idle"
	case errors.Is(err, io.EOF):
		return "", "client_closed"
	case err != nil:
		return "", "client_reset"
	}
	return ended, ""
}

// receive reads a request whole. A reason ends the connection, which was told why if it is its client's fault.
func (s *Server) receive(c *client, ended string) (m *httpwire.Message, reason string) {
	m, err := httpwire.ReadRequest(c.in)
	var bad *httpwire.Fault
	switch {
	case errors.As(err, &bad):
		s.clients.refused.Add(1)
		s.part(c, bad.Status, bad.Why)
		return nil, "bad_request"
	case errors.Is(err, os.ErrDeadlineExceeded):
		if ended = cmp.Or(ended, s.clients.ending(c)); ended != "" {
			return nil, ended
		}
		s.part(c, 408, "the request did not come whole")
		return nil, "slow_request"
	case err != nil:
		return nil, "cut_short"
	}
	return m, ""
}

// whole is when a request whose first byte is there must have come whole, however slowly its bytes go on coming.
func (s *Server) whole(c *client) time.Time {
	switch {
	case c.crowded:
		return time.Now().Add(s.clients.moment)
	case c.requests == 0:
		return c.opened.Add(max(wholeWithin, time.Since(c.opened)+s.clients.moment)) // what came late gets a moment
	default:
		return time.Now().Add(min(longestTimeout(s.Settings()), wholeWithin))
	}
}

// pending tells whether bytes have come that were not read. Danger: an idle connection is ended just when its next
// request arrives, and the search is lost with it.
func (c *client) pending() bool {
	c.ahead.Look()
	return c.in.Buffered()+c.ahead.Ahead() > 0
}

// part tells a client why its connection ends.
func (s *Server) part(c *client, status int, why string) {
	if s.write(c, httpwire.AppendResponse(c.out[:0], status, true, []byte(why+"\n"))) == nil {
		s.linger(c)
	}
}

// linger reads what a client still sends after its last answer, for a while, and drops it. Danger: a close over bytes that lie unread
// resets the connection, and can take along the answer that was just written. It may hold a descriptor that long for a client that
// does not close its side.
func (s *Server) linger(c *client) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.ahead.Ended() || half.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(s.Settings().Dial))
	io.Copy(io.Discard, io.LimitReader(c, httpwire.MaxBody))
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
	a, bad := decodeAsk(m, s.Settings())
	if bad != nil { // whoever sends such a one gets no second try on the same connection
		s.clients.refused.Add(1)
		s.part(c, bad.status, bad.why)
		return "bad_request"
	}
	if s.loop.readPins != nil {
		s.loop.readPins.readHint(m, a)
	}
	c.useful = true
	return s.search(ctx, c, a, arrived, last)
}

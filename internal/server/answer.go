package server

// This file owns the life of one search as its client's connection sees it: handed to the loop, watched, answered. It must never
// decide about a search, or keep one after its answer.

import (
	"context"
	"log/slog"
	"time"
)

// search is the life of one search, from its last byte to the last byte of its answer.
func (s *Server) search(ctx context.Context, c *client, a *ask, arrived time.Duration, last bool) string {
	q := &search{ask: a, arrived: arrived, deadline: s.answerBy(arrived, a.timeout), crowded: c.crowded,
		verdict: make(chan result, 1)}
	if !s.deliver(queryReceived{q}) {
		return "shutdown"
	}
	c.SetReadDeadline(time.Time{})
	v, reason := s.outcome(ctx, c, q)
	if reason != "" {
		return reason
	}
	last = last || s.draining.Load()
	reason = s.reply(c, appendVerdict(c.out[:0], v, last, readHeaders(a, &v)...), last)
	if reason == writeFailed {
		s.clients.unwritten.Add(1)
	}
	slog.Debug("search over", "id", a.id, "verdict", v.kind, "took", s.loop.since()-arrived, "end", reason)
	return reason
}

// outcome waits for a search's verdict, and watches meanwhile whether its client goes away, whatever else it has sent.
func (s *Server) outcome(ctx context.Context, c *client, q *search) (v result, reason string) {
	done, gone := make(chan struct{}), make(chan error, 1)
	watch := func() { gone <- c.ahead.Watch(done) }
	go watch()
	overdue := time.NewTimer(q.deadline - s.loop.since())
	defer overdue.Stop()
	for {
		select {
		case v = <-q.verdict:
			close(done)
			c.SetReadDeadline(past)
			<-gone
			return v, ""
		case err := <-gone:
			if err == nil { // woken for nothing
				c.SetReadDeadline(time.Time{})
				go watch()
				continue
			}
			s.deliver(queryAbandoned{q, false})
			return v, clientLeft
		case <-overdue.C:
			s.deliver(queryAbandoned{q, true}) // a verdict comes of it
		case <-ctx.Done():
			close(done)
			return v, "shutdown"
		}
	}
}

// Why a connection ends, as it is logged.
const (
	writeFailed = "write_failed"
	lastAnswer  = "last_answer"
	clientLeft  = "client_left"
)

// reply writes a response and tells why the connection ends with it, if it does.
func (s *Server) reply(c *client, b []byte, last bool) string {
	if err := s.write(c, b); err != nil {
		return writeFailed
	}
	if last {
		return lastAnswer
	}
	return ""
}

// write sends a response whole, within the longest time that any client waits.
func (s *Server) write(c *client, b []byte) error {
	c.out = b[:0]
	c.SetWriteDeadline(time.Now().Add(longestTimeout(s.Settings())))
	_, err := c.Write(b)
	return err
}

package server

import (
	"sync"
	"time"

	"flaxfront/internal/server/ingress"
	"flaxfront/internal/server/query"
)

var _ ingress.Broker = (*Server)(nil)

// Submit delivers the query of an HTTP client to the loop. It reports false if the broker has ended, and waits while the loop's inbox is full.
func (s *Server) Submit(r query.Submission) (query.Pending, bool) {
	return s.submit(r, s.answerDeadline(r.Arrival, r.Request.Timeout))
}

func (s *Server) submit(r query.Submission, deadline time.Duration) (query.Pending, bool) {
	q := &activeQuery{
		Request:             r.Request,
		arrival:             r.Arrival,
		deadline:            deadline,
		connectionOverLimit: r.ConnectionOverLimit,
		result:              make(chan query.Result, 1),
		server:              s,
	}
	q.answerMemory.Open(s.memory.answers, 0)
	if !s.deliver(queryReceived{q}) {
		return nil, false
	}
	return q, true
}

// Draining reports whether a graceful shutdown has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

// countersMaxAge is the age up to which the counters that clients ask for are told again. Gathering them needs the event loop.
const countersMaxAge = 100 * time.Millisecond

// countersText is the text of the counters as last told.
type countersText struct {
	mu   sync.Mutex
	at   time.Duration // since the broker's start
	text string        // empty: not told yet
}

// CountersJSON returns the counters, of countersMaxAge at most, as one line of JSON.
func (s *Server) CountersJSON() string {
	t := &s.countersText
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := s.Uptime(); t.text == "" || now-t.at > countersMaxAge {
		t.text = s.Counters().String()
		t.at = now
	}
	return t.text
}

// Result returns the channel that receives the query's only result, unless onResult is set.
func (q *activeQuery) Result() <-chan query.Result { return q.result }

// Deadline returns when the query has to be answered, as the time since the broker's start.
func (q *activeQuery) Deadline() time.Duration { return q.deadline }

// Abandon ends the query early.
func (q *activeQuery) Abandon(cause query.AbandonCause) { q.server.deliver(queryAbandoned{q, cause}) }

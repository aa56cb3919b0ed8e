package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
)

// Front is a listener for a client protocol other than HTTP. Its queries pass through the same loop, admission and router.
type Front interface {
	// Serve accepts clients until ctx ends or Drain is called, and returns when the last client has left.
	Serve(ctx context.Context) error
	// Drain accepts no more clients, finishes the queries in flight and closes the idle connections. It may be called only once.
	Drain()
}

// ErrStopping is returned for a query that arrives, or has no result yet, when the broker has ended.
var ErrStopping = errors.New("the broker is stopping")

// AddFront adds a front, which starts and stops with the broker. It must be called before Run.
func (s *Server) AddFront(f Front) { s.fronts = append(s.fronts, f) }

// Settings returns the settings in force. It may be called from any goroutine.
func (s *Server) Settings() *terms.Terms { return s.settings.Load() }

// Uptime returns the time since the broker's start.
func (s *Server) Uptime() time.Duration { return s.loop.since() }

const requestIDBytes = 8

// NewRequestID returns a random id for a query.
func NewRequestID() string {
	var b [requestIDBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// RunQuery submits a front's query and waits for its result. When ctx ends, the client has left and the query is abandoned. The error is
// that of ctx, or ErrStopping.
func (s *Server) RunQuery(ctx context.Context, q *Query) (QueryResult, error) {
	arrival := s.loop.since()
	pending, ok := s.submit(query.Submission{Request: q.request(), Arrival: arrival}, arrival+q.Timeout)
	if !ok {
		return QueryResult{}, ErrStopping
	}
	deadline := time.NewTimer(q.Timeout)
	defer deadline.Stop()
	for {
		select {
		case r := <-pending.Result():
			defer r.Memory.Close() // the front limits what it keeps of the answers
			return newQueryResult(&r), nil
		case <-deadline.C:
			pending.Abandon(query.DeadlinePassed) // a result follows
		case <-ctx.Done():
			pending.Abandon(query.ClientDeparted)
			return QueryResult{}, ctx.Err()
		case <-s.ctx.Done():
			return QueryResult{}, ErrStopping
		}
	}
}

// request converts the query to the form that the loop takes.
func (q *Query) request() *query.Request {
	r := &query.Request{
		ID:      q.ID,
		Type:    q.Type,
		Tenant:  q.Tenant,
		Client:  q.Client,
		Retry:   q.Retry,
		Timeout: q.Timeout,
		Text:    q.Text,
		Hint:    q.Hint,
		Shards:  make([]query.ShardRequest, len(q.Shards)),
	}
	for i, shard := range q.Shards {
		r.Shards[i] = query.ShardRequest{Name: query.ShardRequestName(q.ID, shard), Shard: shard, Weight: q.Weights[i]}
	}
	return r
}

func newQueryResult(r *query.Result) QueryResult {
	result := QueryResult{
		Answered:   r.Outcome == query.Answered,
		Complete:   r.Complete,
		Shed:       r.Outcome == query.Shed,
		RetryAfter: r.RetryAfter,
		Hinted:     r.Hinted,
		Positions:  r.Positions,
		Behind:     r.Behind,
		Staleness:  r.Staleness,
	}
	for _, a := range r.Answers {
		result.Shards = append(result.Shards, a.Shard)
		result.Values = append(result.Values, a.Value)
	}
	return result
}

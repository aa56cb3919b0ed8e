package server

// This file owns the way in for fronts on other protocols: the life of one of their searches, and their start and stop with the
// broker's. What they ask goes through the same loop, door, module and rules as HTTP's. It must never let one past any of them.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
)

// Front is a listener on another protocol.
type Front interface {
	// Serve takes clients until ctx ends or Drain is called, and returns when the last has gone.
	Serve(ctx context.Context) error
	// Drain takes no more clients, finishes what was asked and ends the others. It may be called once.
	Drain()
}

// ErrStopping is what a search gets that comes too late.
var ErrStopping = errors.New("the broker is stopping")

// AddFront has a front start and stop with the broker. It comes before Run.
func (s *Server) AddFront(f Front) { s.fronts = append(s.fronts, f) }

// Settings are the settings in force.
func (s *Server) Settings() *terms.Terms { return s.settings.Load() }

// Uptime is the time since the broker's start.
func (s *Server) Uptime() time.Duration { return s.loop.since() }

// NewRequestID makes a search's id.
func NewRequestID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// RunQuery is the life of a search of another front: from here to its one verdict. When ctx ends its client has gone, and the search is
// left.
func (s *Server) RunQuery(ctx context.Context, a *Query) (QueryResult, error) {
	q := &activeQuery{Request: &query.Request{ID: a.ID, Type: a.Type, Tenant: a.Tenant, Client: a.Client, Retry: a.Retry, Timeout: a.Timeout, Text: a.Text},
		arrival: s.loop.since(), deadline: s.loop.since() + a.Timeout, result: make(chan query.Result, 1)}
	for i, shard := range a.Shards {
		q.Request.Shards = append(q.Request.Shards, query.ShardRequest{Name: query.ShardRequestName(a.ID, shard), Shard: shard, Weight: a.Weights[i]})
	}
	if !s.deliver(queryReceived{q}) {
		return QueryResult{}, ErrStopping
	}
	overdue := time.NewTimer(a.Timeout)
	defer overdue.Stop()
	for {
		select {
		case v := <-q.result:
			out := QueryResult{Answered: v.Outcome == query.Answered, Complete: v.Complete, Shed: v.Outcome == query.Shed, RetryAfter: v.RetryAfter}
			for _, p := range v.Answers {
				out.Shards, out.Values = append(out.Shards, p.Shard), append(out.Values, p.Value)
			}
			return out, nil
		case <-overdue.C:
			s.deliver(queryAbandoned{q, query.DeadlinePassed}) // a verdict comes of it
		case <-ctx.Done():
			s.deliver(queryAbandoned{q, query.ClientDeparted})
			return QueryResult{}, ctx.Err()
		case <-s.ctx.Done():
			return QueryResult{}, ErrStopping
		}
	}
}

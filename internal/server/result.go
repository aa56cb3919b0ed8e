package server

// This file owns the final answer of a search, and how it is made and counted. It must never give a second one.

import (
	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
)

// resultOf makes the final answer of the module's word and the values that are in.
func (s *search) resultOf(a *decision.Action) query.Result {
	switch a.Kind {
	case decision.ShedQuery:
		return query.Result{Outcome: query.Shed, RetryAfter: a.RetryAfter}
	case decision.FailQuery:
		return query.Result{Outcome: query.Failed}
	}
	v := query.Result{Outcome: query.Answered, Complete: a.Complete}
	for i := range s.requests {
		if s.requests[i].answered {
			v.Answers = append(v.Answers, query.ShardAnswer{Shard: s.Request.Shards[i].Shard, Value: s.requests[i].value})
		}
	}
	return v
}

// deliverResult gives a search its one verdict and counts it.
func (l *loop) deliverResult(s *search, v query.Result) {
	switch v.Outcome {
	case query.Answered:
		l.counters.Answered++
		if !v.Complete {
			l.counters.Partial++
		}
	case query.Shed:
		l.counters.Shed++
	default:
		l.counters.Failed++
	}
	if l.controlPlane != nil {
		l.controlPlane.countResult(s, v, l.since())
	}
	s.done = true
	l.reportDone(s, v.Outcome == query.Answered, v.Outcome == query.Shed)
	if s.onResult != nil {
		s.onResult(v)
	} else {
		s.result <- v
	}
}

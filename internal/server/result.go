package server

// This file owns the final answer of a search, and how it is made and counted. It must never give a second one.

import (
	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
)

// verdictOf makes the final answer of the module's word and the values that are in.
func (s *search) verdictOf(a *decision.Action) query.Result {
	switch a.Kind {
	case decision.ShedQuery:
		return query.Result{Outcome: query.Shed, RetryAfter: a.RetryAfter}
	case decision.FailQuery:
		return query.Result{Outcome: query.Failed}
	}
	v := query.Result{Outcome: query.Answered, Complete: a.Complete}
	for i := range s.parts {
		if s.parts[i].in {
			v.Answers = append(v.Answers, query.ShardAnswer{Shard: s.Request.Shards[i].Shard, Value: s.parts[i].value})
		}
	}
	return v
}

// conclude gives a search its one verdict and counts it.
func (l *loop) conclude(s *search, v query.Result) {
	switch v.Outcome {
	case query.Answered:
		l.tally.Answered++
		if !v.Complete {
			l.tally.Partial++
		}
	case query.Shed:
		l.tally.Shed++
	default:
		l.tally.Errored++
	}
	if l.agreed != nil {
		l.agreed.counted(s, v, l.since())
	}
	s.over = true
	l.outside(s, v.Outcome == query.Answered, v.Outcome == query.Shed)
	if s.onResult != nil {
		s.onResult(v)
	} else {
		s.result <- v
	}
}

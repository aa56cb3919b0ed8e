package server

// This file owns the final answer of a search, and how it is made and counted. It must never give a second one.

import (
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/decision"
)

// result is the final answer.
type result struct {
	kind   resultKind
	whole  bool
	after  time.Duration // shed: when to come back; 0: no advice
	pieces []piece

	// answered, where the search had a hint
	hinted bool
	seen   []readhint.Position // by shard
	behind []int               // shards that do not keep what it asked for
	stale  time.Duration       // what the answer may lack at the most; pins.Unknown: no bound is known
}

type resultKind uint8

const (
	answered resultKind = iota
	shed
	errored
	twice // a search of that id is in hand
)

type piece struct {
	shard int
	value string
}

// resultOf makes the final answer of the module's word and the values that are in.
func (s *search) resultOf(a *decision.Action) result {
	switch a.Kind {
	case decision.ShedQuery:
		return result{kind: shed, after: a.RetryAfter}
	case decision.FailQuery:
		return result{kind: errored}
	}
	v := result{kind: answered, whole: a.Complete}
	for i := range s.requests {
		if s.requests[i].answered {
			v.pieces = append(v.pieces, piece{s.ask.parts[i].shard, s.requests[i].value})
		}
	}
	return v
}

// deliverResult gives a search its one verdict and counts it.
func (l *loop) deliverResult(s *search, v result) {
	switch v.kind {
	case answered:
		l.counters.Answered++
		if !v.whole {
			l.counters.Partial++
		}
	case shed:
		l.counters.Shed++
	default:
		l.counters.Failed++
	}
	if l.controlPlane != nil {
		l.controlPlane.countResult(s, v, l.since())
	}
	s.done = true
	l.reportDone(s, v.kind == answered, v.kind == shed)
	if s.to != nil {
		s.to(v)
	} else {
		s.verdict <- v
	}
}

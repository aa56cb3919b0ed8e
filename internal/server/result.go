package server

import (
	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
)

// resultOf returns the query's result, from the router's action and the answers received so far.
func (q *activeQuery) resultOf(a *decision.Action) query.Result {
	switch a.Kind {
	case decision.ShedQuery:
		return query.Result{Outcome: query.Shed, RetryAfter: a.RetryAfter}
	case decision.FailQuery:
		return query.Result{Outcome: query.Failed}
	}
	r := query.Result{Outcome: query.Answered, Complete: a.Complete}
	for i := range q.requests {
		if q.requests[i].answered {
			r.Answers = append(r.Answers, query.ShardAnswer{Shard: q.Request.Shards[i].Shard, Value: q.requests[i].value})
		}
	}
	return r
}

// deliverResult delivers a query's only result and counts it.
func (l *loop) deliverResult(q *activeQuery, r query.Result) {
	switch r.Outcome {
	case query.Answered:
		l.counters.Answered++
		if !r.Complete {
			l.counters.Partial++
		}
	case query.Shed:
		l.counters.Shed++
	default:
		l.counters.Failed++
	}
	l.queryLog.ended(q, &r, l.since())
	l.controlPlane.countResult(q, r.Outcome)
	q.done = true
	l.admission.done(q, r.Outcome)
	if q.onResult != nil {
		q.onResult(r)
		q.answerMemory.Close()
		return
	}
	if r.Outcome == query.Answered {
		r.Memory = &q.answerMemory
	} else {
		q.answerMemory.Close()
	}
	q.result <- r
}

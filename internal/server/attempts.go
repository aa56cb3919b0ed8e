package server

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

// batch collects attempts to one node that are sent together at the end of a step.
type batch struct {
	node     decision.NodeID
	attempts []*store.Subrequest
}

// sendAttempt creates an attempt and adds it to its node's batch.
func (l *loop) sendAttempt(a *decision.Action, now time.Duration) {
	q, i := l.findShardRequest(a.ID)
	if q == nil {
		slog.Error("attempt of an unknown shard request not sent", "component", "routing", "shard_request", a.ID)
		return
	}
	r := &q.Request.Shards[i]
	earlier := q.requests[i].attempts
	attempt := &store.Subrequest{
		ID:         r.Name,
		Shard:      r.Shard,
		Text:       q.Text,
		Deadline:   q.deadline,
		Sent:       now,
		Subrequest: a.ID,
		Attempt:    uint16(len(earlier) - q.requests[i].submittedAt),
		Node:       a.Node,
		Exclusive:  a.ExclusiveConnection,
		Tenant:     q.Tenant,
		Earlier:    earlier,
	}
	q.requests[i].attempts = append(earlier, attempt)
	l.counters.Attempts++
	l.connLeases.countAttempts(q.Tenant, 1, 0)
	l.readPins.attemptSent(q, attempt, now)
	for j := range l.batches {
		if b := &l.batches[j]; b.node == a.Node && len(b.attempts) < l.maxBatch {
			b.attempts = append(b.attempts, attempt)
			return
		}
	}
	l.batches = append(l.batches, batch{a.Node, []*store.Subrequest{attempt}})
}

func (l *loop) cancelAttempt(a *decision.Action) {
	q, i := l.findShardRequest(a.ID)
	if q == nil {
		return
	}
	if attempts := q.requests[i].attempts[q.requests[i].submittedAt:]; int(a.Attempt) < len(attempts) {
		l.pool.Cancel(attempts[a.Attempt])
	}
}

// sendBatch sends a batch, except the attempts that were cancelled in the same step, or whose query ended or was forwarded in it. forgetQuery
// cancels the attempts of those queries.
func (l *loop) sendBatch(b *batch) {
	attempts := slices.DeleteFunc(b.attempts, func(attempt *store.Subrequest) bool {
		q := l.queryOfShardRequest[attempt.Subrequest]
		return attempt.Ended() || q.done || q.forwarding.forwarded
	})
	if l.controlPlane.refuse(b.node, attempts) {
		return
	}
	l.controlPlane.countAttempts(b.node, len(attempts))
	if len(attempts) > 0 {
		for _, attempt := range attempts {
			l.queryLog.attemptSent(attempt)
			l.markSent(l.queryOfShardRequest[attempt.Subrequest])
		}
		l.pool.Send(b.node, attempts)
	}
}

// markSent records that a query may run from now on. Its id is not accepted again.
func (l *loop) markSent(q *activeQuery) {
	if !q.sent && !q.fromOtherSite() {
		q.sent = true
		l.usedIDs.Add(q.Request.ID)
	}
}

// attemptEnded is called by the pool when an attempt has ended. An answer is part of the query's result from now on; the router learns of it in
// its next step.
func (l *loop) attemptEnded(attempt *store.Subrequest, outcome decision.Outcome, at time.Duration, value string) {
	outcome = l.readPins.attemptEnded(attempt, outcome, at)
	if q, i := l.findShardRequest(attempt.Subrequest); q != nil && !q.done && outcome == decision.OK && !q.requests[i].answered {
		q.requests[i].answered = true
		q.requests[i].value = value
		q.answerMemory.Absorb(attempt.Memory)
		q.admission.lastAnswerAt = at
		q.admission.lastAnswerStep = l.counters.Steps + 1
	}
	attempt.Memory.Close() // of a value that is not used
	took := max(0, at-attempt.Sent)
	l.queryLog.attemptEnded(attempt, outcome, took)
	l.post(decision.Event{Kind: decision.AttemptEnded, ID: attempt.Subrequest, Attempt: attempt.Attempt, Outcome: outcome, Elapsed: took,
		Node: attempt.Node})
	l.cachedList.attemptEnded(attempt.Node, outcome, took)
}

package server

// This file owns one turn of the module: what goes in, and how each action is carried out on the pool. It must never choose:
// it does what the module says, in its order.

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

// inspectable is a module that tells what it takes to be so, to be held against the wire.
type inspectable interface{ Snapshot() (out, shut int) }

// batch gathers the parts of one turn to one node.
type batch struct {
	node     decision.NodeID
	attempts []*store.Part
}

// stepRouter calls the module and carries its actions out, in their order; the parts for one node leave together.
func (l *loop) stepRouter(now time.Duration) {
	events := l.events
	l.events = l.spareEvents[:0]
	l.counters.Turns++
	if l.admission != nil {
		l.recordStepDelay(now)
	}
	l.actions = l.router.Step(now, events, l.actions[:0])
	clear(events)
	l.spareEvents = events[:0]
	for i := range l.actions {
		l.execute(&l.actions[i], now)
	}
	for i := range l.batches {
		l.sendBatch(&l.batches[i])
	}
	l.batches = l.batches[:0]
	for _, s := range l.finished {
		l.forget(s)
	}
	clear(l.finished)
	l.finished = l.finished[:0]
}

func (l *loop) execute(a *decision.Action, now time.Duration) {
	switch a.Kind {
	case decision.SendAttempt:
		l.sendAttempt(a, now)
	case decision.CancelAttempt:
		if p, i := l.findShardRequest(a.ID); p != nil && int(a.Attempt) < len(p.requests[i].attempts) {
			l.pool.Cancel(p.requests[i].attempts[a.Attempt])
		}
	case decision.AnswerQuery, decision.ShedQuery, decision.FailQuery:
		if s := l.queries[a.ID]; s != nil && !s.done && !s.forwarded {
			if a.Kind == decision.ShedQuery && l.offerToSites(s) {
				l.executeForwarding()
				return
			}
			v := s.shedResult(s.resultOf(a), l)
			l.annotateResult(s, &v)
			l.deliverResult(s, v)
			l.finish(s)
		}
	case decision.SetTimer:
		if l.timerAt == 0 || a.TimerAt < l.timerAt {
			l.timerAt = max(1, a.TimerAt)
		}
	case decision.CloseIdleConnections:
		l.pool.Retire(a.Node)
	case decision.SendHealthCheck:
		l.pool.Probe(a.Node)
	case decision.SubscribeList:
		l.pollDiscovery()
	case decision.LogMessage:
		l.logDecision(a.Text, now)
	case decision.SendGossip:
		l.sendGossip(a.Text)
	}
}

func (l *loop) sendAttempt(a *decision.Action, now time.Duration) {
	s, i := l.findShardRequest(a.ID)
	if s == nil {
		slog.Error("a part that is not in hand was to be sent", "part", a.ID)
		return
	}
	p := &s.requests[i]
	t := &store.Part{ID: s.Request.Shards[i].Name, Shard: s.Request.Shards[i].Shard, Text: s.Text, Deadline: s.deadline,
		Sent: now, Part: a.ID, Attempt: uint16(len(p.attempts)), Node: a.Node, Alone: a.ExclusiveConnection, Tenant: s.Tenant}
	p.attempts = append(p.attempts, t)
	l.counters.Subrequests++
	if l.connLeases != nil {
		l.connLeases.countAttempts(s.Tenant, 1, 0)
	}
	if l.readPins != nil {
		l.countPinnedAttempt(s, t, now)
	}
	for j := range l.batches {
		if c := &l.batches[j]; c.node == a.Node && len(c.attempts) < l.maxBatch {
			c.attempts = append(c.attempts, t)
			return
		}
	}
	l.batches = append(l.batches, batch{a.Node, []*store.Part{t}})
}

// sendBatch sends a call, but for parts called off, or whose search ended, in the same turn; forget ends the latter.
func (l *loop) sendBatch(c *batch) {
	parts := slices.DeleteFunc(c.attempts, func(t *store.Part) bool {
		return t.Over() || l.queryOfShardRequest[t.Part].done || l.queryOfShardRequest[t.Part].forwarded
	})
	if l.controlPlane != nil {
		left := batch{c.node, parts}
		if l.refuseDrained(&left) {
			return
		}
		l.countWarmingUp(&left, l.since())
	}
	if len(parts) > 0 {
		l.pool.Send(c.node, parts)
	}
}

// attemptEnded makes an event of a sub-request's end. A value counts from here on: the module learns of it in the
// same turn.
func (l *loop) attemptEnded(t *store.Part, how decision.Outcome, at time.Duration, value string) {
	if l.readPins != nil {
		how = l.pinnedAttemptEnded(t, how, at)
	}
	if s, i := l.findShardRequest(t.Part); s != nil && how == decision.OK && !s.requests[i].answered {
		s.requests[i].answered, s.requests[i].value = true, value
		s.lastAnswerAt, s.lastAnswerStep = at, l.counters.Turns+1
	}
	took := max(0, at-t.Sent)
	l.events = append(l.events, decision.Event{Kind: decision.AttemptEnded, ID: t.Part, Attempt: t.Attempt, Outcome: how,
		Elapsed: took, Node: t.Node})
	if l.cachedList != nil {
		l.cachedList.judge.RecordOutcome(t.Node, how, took, l.since())
	}
}

// healthCheckEnded takes the end of a probe.
func (l *loop) healthCheckEnded(id decision.NodeID, how decision.Outcome, took time.Duration) {
	l.events = append(l.events, decision.Event{Kind: decision.HealthCheckEnded, Node: id, Outcome: how, Elapsed: took})
}

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

// pictured is a module that tells what it takes to be so, to be held against the wire.
type pictured interface{ Snapshot() (out, shut int) }

// call gathers the parts of one turn to one node.
type call struct {
	to    decision.NodeID
	parts []*store.Part
}

// turn calls the module and carries its actions out, in their order; the parts for one node leave together.
func (l *loop) turn(now time.Duration) {
	events := l.events
	l.events = l.spare[:0]
	l.tally.Turns++
	if l.door != nil {
		l.underway(now)
	}
	l.actions = l.module.Step(now, events, l.actions[:0])
	clear(events)
	l.spare = events[:0]
	for i := range l.actions {
		l.carryOut(&l.actions[i], now)
	}
	for i := range l.calls {
		l.flush(&l.calls[i])
	}
	l.calls = l.calls[:0]
	for _, s := range l.ended {
		l.forget(s)
	}
	clear(l.ended)
	l.ended = l.ended[:0]
}

func (l *loop) carryOut(a *decision.Action, now time.Duration) {
	switch a.Kind {
	case decision.SendAttempt:
		l.send(a, now)
	case decision.CancelAttempt:
		if p, i := l.part(a.ID); p != nil && int(a.Attempt) < len(p.parts[i].tries) {
			l.pool.Cancel(p.parts[i].tries[a.Attempt])
		}
	case decision.AnswerQuery, decision.ShedQuery, decision.FailQuery:
		if s := l.searches[a.ID]; s != nil && !s.over && !s.abroad {
			if a.Kind == decision.ShedQuery && l.offer(s) {
				l.routed()
				return
			}
			v := s.shedding(s.verdictOf(a), l)
			l.pinVerdict(s, &v)
			l.conclude(s, v)
			l.finish(s)
		}
	case decision.SetTimer:
		if l.wake == 0 || a.TimerAt < l.wake {
			l.wake = max(1, a.TimerAt)
		}
	case decision.CloseIdleConnections:
		l.pool.Retire(a.Node)
	case decision.SendHealthCheck:
		l.pool.Probe(a.Node)
	case decision.SubscribeList:
		l.ask()
	case decision.LogMessage:
		l.say(a.Text, now)
	case decision.SendGossip:
		l.tell(a.Text)
	}
}

func (l *loop) send(a *decision.Action, now time.Duration) {
	s, i := l.part(a.ID)
	if s == nil {
		slog.Error("a part that is not in hand was to be sent", "part", a.ID)
		return
	}
	p := &s.parts[i]
	t := &store.Part{ID: s.ask.parts[i].name, Shard: s.ask.parts[i].shard, Text: s.text, Deadline: s.deadline,
		Sent: now, Part: a.ID, Attempt: uint16(len(p.tries)), Node: a.Node, Alone: a.ExclusiveConnection, Tenant: s.tenant}
	p.tries = append(p.tries, t)
	l.tally.Subrequests++
	if l.budgets != nil {
		l.budgets.count(s.tenant, 1, 0)
	}
	if l.pins != nil {
		l.pinSent(s, t, now)
	}
	for j := range l.calls {
		if c := &l.calls[j]; c.to == a.Node && len(c.parts) < l.batch {
			c.parts = append(c.parts, t)
			return
		}
	}
	l.calls = append(l.calls, call{a.Node, []*store.Part{t}})
}

// flush sends a call, but for parts called off, or whose search ended, in the same turn; forget ends the latter.
func (l *loop) flush(c *call) {
	parts := slices.DeleteFunc(c.parts, func(t *store.Part) bool { return t.Over() || l.owners[t.Part].over || l.owners[t.Part].abroad })
	if l.agreed != nil {
		left := call{c.to, parts}
		if l.refused(&left) {
			return
		}
		l.pressed(&left, l.since())
	}
	if len(parts) > 0 {
		l.pool.Send(c.to, parts)
	}
}

// subrequestEnded makes an event of a sub-request's end. A value counts from here on: the module learns of it in the
// same turn.
func (l *loop) subrequestEnded(t *store.Part, how decision.Outcome, at time.Duration, value string) {
	if l.pins != nil {
		how = l.pinEnded(t, how, at)
	}
	if s, i := l.part(t.Part); s != nil && how == decision.OK && !s.parts[i].in {
		s.parts[i].in, s.parts[i].value = true, value
		s.heard, s.heardFor = at, l.tally.Turns+1
	}
	took := max(0, at-t.Sent)
	l.events = append(l.events, decision.Event{Kind: decision.AttemptEnded, ID: t.Part, Attempt: t.Attempt, Outcome: how,
		Elapsed: took, Node: t.Node})
	if l.saved != nil {
		l.saved.judge.Showed(t.Node, how, took, l.since())
	}
}

// probed takes the end of a probe.
func (l *loop) probed(id decision.NodeID, how decision.Outcome, took time.Duration) {
	l.events = append(l.events, decision.Event{Kind: decision.HealthCheckEnded, Node: id, Outcome: how, Elapsed: took})
}

package server

import (
	"time"

	"flaxfront/internal/decision"
)

// stepRouter passes the events to the router and executes its actions in order. Attempts to one node are sent together, after all actions.
func (l *loop) stepRouter(now time.Duration) {
	events := l.events
	l.events = l.spareEvents[:0]
	l.counters.Steps++
	l.admission.beforeStep(now)
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
	for _, q := range l.finished {
		l.forgetQuery(q)
	}
	clear(l.finished)
	l.finished = l.finished[:0]
}

func (l *loop) execute(a *decision.Action, now time.Duration) {
	switch a.Kind {
	case decision.SendAttempt:
		l.sendAttempt(a, now)
	case decision.CancelAttempt:
		l.cancelAttempt(a)
	case decision.AnswerQuery, decision.ShedQuery, decision.FailQuery:
		if q := l.queries[a.ID]; q != nil && !q.done && !q.forwarding.forwarded {
			l.endQuery(q, a)
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

// endQuery delivers the result that the router decided on, or forwards the query to another site instead of shedding it.
func (l *loop) endQuery(q *activeQuery, a *decision.Action) {
	if a.Kind == decision.ShedQuery && l.gateway.offer(q) {
		q.answerMemory.Close()
		return
	}
	r := l.gateway.safeResult(q, q.resultOf(a))
	l.readPins.annotateResult(q, &r)
	l.deliverResult(q, r)
	l.finishQuery(q)
}

// healthCheckEnded is called by the pool when a health check has ended.
func (l *loop) healthCheckEnded(id decision.NodeID, outcome decision.Outcome, took time.Duration) {
	l.post(decision.Event{Kind: decision.HealthCheckEnded, Node: id, Outcome: outcome, Elapsed: took})
}

package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// send sends an attempt of a shard request to a node.
func (d *dispatcher) send(sr *shardRequest, index nodeIndex) {
	r := d.router
	e := &d.endpoints.all[index]
	e.slowStart.spend()
	switch e.mode {
	case modeTrial:
		e.mode = modeEjected
	case modeWarmedUp:
		d.flows.add(&d.endpoints, e.cell, r.now)
	}
	a := d.recordAttempt(sr, index)
	if d.idleConnections.closeBeforeUse(a.idleTime, r.now) {
		r.act(decision.Action{Kind: decision.CloseIdleConnections, Node: e.id})
		a.idleTime = 0
	}
	r.act(decision.Action{Kind: decision.SendAttempt, ID: sr.id, Node: e.id, ExclusiveConnection: d.failuresAlike})
	r.post(&r.nodes[index].inbox, message{kind: attemptSent})
}

// recordAttempt records an attempt as in flight. Attempts sent to one node in one step share a call, up to Settings.MaxBatch.
func (d *dispatcher) recordAttempt(sr *shardRequest, index nodeIndex) *attempt {
	now := d.router.now
	e := &d.endpoints.all[index]
	idleTime := time.Duration(0)
	if len(e.calls) == 0 && e.lastUsedAt > 0 {
		idleTime = now - e.lastUsedAt
	}
	d.endpoints.needTick.set(int32(index))
	sr.attempts = append(sr.attempts, attempt{
		node:            index,
		inFlight:        true,
		sentAt:          now,
		callsPerReplica: d.endpoints.callsPerReplica(sr.shard),
		idleTime:        idleTime,
	})
	sr.inFlight++
	if open := e.openCall(now, d.router.settings.MaxBatch); open != nil {
		open.attempts++
	} else {
		e.calls = append(e.calls, call{sentAt: now, attempts: 1})
	}
	e.lastUsedAt = now
	e.lastSentAt = now
	return &sr.attempts[len(sr.attempts)-1]
}

// handleAttemptEnded updates the state of an attempt's node with its outcome and, if the query is still in flight, that of the query.
func (d *dispatcher) handleAttemptEnded(event *decision.Event) {
	d.recordAttemptEnd(event)
	q, sr, a := d.findAttempt(event)
	if a == nil {
		return
	}
	a.inFlight = false
	sr.inFlight--
	q.quiet = false
	d.updateRejectionRate(event.Outcome)
	if event.Outcome == decision.OK {
		d.observeConnection(a, attemptAnswered)
		d.handleAnswer(q, sr, a, event.Elapsed)
		return
	}
	d.handleFailure(sr, a, event)
}

// handleAnswer records the first answer to a shard request and cancels its other attempts; further answers are ignored.
func (d *dispatcher) handleAnswer(q *query, sr *shardRequest, a *attempt, latency time.Duration) {
	if sr.answered {
		return
	}
	sr.answered = true
	q.answeredWeight += sr.weight
	q.answeredRequests++
	d.latency.record(latency)
	d.learnLatency(sr, a, latency)
	d.cancel(sr)
}

// recordAttemptEnd updates the state of an attempt's node with its outcome, whether or not its query is still in flight.
func (d *dispatcher) recordAttemptEnd(event *decision.Event) {
	r := d.router
	index, known := r.indexes[event.Node]
	if !known {
		return
	}
	e := &d.endpoints.all[index]
	sentAt := r.now - event.Elapsed
	d.observeZone(e, event.Outcome, event.Elapsed)
	d.adaptWindow(e, event.Outcome, event.Elapsed)
	e.lastUsedAt = r.now
	if event.Outcome == decision.OK || event.Outcome == decision.Stale {
		e.lastAnsweredSentAt = max(e.lastAnsweredSentAt, sentAt)
		e.health.lastAliveAt = max(e.health.lastAliveAt, sentAt)
	}
	e.endAttempt(sentAt)
	r.post(&r.nodes[index].inbox, message{kind: attemptEnded, outcome: event.Outcome, elapsed: event.Elapsed})
}

// findAttempt returns the attempt that an event ends, with its query and shard request; all are nil if the attempt is not in flight.
func (d *dispatcher) findAttempt(event *decision.Event) (*query, *shardRequest, *attempt) {
	ref, known := d.queries.find(event.ID)
	if !known || ref.request == wholeQuery {
		return nil, nil, nil
	}
	q := &d.queries.slots[ref.slot]
	sr := &q.requests[ref.request]
	if int(event.Attempt) >= len(sr.attempts) || !sr.attempts[event.Attempt].inFlight {
		return nil, nil, nil
	}
	return q, sr, &sr.attempts[event.Attempt]
}

// cancel cancels the attempts of a shard request that are in flight; their nodes are told only if Settings.CancelAllowed is true.
func (d *dispatcher) cancel(sr *shardRequest) {
	for i := range sr.attempts {
		a := &sr.attempts[i]
		if !a.inFlight {
			continue
		}
		a.inFlight = false
		sr.inFlight--
		sr.notePossibleRun(a.sentAt)
		d.learnFromCancelled(sr, a)
		if d.router.settings.CancelAllowed {
			d.router.act(decision.Action{Kind: decision.CancelAttempt, ID: sr.id, Attempt: uint16(i)})
		}
	}
}

// remove ends a query: it cancels the query's attempts and frees its slot.
func (d *dispatcher) remove(slot int32) {
	d.removeShardRequests(&d.queries.slots[slot])
	d.queries.remove(slot)
}

// removeShardRequests cancels and removes the shard requests of a query.
func (d *dispatcher) removeShardRequests(q *query) {
	for i := range q.requests {
		sr := &q.requests[i]
		d.cancel(sr)
		delete(d.queries.references, sr.id)
	}
	q.requests = q.requests[:0]
	d.latency.update()
}

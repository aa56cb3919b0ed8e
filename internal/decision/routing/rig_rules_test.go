package routing

import (
	"math/rand"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// checkSend checks an attempt against the rules that concern it. The rules are:
//  1. Each query gets exactly one result, in time, and nothing is sent for it afterwards.
//  2. Shard requests are repeated only as their query type's idempotency allows.
//  3. Nothing is sent to a node that is draining or unlisted.
//  4. A node that is warming up is not overloaded; see TestWarmingUpNodeIsNotOverloaded.
//  5. Answers reach the required completeness, and only complete ones are marked complete.
//  6. Extra attempts stay within the budget of the window.
func (r *rig) checkSend(a *decision.Action) {
	sr := r.requests[a.ID]
	if sr == nil || sr.ended {
		r.recordViolation("rule 1: attempt of shard request %d sent after it ended", a.ID)
		return
	}
	if a.ID <= r.lastIDBeforeMove || sr.query <= r.lastIDBeforeMove {
		r.recordViolation("attempt of shard request %d sent, though its query arrived before the shards moved", a.ID)
	}
	queryType := &r.settings.QueryTypes[r.queries[sr.query].queryType]
	if sr.attempts > 0 {
		switch {
		case queryType.Idempotency == decision.NonIdempotent && (sr.ran || sr.inFlight > 0):
			r.recordViolation("rule 2: shard request %d, which is not idempotent, repeated", a.ID)
		case queryType.Idempotency == decision.IdempotencyKeyed && sr.ran && r.now > sr.ranAt+queryType.IdempotencyWindow:
			r.recordViolation("rule 2: shard request %d repeated after its idempotency window", a.ID)
		case sr.inFlight > 0 && !r.settings.HedgingAllowed:
			r.recordViolation("shard request %d hedged, though hedging is not allowed", a.ID)
		}
		r.extraAttempts = append(r.extraAttempts, r.now)
		expired := func(at time.Duration) bool { return at <= r.now-r.settings.ExtraAttemptsWindow }
		r.extraAttempts, r.received = slices.DeleteFunc(r.extraAttempts, expired), slices.DeleteFunc(r.received, expired)
		limit := r.settings.ExtraAttemptsMin + r.settings.ExtraAttemptsShare*float64(len(r.received))
		if n := len(r.extraAttempts); r.settings.ExtraAttemptsWindow > 0 && float64(n) > limit {
			r.recordViolation("rule 6: %d extra attempts in the window, more than its budget", n)
		}
	}
	if !r.ready[a.Node] {
		r.recordViolation("rule 3: attempt sent to %v, which is draining or unlisted", a.Node)
	}
	k := attemptKey{a.ID, sr.attempts}
	sr.attempts++
	sr.inFlight++
	r.inFlight[k] = sentAttempt{a.Node, r.now}
	r.order = append(r.order, k)
	r.sends[a.Node] = append(r.sends[a.Node], r.now)
}

// checkFinal checks the result of a query against rules 1, 2 and 5, and begins the second phase of a query that has one.
func (r *rig) checkFinal(a *decision.Action) {
	q := r.queries[a.ID]
	if q == nil {
		r.recordViolation("rule 1: second result for query %d", a.ID)
		return
	}
	queryType := &r.settings.QueryTypes[q.queryType]
	answeredWeight := 0.0
	noneRan := true
	for _, id := range q.requests {
		sr := r.requests[id]
		if sr.answered {
			answeredWeight += sr.weight
		}
		noneRan = noneRan && !sr.ran && sr.inFlight == 0
	}
	full := queryType.FullCompleteness
	minimum := queryType.MinCompleteness
	if q.secondPhase {
		full = 1
		if minimum >= queryType.FullCompleteness {
			minimum = 1
		}
	}
	switch {
	case r.now > q.due+20*ms:
		r.recordViolation("rule 1: query %d got its result after its client's timeout", a.ID)
	case a.Kind == decision.ShedQuery && queryType.Idempotency == decision.NonIdempotent && !noneRan:
		r.recordViolation("rule 2: query %d, which is not idempotent, shed though it may have run", a.ID)
	case a.Kind == decision.AnswerQuery && answeredWeight < minimum-1e-4:
		r.recordViolation("rule 5: answered with completeness %.2f, below the minimum", answeredWeight)
	case a.Kind == decision.AnswerQuery && a.Complete && (answeredWeight < full-1e-4 || q.secondPhase && !q.firstPhaseComplete):
		r.recordViolation("rule 5: marked complete with completeness %.2f", answeredWeight)
	}
	r.forget(a.ID)
	if a.Kind == decision.AnswerQuery && queryType.SecondPhaseRequests > 0 && !q.secondPhase {
		r.queries[a.ID] = q
		q.secondPhase = true
		q.firstPhaseComplete = a.Complete
		q.requests = nil
		r.addRequests(a.ID, 0, 1)
	}
}

// randomStep plays one step with random queries, outcomes, list changes, departing clients and clock jumps.
func (r *rig) randomStep(rnd *rand.Rand, nodes int) {
	for range rnd.Intn(4) {
		queryType := rnd.Intn(len(r.settings.QueryTypes))
		r.query(queryType, time.Duration(rnd.Int63n(int64(r.settings.QueryTypes[queryType].Timeout))), rnd.Perm(8)[:1+rnd.Intn(6)]...)
	}
	for _, k := range r.order {
		if rnd.Intn(12) == 0 {
			r.endAttempt(k, decision.Outcome(rnd.Intn(8)))
		}
	}
	outcome := []decision.Outcome{decision.OK, decision.OK, decision.TimedOut}[rnd.Intn(3)]
	r.endHealthChecks(outcome, func(decision.NodeID) bool { return rnd.Intn(3) == 0 })
	if rnd.Intn(20) == 0 {
		e := decision.Endpoint{Node: nodeID(rnd.Intn(nodes)), State: decision.EndpointState(rnd.Intn(3)), StartedAt: decision.StartedLongAgo}
		e.Cell = int(e.Node.Addr[3]) % r.settings.Cells
		if rnd.Intn(2) == 0 {
			e.StartedAt = r.now - time.Duration(rnd.Intn(2000))*ms
		}
		e.Unconfirmed = rnd.Intn(3) == 0
		r.list([]decision.EventKind{decision.ListUpdateReceived, decision.FullListReceived}[rnd.Intn(8)/7], e)
	}
	if r.polledAt > 0 || rnd.Intn(30) == 0 {
		r.events = append(r.events, decision.Event{Kind: decision.ListPollFailed}, decision.Event{Kind: decision.GossipReceived})
	}
	if id := uint64(rnd.Int63n(int64(r.nextID + 1))); r.queries[id] != nil {
		r.events = append(r.events, decision.Event{Kind: decision.ClientDeparted, ID: id})
		r.forget(id)
	}
	if rnd.Intn(100) == 0 { // results that are late because the clock jumped are not the router's fault
		jump := time.Duration(rnd.Intn(3000)) * ms
		for _, q := range r.queries {
			q.due = max(q.due, r.now+jump)
		}
		r.step(jump)
	}
	if rnd.Intn(200) == 0 {
		r.reconfigure(rnd.Intn(2) == 0)
	}
	r.step([]time.Duration{5 * ms, 10 * ms}[rnd.Intn(4)/3])
}

// reconfigure gives the router its settings again; if moved, with another number of cells and the nodes in other cells.
func (r *rig) reconfigure(moved bool) {
	if moved {
		r.list(decision.FullListReceived)
		r.step(0)
		r.settings.Cells = 5 - r.settings.Cells // 2 or 3
	}
	r.router.Reconfigure(r.settings, moved)
	if !moved {
		return
	}
	r.lastIDBeforeMove = r.nextID
	var list []decision.Endpoint
	for i := range 6 {
		list = append(list, decision.Endpoint{Node: nodeID(i), Cell: i % r.settings.Cells, State: decision.Ready,
			StartedAt: decision.StartedLongAgo})
	}
	r.list(decision.FullListReceived, list...)
}

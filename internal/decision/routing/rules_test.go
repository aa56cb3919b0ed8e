package routing

// This file owns what the rig holds each action against: the rules, checked with every step.

import (
	"math/rand"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

func (r *rig) checkSend(a *decision.Action) {
	p := r.parts[a.ID]
	if p == nil || p.over {
		r.fault("rule 1: part %d sent after its end", a.ID)
		return
	}
	if a.ID <= r.moved || p.search <= r.moved {
		r.fault("part %d of a search taken before its shards moved sent", a.ID)
	}
	typ := &r.t.QueryTypes[r.searches[p.search].typ]
	if p.tries > 0 {
		switch {
		case typ.Idempotency == decision.NonIdempotent && (p.ran || p.open > 0):
			r.fault("rule 2: part %d repeated", a.ID)
		case typ.Idempotency == decision.IdempotencyKeyed && p.ran && r.now > p.ranAt+typ.IdempotencyWindow:
			r.fault("rule 2: part %d repeated outside its window", a.ID)
		case p.open > 0 && !r.t.HedgingAllowed:
			r.fault("two sub-requests of part %d at once", a.ID)
		}
		r.extras = append(r.extras, r.now)
		old := func(at time.Duration) bool { return at <= r.now-r.t.ExtraAttemptsWindow }
		r.extras, r.taken = slices.DeleteFunc(r.extras, old), slices.DeleteFunc(r.taken, old)
		most := r.t.ExtraAttemptsMin + r.t.ExtraAttemptsShare*float64(len(r.taken))
		if n := len(r.extras); r.t.ExtraAttemptsWindow > 0 && float64(n) > most {
			r.fault("rule 6: %d further sub-requests", n)
		}
	}
	if !r.ready[a.Node] {
		r.fault("rule 3: sent to %v, which drains or is gone", a.Node)
	}
	k := try{a.ID, p.tries}
	p.tries++
	p.open++
	r.out[k] = sentTry{a.Node, r.now}
	r.order = append(r.order, k)
	r.sends[a.Node] = append(r.sends[a.Node], r.now)
}

func (r *rig) checkFinal(a *decision.Action) {
	h := r.searches[a.ID]
	if h == nil {
		r.fault("rule 1: second final answer for %d", a.ID)
		return
	}
	typ, got, clean := &r.t.QueryTypes[h.typ], 0.0, true
	for _, id := range h.parts {
		p := r.parts[id]
		if p.in {
			got += p.weight
		}
		clean = clean && !p.ran && p.open == 0
	}
	need, floor := typ.FullCompleteness, typ.MinCompleteness
	if h.stage2 {
		if need = 1; floor >= typ.FullCompleteness {
			floor = 1
		}
	}
	switch {
	case r.now > h.due+20*ms:
		r.fault("rule 1: search %d answered late", a.ID)
	case a.Kind == decision.ShedQuery && typ.Idempotency == decision.NonIdempotent && !clean:
		r.fault("rule 2: search %d shed though it may have run", a.ID)
	case a.Kind == decision.AnswerQuery && got < floor-1e-4:
		r.fault("rule 5: answered from %.2f", got)
	case a.Kind == decision.AnswerQuery && a.Complete && (got < need-1e-4 || h.stage2 && !h.whole1):
		r.fault("rule 5: %.2f marked whole", got)
	}
	r.drop(a.ID)
	if a.Kind == decision.AnswerQuery && typ.SecondPhaseRequests > 0 && !h.stage2 {
		r.searches[a.ID] = h
		h.stage2, h.whole1, h.parts = true, a.Complete, nil
		r.addParts(a.ID, 0, 1)
	}
}

// random plays one random step: searches, outcomes, list changes, clients that leave, a clock that jumps.
func (r *rig) random(rnd *rand.Rand, nodes int) {
	for range rnd.Intn(4) {
		typ := rnd.Intn(len(r.t.QueryTypes))
		r.ask(typ, time.Duration(rnd.Int63n(int64(r.t.QueryTypes[typ].Timeout))), rnd.Perm(8)[:1+rnd.Intn(6)]...)
	}
	for _, k := range r.order {
		if rnd.Intn(12) == 0 {
			r.end(k, decision.Outcome(rnd.Intn(8)))
		}
	}
	r.show([]decision.Outcome{decision.OK, decision.OK, decision.TimedOut}[rnd.Intn(3)], func(decision.NodeID) bool { return rnd.Intn(3) == 0 })
	if rnd.Intn(20) == 0 {
		e := decision.Endpoint{Node: nodeID(rnd.Intn(nodes)), State: decision.EndpointState(rnd.Intn(3)), StartedAt: decision.StartedLongAgo}
		if e.Cell = int(e.Node.Addr[3]) % r.t.Cells; rnd.Intn(2) == 0 {
			e.StartedAt = r.now - time.Duration(rnd.Intn(2000))*ms
		}
		e.Unconfirmed = rnd.Intn(3) == 0
		r.list([]decision.EventKind{decision.ListUpdateReceived, decision.FullListReceived}[rnd.Intn(8)/7], e)
	}
	if r.asked > 0 || rnd.Intn(30) == 0 {
		r.events = append(r.events, decision.Event{Kind: decision.ListPollFailed}, decision.Event{Kind: decision.GossipReceived})
	}
	if id := uint64(rnd.Int63n(int64(r.nextID + 1))); r.searches[id] != nil {
		r.events = append(r.events, decision.Event{Kind: decision.ClientDeparted, ID: id})
		r.drop(id)
	}
	if rnd.Intn(100) == 0 { // searches whose time a jump of the clock takes are no fault of the module
		jump := time.Duration(rnd.Intn(3000)) * ms
		for _, h := range r.searches {
			h.due = max(h.due, r.now+jump)
		}
		r.step(jump)
	}
	if rnd.Intn(200) == 0 {
		r.retune(rnd.Intn(2) == 0)
	}
	r.step([]time.Duration{5 * ms, 10 * ms}[rnd.Intn(4)/3])
}

// retune gives the module its terms anew; moved: in another layout, with the nodes in other cells.
func (r *rig) retune(moved bool) {
	if moved {
		r.list(decision.FullListReceived)
		r.step(0)
		r.t.Cells = 5 - r.t.Cells // 2 or 3
	}
	r.l.Reconfigure(r.t, moved)
	if !moved {
		return
	}
	r.moved = r.nextID
	var list []decision.Endpoint
	for i := range 6 {
		list = append(list, decision.Endpoint{Node: nodeID(i), Cell: i % r.t.Cells, State: decision.Ready, StartedAt: decision.StartedLongAgo})
	}
	r.list(decision.FullListReceived, list...)
}

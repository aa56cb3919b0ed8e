package routing

// This file owns the desk's books of searches and parts: in, out, called off, counted against the budget. It holds no decision.

import (
	"flaxfront/internal/decision"
	"slices"
	"time"
)

// trim drops the times at or before the bound.
func trim(times []time.Duration, bound time.Duration) []time.Duration {
	n := 0
	for n < len(times) && times[n] <= bound {
		n++
	}
	if n > 0 {
		times = append(times[:0], times[n:]...)
	}
	return times
}

// returned takes a sub-request that has ended off the books; the last result is nil if nobody waits for it.
func (d *desk) returned(e *decision.Event) (*search, *part, *attempt) {
	if at, known := d.l.byID[e.Node]; known {
		d.weigh(&d.board[at], e.Outcome, e.Elapsed)
		d.board[at].talked = d.l.now
		d.widen(&d.board[at], e)
		if e.Outcome == decision.OK || e.Outcome == decision.Stale {
			d.board[at].proved = max(d.board[at].proved, d.l.now-e.Elapsed)
			d.board[at].vouched = max(d.board[at].vouched, d.l.now-e.Elapsed)
		}
		d.unload(&d.board[at], d.l.now-e.Elapsed)
		d.l.post(&d.l.nodes[at].box, note{kind: ended, outcome: e.Outcome, took: e.Elapsed})
	}
	r, ok := d.find(e.ID)
	if !ok || r.part < 0 {
		return nil, nil, nil
	}
	s := &d.slab[r.slot]
	p := &s.parts[r.part]
	if int(e.Attempt) >= len(p.tries) || !p.tries[e.Attempt].live {
		return nil, nil, nil
	}
	a := &p.tries[e.Attempt]
	a.live = false
	p.live--
	s.calm = false
	return s, p, a
}

// book puts a sub-request on the books and tells how long the node's connections idled; sends of one turn to
// one node share a call.
func (d *desk) book(p *part, at int32) time.Duration {
	b, now := &d.board[at], d.l.now
	idle := time.Duration(0)
	if len(b.calls) == 0 && b.talked > 0 {
		idle = now - b.talked
	}
	b.talked = now
	d.stirred.set(at)
	p.tries = append(p.tries, attempt{node: at, live: true, at: now, load: d.load(p.shard), idle: idle})
	p.live++
	if n := len(b.calls); n > 0 && b.calls[n-1].at == now && b.calls[n-1].parts < d.l.t.MaxBatch {
		b.calls[n-1].parts++
	} else {
		b.calls = append(b.calls, call{now, 1})
	}
	b.last = now
	return idle
}

// unload takes one part off the call that was sent at that time, or off the one sent nearest to it.
func (d *desk) unload(b *seat, at time.Duration) {
	best := -1
	for i := range b.calls {
		if best < 0 || (b.calls[i].at-at).Abs() < (b.calls[best].at-at).Abs() {
			best = i
		}
	}
	if best < 0 {
		return
	}
	if b.calls[best].parts--; b.calls[best].parts == 0 {
		b.calls = slices.Delete(b.calls, best, best+1)
	}
}

// drop ends a search in hand: its parts are called off and its place is free.
func (d *desk) drop(slot int32) {
	s := &d.slab[slot]
	d.clearParts(s)
	delete(d.refs, s.id)
	s.inUse = false
	s.gen++
	d.places -= 1 + s.expect
	d.used.clear(slot)
	d.free = append(d.free, slot)
}

func (d *desk) clearParts(s *search) {
	for i := range s.parts {
		d.cancel(&s.parts[i])
		delete(d.refs, s.parts[i].id)
	}
	s.parts = s.parts[:0]
	d.learned()
}

// admit puts a new search in the slab; one of an unknown type is failed.
func (d *desk) admit(e *decision.Event) *search {
	if e.Type >= len(d.l.t.QueryTypes) {
		d.l.logf("search of unknown type %d failed", e.Type)
		d.l.out = append(d.l.out, decision.Action{Kind: decision.FailQuery, ID: e.ID})
		return nil
	}
	slot, now := d.place(), d.l.now
	s := &d.slab[slot]
	*s = search{gen: s.gen, id: e.ID, inUse: true, serial: e.Serial, typ: &d.l.t.QueryTypes[e.Type],
		tenant: e.Tenant, expect: int(e.Weight), parts: s.parts[:0]}
	d.refs[e.ID] = ref{slot, -1, s.gen}
	d.places += 1 + s.expect
	d.last = slot
	d.used.set(slot)
	d.total.add(now, 1)
	if s.tenant < len(d.rates) {
		d.rates[s.tenant].add(now, 1)
	}
	d.count()
	return s
}

func (d *desk) count() {
	if w := d.l.t.ExtraAttemptsWindow; w > 0 {
		d.asks = trim(append(d.asks, d.l.now), d.l.now-w)
	}
}

// afford is how many further sub-requests the budget leaves by a time (rule 6).
func (d *desk) afford(by time.Duration) float64 {
	t, spent := d.l.t, 0
	d.asks, d.extras = trim(d.asks, d.l.now-t.ExtraAttemptsWindow), trim(d.extras, d.l.now-t.ClockStep-t.ExtraAttemptsWindow)
	for _, at := range d.extras {
		if at > by-t.ExtraAttemptsWindow {
			spent++
		}
	}
	return t.ExtraAttemptsMin + t.ExtraAttemptsShare*float64(len(d.asks)) - float64(spent)
}

// spend books a further sub-request.
func (d *desk) spend() {
	d.tokens--
	if d.l.t.ExtraAttemptsWindow > 0 {
		d.extras = append(d.extras, d.l.now)
	}
}

func (d *desk) addPart(e *decision.Event) {
	d.count()
	slot := d.last // as a rule a search's parts follow it at once
	if s := &d.slab[slot]; !s.inUse || s.serial != e.Serial {
		slot = int32(slices.IndexFunc(d.slab, func(s search) bool { return s.inUse && s.serial == e.Serial }))
	}
	if slot < 0 {
		return
	}
	s := &d.slab[slot]
	n := len(s.parts)
	if n < cap(s.parts) {
		s.parts = s.parts[:n+1]
	} else {
		s.parts = append(s.parts, part{})
	}
	s.parts[n] = part{id: e.ID, shard: e.Shard, weight: e.Weight, only: e.Allowed, tries: s.parts[n].tries[:0], dead: s.moved}
	s.calm = false
	d.refs[e.ID] = ref{slot, int32(n), s.gen}
}

// cancel calls off what is still out for a part.
func (d *desk) cancel(p *part) {
	for i := range p.tries {
		a := &p.tries[i]
		if !a.live {
			continue
		}
		a.live = false
		p.live--
		p.risk(a.at)
		d.lost(p, a)
		if d.l.t.CancelAllowed {
			d.l.out = append(d.l.out, decision.Action{Kind: decision.CancelAttempt, ID: p.id, Attempt: uint16(i)})
		}
	}
}

// find looks up what is still in hand under an id.
func (d *desk) find(id uint64) (ref, bool) {
	r, ok := d.refs[id]
	return r, ok && d.slab[r.slot].gen == r.gen
}

// place finds a free place in the slab.
func (d *desk) place() int32 {
	if n := len(d.free); n > 0 {
		slot := d.free[n-1]
		d.free = d.free[:n-1]
		return slot
	}
	d.slab = append(d.slab, search{})
	return int32(len(d.slab) - 1)
}

// answer ends a search, or its first step.
func (d *desk) answer(slot int32, whole bool) {
	s := &d.slab[slot]
	d.l.out = append(d.l.out, decision.Action{Kind: decision.AnswerQuery, ID: s.id, Complete: whole})
	if s.typ.SecondPhaseRequests > 0 && !s.stage2 {
		d.clearParts(s)
		d.places -= s.expect
		s.stage2, s.whole1, s.sent, s.got, s.expect = true, whole, false, 0, 0
		s.deadline = s.whole
		return
	}
	d.drop(slot)
}

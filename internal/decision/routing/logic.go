package routing

// This file owns every tuned value, and the course of a search from its arrival to its answer or end.

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	margin, guardSteps = 50 * time.Millisecond, 3   // before the latency target; steps before the client timeout
	poll, placesShort  = 10 * time.Millisecond, 0.7 // a part held back is looked at; late searches are given up

	copyQuantile, baseCreep, crowdMost = 0.95, 1.005, 1.5 // p50's low point rises so; over it: no copies

	capShare, capDepth          = 0.1, 30.0  // copies and resends together, as a share of parts
	samples, redraw, fewSamples = 96, 16, 24 // latencies kept; quantiles drawn anew after so many; from so many

	silentFactor, silentLeast, silentMost = 5.0, 400 * time.Millisecond, 1500 * time.Millisecond

	limpOn, limpMost, limpFade, limpVisits = 2.0, 10.0, 5 * time.Second, 4 // over the usual; memory, or gaps

	doubtStep, doubtShut, doubtTrust = 0.3, 0.45, 0.25 // a node's error share, lately
	shareStep, shareOver, doubtMost  = 0.05, 2.0, 0.95 // for longer; times what half of all nodes have

	backoffFirst, backoffMost, renewAt = 200 * time.Millisecond, 3 * time.Second, 4 // times p95: unheard so long

	darkPace, flapWithin, shareAll = 500 * time.Millisecond, 2 * time.Second, 0.08 // all shut; anew; alike

	rumourMany, rumourFade      = 1.5, 4 * time.Second       // sick by the word of so many
	zoneStep, zoneBad, zoneFade = 0.1, 0.5, 20 * time.Second // share of a zone's parts that fails

	coldSafety, coldSpread, easeStep = 0.6, 1.6, 0.25 // of the rule's limit; of the usual flow; calls an answer

	cutStep, cutOn, cutMore, cutQuick = 0.05, 0.3, 4.0, 16 // share that fails; times the fresh; part of p50
	idleLeast, cutFor                 = 200 * time.Millisecond, 20 * time.Second

	loadStep, loadMost, loadFade = 0.1, 0.35, 4 * time.Second // weight of a latency: of many, after long; memory

	shedLow, shedHigh    = 0.5, 0.75  // expected wait over time left: refusing starts and is complete
	lightBias, lightFull = 2.0, 0.25  // how strongly a part that counts little gives way; at which mean wait
	calmShare            = 0.3        // how much a wait counts where nothing is crowded
	worthBias, meanStep  = 0.2, 0.02  // how strongly a search worth less a part goes first
	fullStep, fullWeight = 0.03, 50.0 // share of parts turned away; how much refusal is stricter
	repeatSlack, eps     = 20 * time.Millisecond, 5e-5

	askFirst, askMost, lateWeight = 500 * time.Millisecond, time.Second, 4 // a late search has less time

	rateFast, rateSlow, overRate = 3 * time.Second, 20 * time.Second, 1.3 // beyond its share: over the usual

	none, later int32 = -1, -2 // no node for a part; none yet

	tieBreak, deafStep, pinStep = 0.01, 0.5, 1e6 // for a connection to open; of a probe unanswered; a place

	vouchFor, vouchWait = 500 * time.Millisecond, 200 * time.Millisecond // a sign of life holds; is waited for
)

func (d *desk) start(l *Router) {
	d.lay(l)
	d.tokens, d.value, d.parts = capDepth/2, 1, 1
	least := never
	for i := range l.t.QueryTypes {
		least = min(least, l.t.QueryTypes[i].LatencyObjective)
	}
	d.p50, d.p95, d.base = least/8, least/2, least/12
}

func (d *desk) take(e *decision.Event) {
	l, s := d.l, d.admit(e)
	if s == nil {
		return
	}
	s.whole = l.now + min(s.typ.LatencyObjective, e.RemainingTime) - margin
	s.deadline = s.whole
	if s.typ.SecondPhaseRequests > 0 { // the second step has to fit in
		s.deadline -= min(d.p95, s.typ.LatencyObjective/4)
	}
	s.last = l.now + e.RemainingTime - guardSteps*l.t.ClockStep
	// A repeat shorter than the usual try was cut by its client's timeout, which tells when it first asked.
	usual := d.lengths[e.Type].vote(e.RemainingTime)
	if (e.Retry || !l.t.ClientsMarkRetries) && e.RemainingTime < usual-repeatSlack {
		s.spent = max(0, s.typ.Timeout-e.RemainingTime)
	}
}

// giveUp ends a search that can't be answered: shed with the time to come back in where that is true.
func (d *desk) giveUp(slot int32) {
	l, s := d.l, &d.slab[slot]
	act := decision.Action{Kind: decision.FailQuery, ID: s.id}
	if (s.untouched() || s.typ.Idempotency == decision.Idempotent) && l.now < s.last {
		act.Kind, act.RetryAfter = decision.ShedQuery, time.Duration((0.5+0.5*l.rand())*float64(l.t.MaxRetryAfter))
	}
	l.out = append(l.out, act)
	d.drop(slot)
}

// sweep looks at every search in hand: what came in, what is due, what is new.
func (d *desk) sweep() {
	d.next = never
	d.judge()
	d.short = float64(d.places) > placesShort*float64(d.l.t.MaxInFlight)
	for slot := range d.used.all {
		s := &d.slab[slot]
		if s.calm && d.still(s) {
			continue
		}
		if s.sent {
			d.settle(slot)
		}
		if s.inUse && s.sent {
			d.further(s)
			d.settle(slot)
			d.calmed(s)
		} else if s.inUse && (!s.stage2 || len(s.parts) > 0 || d.l.now >= s.last) {
			d.dispatch(slot)
		}
		if s.inUse {
			d.next = min(d.next, s.last)
			if s.deadline > d.l.now {
				d.next = min(d.next, s.deadline)
			}
		}
	}
}

// settle answers or gives up a search as soon as its state allows.
func (d *desk) settle(slot int32) {
	s, now := &d.slab[slot], d.l.now
	need, least := s.wants()
	open, enough := s.open(), s.got >= least-eps
	switch {
	case s.got >= need-eps:
		d.answer(slot, !s.stage2 || s.whole1)
	case enough && (now >= s.deadline || open == 0):
		d.answer(slot, false)
	// Danger: late searches that wait for silent nodes fill all places, and new ones are turned away unseen.
	case now >= s.last, now >= s.deadline && d.short, !enough && s.got+open < least-eps:
		d.giveUp(slot)
	}
}

// dispatch sends the parts of a new search, or refuses it.
func (d *desk) dispatch(slot int32) {
	l, s := d.l, &d.slab[slot]
	if s.sent = true; l.now >= s.last || !s.stage2 && d.refuse(s) {
		d.giveUp(slot)
		return
	}
	d.ask(s)
	d.launch(s)
	d.settle(slot)
}

// launch sends the parts that were not sent yet.
func (d *desk) launch(s *search) {
	for i := range s.parts {
		p := &s.parts[i]
		if p.dead || len(p.tries) > 0 {
			continue
		}
		at := d.ride(s, i)
		if p.dead = at == none; at < 0 {
			s.held = s.held || at == later
			continue
		}
		d.send(p, at)
		d.tokens = min(capDepth, d.tokens+capShare)
	}
}

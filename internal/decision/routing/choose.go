package routing

// This file owns the choice of a node for each part, and how much a cold or new one gets.

import (
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// ride finds a call of this turn that can take the part too, to a node where its row of holders begins, or
// picks a node. While all are crowded any holder will do; else a hung node costs a search all that ride.
func (d *desk) ride(s *search, i int) int32 {
	p, among := &s.parts[i], d.cells[s.parts[i].shard%d.l.t.Cells]
	if d.crowded(p) {
		among = d.holding(p.shard)
	}
	for _, at := range among {
		b := &d.board[at]
		n := len(b.calls)
		open := n > 0 && b.calls[n-1].at == d.l.now && b.calls[n-1].parts < d.l.t.MaxBatch
		if open && b.mode == fit && p.rank(b.id, true) == 0 {
			return at
		}
	}
	return d.pick(s, &s.parts[i], true, false)
}

// pick chooses a holder of the part: fewest calls out, ties at random. First sends also go, one at a time, to
// a distrusted node whose trial is due. Where every holder is distrusted, the least busy still gets a little;
// where one that is eased in has all it may have for now, the part waits for it while there is time. What is
// pinned goes to the first of its holders that can be sent work; its copies and resends to any of them.
func (d *desk) pick(s *search, p *part, first, again bool) int32 {
	l, best, bestShut, least, ties, full, rank := d.l, none, none, 0.0, 0, false, 0
	for _, i := range d.holding(p.shard) {
		b := &d.board[i]
		if rank = p.rank(b.id, first); rank < 0 || b.mode == gone || b.share < 1 && !d.mayWarm(b) ||
			!again && slices.ContainsFunc(p.tries, func(a attempt) bool { return a.node == i }) {
			continue
		}
		stale := l.t.HealthChecksAllowed && l.now-b.vouched > vouchFor
		waits := stale && first && l.now < s.asked+vouchWait && l.now+d.p50 <= s.deadline
		if waits || b.eased > 0 && !d.mayEase(b) {
			full = true
			continue
		}
		due := b.mode == trial && first && s.typ.Idempotency == decision.Idempotent
		if b.mode <= trial && !due {
			little := len(b.calls) < 2 || l.now-b.last >= darkPace
			if little && !b.downed && (bestShut < 0 || len(b.calls) < len(d.board[bestShut].calls)) {
				bestShut = i
			}
			continue
		}
		slow := max(b.slow, 1+(limpMost-1)*b.deaf)
		if stale || d.zones[b.zone].shunned {
			slow = limpMost
		}
		cost := slow * float64(len(b.calls)+1)
		if b.share < 1 && cost == 1 {
			cost = 0 // what is due to a cold node goes first: many small rations left unused are none
		}
		if len(b.calls) == 0 && slow > 1 && l.rand() < math.Pow(slow, float64(1-d.like(p.shard))) {
			cost = 1 // where all are idle, a limping node gets fewer parts the more like it there are
		}
		if b.talked == 0 || l.now-b.talked >= l.t.ConnIdleTimeout {
			cost += tieBreak // a connection would have to be opened
		}
		switch cost += pinStep * float64(rank); {
		case best < 0 || cost < least:
			best, least, ties = i, cost, 1
		case cost == least:
			if ties++; l.rand()*float64(ties) < 1 {
				best = i
			}
		}
	}
	if best < 0 && p.live == 0 { // no copy is wasted on a distrusted node
		if best = bestShut; full && l.now+d.p50 <= s.deadline {
			best = later
		}
	}
	return best
}

// ask probes the holders of a search's parts that showed no life lately; parts wait a moment for one that
// does. Danger: what a broker with little traffic knows of a node is older than most troubles, and a search
// of many parts meets each of them. It may hurt by a probe a part.
func (d *desk) ask(s *search) {
	if !d.l.t.HealthChecksAllowed {
		return
	}
	s.asked = d.l.now
	for i := range s.parts {
		for _, at := range d.holding(s.parts[i].shard) {
			if b := &d.board[at]; b.mode != gone && !b.probing && d.l.now-b.vouched > vouchFor {
				b.probing = true
				d.l.out = append(d.l.out, decision.Action{Kind: decision.SendHealthCheck, Node: b.id})
			}
		}
	}
}

// mayWarm tells whether a cold node may be sent a part. Its ration grows by its share of what a like warm
// node is sent: now, in its own set, or usually, on average (a jam must not starve it), and no more than
// coldSpread of the usual, as a set short of nodes is sent too much. With none out: at its pace.
func (d *desk) mayWarm(b *seat) bool {
	now := d.l.now
	usual, own := d.flow.usual(now), &d.flows[b.cell%d.l.t.Cells]
	own.decay(now)
	flow := min(max(own.fast, usual), coldSpread*usual)
	b.ration, b.rationed = min(2, b.ration+b.share*flow*(now-b.rationed).Seconds()), now
	return b.ration >= 1 || len(b.calls) == 0 && float64(now-b.last) >= d.pace(b)
}

// pace is the time between parts to a cold node that all brokers can keep within one core's share.
func (d *desk) pace(b *seat) float64 { return float64(d.l.t.BrokerCount) * float64(d.base) / b.share }

// mayEase tells whether a node that is eased in may be sent another call. Danger: a saved list does not tell
// who has just started or left; all brokers that come back together would push cold nodes over, and wait in
// vain at those that are gone. Such a node has one call out; each answer allows a little more. Where one call
// from each broker is too much, the first ones are spread.
func (d *desk) mayEase(b *seat) bool {
	wait := b.lot * float64(d.calm()-d.l.t.OverloadAfter)
	begun := b.last > b.eased || float64(d.l.now-b.eased) >= wait
	return begun && d.l.now >= b.rest && float64(len(b.calls)+1) <= b.window
}

// calm is the time between parts to a node that may be cold which all brokers can keep.
func (d *desk) calm() time.Duration {
	t := d.l.t
	share := max(0.01, min(1, coldSafety*t.OverloadMultiple*t.InitialCapacity))
	return time.Duration(float64(t.BrokerCount) * float64(d.base) / share)
}

// widen lets what an eased node may have out follow what it does. After what it turns away it rests.
func (d *desk) widen(b *seat, e *decision.Event) {
	switch t := d.l.t; {
	case b.eased == 0:
	case e.Outcome == decision.OK || e.Outcome == decision.Stale:
		b.window += easeStep * max(0, min(1, t.OverloadMultiple-1))
	case e.Outcome != decision.Cancelled || e.Elapsed > d.p95:
		b.window, b.rest = max(1, b.window/2), d.l.now+d.calm()
	}
}

// chill starts the ration of a node that has just turned cold, at a time of this broker's own.
func (d *desk) chill(b *seat) {
	b.ration, b.rationed, b.last = d.l.rand(), d.l.now, d.l.now-time.Duration(d.l.rand()*d.pace(b))
}

func (d *desk) send(p *part, at int32) {
	l, b := d.l, &d.board[at]
	if b.share < 1 {
		b.ration = max(-1, b.ration-1)
	}
	switch b.mode {
	case trial:
		b.mode = shut
	case fit:
		d.flow.add(l.now, 1/float64(d.warm))
		d.flows[b.cell%l.t.Cells].add(l.now, 1/float64(d.warms[b.cell%l.t.Cells]))
	}
	if idle := d.book(p, at); idle >= d.idleMost && l.now < d.cutUntil {
		l.out = append(l.out, decision.Action{Kind: decision.CloseIdleConnections, Node: b.id})
		p.tries[len(p.tries)-1].idle = 0
	}
	l.out = append(l.out, decision.Action{Kind: decision.SendAttempt, ID: p.id, Node: b.id, ExclusiveConnection: d.alike})
	l.post(&l.nodes[at].box, note{kind: sent})
}

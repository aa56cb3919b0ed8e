package routing

// This file owns what is worth its work: which searches are refused, what is sent again.

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// refuse tells whether a new search should be turned away for lack of time. Danger: under overload all
// end late and each retry adds to it. The wait expected of each set is held against the time left; least
// value for its parts goes first, so does a tenant beyond its share. Parts of crowded sets are left out.
func (d *desk) refuse(s *search) bool {
	l, value := d.l, s.typ.PriorityWeight
	if d.over(s.tenant) {
		value *= l.t.OverQuotaWeight
	}
	parts := float64(len(s.parts))
	if l.t.WeightByWork {
		parts = 1 // its value is that of each part
	}
	d.weighed++ // the first ones make the mean
	step := max(meanStep, 1/d.weighed)
	d.value, d.parts = d.value+step*(value-d.value), d.parts+step*(parts-d.parts)
	bias := math.Pow(d.value/d.parts*parts/max(value, 0.01*d.value), worthBias)
	left := s.deadline - l.now - s.spent
	if left <= 0 { // its target has passed: it gives way to those that can still earn their full value
		left = (s.last - l.now) / lateWeight
	}
	scale := bias / float64(max(1, left)) * (1 + fullWeight*max(0, d.away()-fullStep))
	worst, sum, share, bar := 0.0, 0.0, 0.0, shedLow+l.rand()*(shedHigh-shedLow)
	for i := range s.parts {
		p := &s.parts[i]
		at := d.pick(s, p, true, false)
		p.dead, p.wait = at == none, 0
		switch {
		case at >= 0:
			p.wait = d.wait(p, at) * scale
		case at == later:
			p.wait = float64(d.p50) * scale
		}
		worst, sum = max(worst, p.wait), sum+p.wait
	}
	// Danger: parts that hardly count for an answer crowd out those that others lack. They give way the more,
	// the longer parts wait on average. It may hurt where all wait, and not for want of capacity.
	light := 0.0
	if s.typ.MinCompleteness < s.typ.FullCompleteness {
		light = -lightBias * math.Pow(min(1, sum/float64(len(s.parts))/lightFull), 2)
	}
	for i := range s.parts {
		p := &s.parts[i]
		x := p.wait * math.Pow(s.rel(p), light)
		// Danger: clients of little patience look like late repeats, are turned away for nothing, and ask with
		// less time left. Where holders are not crowded that is no overload. It may hurt by work that is late.
		if x > bar && !s.light(p) && !d.crowded(p) {
			x *= calmShare
		}
		if p.dead = p.dead || x > bar; !p.dead {
			share += p.weight
		}
	}
	if on := worst > shedHigh; on != d.refusing && (on || worst < shedLow) {
		d.refusing = on
		l.logf("refusing %v: wait %.2f of the time left, %v", on, worst, left)
	}
	return share < s.typ.MinCompleteness-eps
}

// rel is what a part counts, over the mean of its search.
func (s *search) rel(p *part) float64 { return p.weight * float64(len(s.parts)) }

// light tells whether a part counts less than the mean, and its search can do without it.
func (s *search) light(p *part) bool {
	return s.typ.MinCompleteness < s.typ.FullCompleteness && s.rel(p) < 1-eps
}

// wait is the latency expected of a part sent to a node: by the record of its holders, and no less than what
// the second oldest of the node's calls has waited (the oldest may be stuck alone).
func (d *desk) wait(p *part, at int32) float64 {
	b, k := &d.board[at], d.setOf(p.shard)
	age := time.Duration(0)
	if owed := b.owed(); len(owed) > 0 && b.mode >= cold { // a trial is taken all the same
		age = d.l.now - owed[min(1, len(owed)-1)].at
	}
	return max(d.fresh(k.of, k.at)*(d.load(p.shard)+1), float64(age))
}

// over tells whether a tenant sends beyond its share of what this broker carries.
func (d *desk) over(tenant int) bool {
	l := d.l
	if tenant >= len(d.rates) || l.t.OverQuotaWeight >= 1 {
		return false
	}
	r, q := &d.rates[tenant], &l.t.Tenants[tenant]
	r.decay(l.now)
	// Danger: to a broker with little traffic a lone search looks like a burst of its tenant.
	most := max(q.Quota/float64(l.t.BrokerCount), overRate*q.TrafficShare*d.total.usual(l.now))
	return r.fast-1/rateFast.Seconds() > most
}

// further sends copies and resends that are due, within the shared cap, and what waited.
func (d *desk) further(s *search) {
	l, t := d.l, d.l.t
	if s.held {
		s.held = false
		d.launch(s)
		d.next = min(d.next, l.now+poll)
	}
	over := t.ExtraAttemptsWindow > 0 && d.beyond(s)
	dear := t.ExtraAttemptsWindow > 0 && float64(len(s.parts)-s.in) > d.afford(l.now)
	for i := range s.parts {
		p := &s.parts[i]
		if p.done || p.dead || over || len(p.tries) == 0 || s.moved {
			p.dead = p.dead || over || s.moved && p.live == 0
			continue
		}
		inTime := l.now+d.p50 <= s.deadline && len(p.tries) < t.MaxAttempts
		if p.live == 0 {
			if p.resent || !inTime || !d.mayRepeat(s, p) {
				p.dead = true
				continue
			}
		} else {
			// Danger: copies of parts that hardly count take from the shared cap, and from the nodes, what others
			// need. It may hurt where a search just misses being whole.
			if p.copied || s.light(p) || !inTime || !t.HedgingAllowed || !d.mayRepeat(s, p) || p.live > 1 {
				continue
			}
			a := p.tries[len(p.tries)-1]
			due, known := a.at+d.p95, d.drew
			if !known {
				due = a.at + s.typ.LatencyObjective/2
			}
			// Danger: copies made while a whole set, or everything, is slow join the crowd they flee from.
			// Then only those from distrusted nodes go. It may hurt where half the nodes of a set turn slow.
			if dear || known && d.board[a.node].mode >= cold && d.crowded(p) {
				due = max(due, l.now+poll)
			}
			if due > l.now {
				d.next = min(d.next, due)
				continue
			}
		}
		at := d.pick(s, p, false, false)
		if at == none && p.live == 0 {
			if at = d.pick(s, p, false, true); at == none {
				p.dead = true
				continue
			}
		}
		if at >= 0 && d.tokens >= 1 && l.now+time.Duration(d.wait(p, at)) <= s.deadline && d.inBudget() {
			d.spend()
			p.resent, p.copied = p.resent || p.live == 0, p.copied || p.live > 0
			d.send(p, at)
			continue
		}
		d.next = min(d.next, l.now+poll)
	}
}

// mayRepeat tells whether a part may be sent again, beside what is out or after all has ended (rule 2).
func (d *desk) mayRepeat(s *search, p *part) bool {
	risk := p.firstRisk
	if p.live > 0 {
		risk = p.tries[0].at
	} else if !p.mayRun {
		return true
	}
	return s.typ.Idempotency == decision.Idempotent || s.typ.Idempotency == decision.IdempotencyKeyed && d.l.now <= risk+s.typ.IdempotencyWindow
}

// beyond tells whether a search lacks more parts than the budget lets be sent again in time. Danger: what is
// left of it goes to searches that fail all the same, and their clients ask again too late.
func (d *desk) beyond(s *search) bool {
	lost, weight := 0.0, 0.0
	for i := range s.parts {
		if p := &s.parts[i]; !p.done && !p.dead && p.live == 0 && len(p.tries) > 0 {
			lost, weight = lost+1, weight+p.weight
		}
	}
	_, least := s.wants()
	have := d.afford(s.deadline)
	return lost > have && s.got+s.open()-weight*(1-have/lost) < least-eps
}

// inBudget keeps rule 6: further sub-requests in the window, this one included.
func (d *desk) inBudget() bool {
	return d.l.t.ExtraAttemptsWindow == 0 || d.afford(d.l.now-d.l.t.ClockStep) >= 1
}

// Package logic holds every decision of flaxfront. A front calls New once with the Terms of its start,
// then Turn for each batch of events, and carries out the actions that Turn appends, in their order.
// The interface (events, actions, terms) lives in package broker.
//
// Three kinds of actor share the work: the desk (searches in hand), one node actor for each store node
// (its health) and the keeper (the node list). They talk only by notes; Logic.run empties the inboxes.
package logic

import (
	"math"
	"slices"
	"time"

	"flaxfront/broker"
)

const (
	margin, guardSteps = 50 * time.Millisecond, 3   // before the latency target; steps before the client timeout
	poll, placesShort  = 10 * time.Millisecond, 0.7 // a part held back is looked at; late searches are given up

	copyQuantile, baseCreep, crowdMost = 0.95, 1.005, 1.5 // p50's low point rises so; over it: no copies

	capShare, capDepth          = 0.1, 30.0  // copies and resends together, as a share of parts
	samples, redraw, fewSamples = 96, 16, 24 // latencies kept; quantiles drawn anew after so many; from so many

	silentFactor, silentLeast, silentMost = 5.0, 400 * time.Millisecond, 1500 * time.Millisecond
	renewAt                               = 4                  // times p95: what a node is owed goes unheard
	limpOn, limpMost                      = 2.0, 10.0          // limping: latency over the usual
	limpFade, limpVisits                  = 5 * time.Second, 4 // memory; or usual gaps
	doubtStep, doubtShut, doubtTrust      = 0.3, 0.45, 0.25    // a node's error share, lately
	shareStep, shareOver, doubtMost       = 0.05, 2.0, 0.95    // for longer; times what half of all nodes have
	backoffFirst, backoffMost             = 200 * time.Millisecond, 3 * time.Second

	darkPace, flapWithin, shareAll = 500 * time.Millisecond, 2 * time.Second, 0.08 // all shut; anew; alike

	rumourMany, rumourFade      = 1.5, 4 * time.Second       // sick by the word of so many
	zoneStep, zoneBad, zoneFade = 0.1, 0.5, 20 * time.Second // share of a zone's parts that fails

	coldSafety, coldSpread, easeStep = 0.6, 1.6, 0.25 // of the rule's limit; of the usual flow; calls an answer

	cutStep, cutOn, cutMore, cutQuick = 0.05, 0.3, 4.0, 16 // share that fails; times the fresh; part of p50
	idleLeast, cutFor                 = 200 * time.Millisecond, 20 * time.Second

	loadStep, loadMost   = 0.1, 0.35       // weight of one latency in a record: of many, after a long time
	loadFade             = 4 * time.Second // its memory
	shedLow, shedHigh    = 0.5, 0.75       // expected wait over time left: refusing starts and is complete
	worthBias, meanStep  = 0.2, 0.02       // how strongly a search worth less a part goes first
	fullStep, fullWeight = 0.03, 50.0      // share of parts turned away; how much refusal is stricter
	repeatSlack, eps     = 20 * time.Millisecond, 5e-5
	lateWeight, overRate = 4, 1.3 // a late search has so much less time; beyond its share: over the usual
	rateFast, rateSlow   = 3 * time.Second, 20 * time.Second
	askFirst, askMost    = 500 * time.Millisecond, 4 * time.Second

	none, later int32 = -1, -2 // no node for a part; none yet

	tieBreak, deafStep = 0.01, 0.5 // a connection would have to be opened; weight of one probe unanswered

	vouchFor, vouchWait = 500 * time.Millisecond, 200 * time.Millisecond // a sign of life holds; is waited for
)

func (k *keeper) read(n *note) {
	l := k.l
	switch {
	case n.kind == tick:
		if k.next = never; l.t.AskList && !k.asked && l.now >= k.due {
			k.asked = true
			l.out = append(l.out, broker.Action{Kind: broker.Subscribe})
		} else if l.t.AskList && !k.asked {
			k.next = k.due
		}
	case n.ev.Kind == broker.ListFailed:
		// Danger: every broker asking again in step keeps a jammed list service jammed.
		k.asked = false
		k.due = l.now + time.Duration((0.5+l.rand())*float64(k.backoff))
		k.backoff = min(2*k.backoff, askMost)
	default:
		k.backoff = askFirst
		k.merge(n.ev)
	}
}

func (n *node) read(k *note) {
	now := n.l.now
	switch k.kind {
	case listed:
		n.cell, n.ready = k.entry.Cell, k.entry.State == broker.Ready
		n.blame(n.share)
		if n.eased = 0; k.entry.Eased {
			n.eased = max(1, now)
		}
		if b := k.entry.Boot; b > n.boot { // a stale list may name an older start
			n.boot = b
			if now-b < n.l.t.WarmAfter {
				n.warming, n.since, n.downed = true, b, false
				n.trusted, n.doubt = true, 0
				n.l.logf("%v cold: started %v ago", n.id, now-b)
			}
		}
	case rumour:
		// Danger: each of many brokers meets a sick node by itself, each time anew. Where several peers call
		// it sick it counts as limping, until it answers or time goes by. False rumours cost it some traffic.
		if n.rumour = n.gossip(); k.sick {
			n.rumour++
		} else {
			n.rumour /= 2
		}
		if n.heardOf = now; n.rumour >= rumourMany {
			n.slow = limpMost
		}
	case vouched:
		n.downed = false // it can be reached, whatever it does with a part
	case sent:
		if !n.trusted {
			if n.trying { // the trial before this one was never answered
				n.backoff = max(n.gap, min(2*n.backoff, backoffMost))
			}
			n.until, n.trying = now+n.backoff, true
		}
	case ended:
		n.ended(k)
	case tick:
		// Danger: a node that takes parts and answers none: its calls together have waited several times what is
		// usual. It may hurt when all stop at once. Before, once until it is heard, a fresh connection is tried.
		wait := min(k.took, now-n.heard)
		n.unheard += time.Duration(k.calls) * min(now-n.ticked, wait)
		if n.renewed <= n.heard && n.unheard > renewAt*n.l.desk.p95 {
			n.renewed = now
			n.l.out = append(n.l.out, broker.Action{Kind: broker.Close, Node: n.id})
		}
		exposed := wait > silentLeast && float64(n.unheard) > silentFactor*float64(k.limp)
		if n.trusted && (wait > silentMost || exposed) {
			n.distrust("silent", wait.Seconds())
		}
		n.gap = k.gap
		n.limp(k)
	}
	n.tell()
}

func (n *node) ended(k *note) {
	now := n.l.now
	switch k.outcome {
	case broker.OK:
		n.heard, n.unheard, n.rumour = now, 0, 0
		n.doubt *= 1 - doubtStep
		n.blame(n.share * (1 - shareStep))
		n.learn(k.took)
		n.downed = false
		if !n.trusted {
			if n.until = now; n.doubt < doubtTrust {
				n.trusted, n.regained = true, now
				n.l.spread(factWell, n.id)
				n.l.logf("%v trusted: doubt %.2f", n.id, n.doubt)
			}
		}
	case broker.Cancelled:
		if k.took > n.lat {
			n.learn(k.took) // a loser would have taken longer still
		}
	case broker.Errored, broker.Reset:
		// Danger: where answers break from all nodes alike, each looks sick by turns, and shutting some crowds the
		// others. A node must stand out from half of the fleet; the parts of one broken connection count once.
		n.heard, n.unheard = now, 0
		if n.failed != now {
			n.doubt, n.failed = n.doubt+doubtStep*(1-n.doubt), now
			n.blame(n.share + shareStep*(1-n.share))
		}
		if !n.trusted || n.doubt > doubtShut && n.doubt > min(doubtMost, doubtShut+shareOver*n.l.common()) {
			n.distrust("errors", n.doubt)
		}
	case broker.Refused:
		n.heard, n.unheard = now, 0
		n.distrust("refuses", n.doubt)
	case broker.ConnectFailed:
		n.downed = true
		n.distrust("unreachable", n.doubt)
	}
}

// learn takes the last latency for the node's: a broker may not meet it again for many seconds.
func (n *node) learn(took time.Duration) { n.lat, n.ticked = took, n.l.now }

// faded is how much of what is known of the node's latency has gone stale since it was last looked at.
func (n *node) faded() float64 { return 1 - kept(n.l.now-n.ticked, max(limpFade, limpVisits*n.gap)) }

// limp weighs a node's latency, or the age of its oldest part, against the usual one. Danger: a node several
// times slower than its like looks idle to a broker with few parts out, and holds up every search that meets
// it. While it limps, each of its calls counts as several. It may hurt for a moment after a pause.
func (n *node) limp(k *note) {
	if n.lat > k.limp {
		n.lat -= time.Duration(n.faded() * float64(n.lat-k.limp))
	}
	n.ticked = n.l.now
	ratio := min(limpMost, float64(max(n.lat, k.took))/float64(k.limp))
	if n.slow = 1; ratio >= limpOn {
		n.slow = math.Floor(ratio)
	}
	if n.gossip() >= rumourMany {
		n.slow = limpMost
	}
}

// gossip is how many peers lately called the node sick.
func (n *node) gossip() float64 { return n.rumour * kept(n.l.now-n.heardOf, rumourFade) }

// distrust sends a node no work but a lone part now and then, ever rarer while it fails.
func (n *node) distrust(why string, figure float64) {
	now := n.l.now
	if n.trusted {
		n.l.spread(factSick, n.id)
		n.l.logf("%v shut: %s (%.2f)", n.id, why, figure)
	}
	if n.trusted && now-n.regained > flapWithin {
		n.backoff = max(backoffFirst, n.gap) // else a broker with little traffic tries it with each part
	} else if n.trusted || n.trying {
		n.backoff = max(n.gap, min(max(2*n.backoff, backoffFirst), backoffMost))
	}
	n.trusted, n.trying, n.until = false, false, now+n.backoff
}

// tell lets the desk know the node's mode.
func (n *node) tell() {
	k := note{kind: standing, node: n.at, mode: fit, share: 1, slow: n.slow, downed: n.downed}
	if n.eased > 0 && n.heard > n.eased && n.l.now-n.eased >= n.l.t.WarmAfter {
		n.eased = 0 // it answers, and whenever it started, it is warm by now
	}
	k.eased = n.eased
	if t := n.l.t; n.warming {
		// Danger (rule 4): all brokers at once push a cold node over. Each keeps to a share of what it sends
		// a like warm node, by a capacity that grows no slower than evenly, so that their sum holds.
		if age := n.l.now - n.since; age >= t.WarmAfter {
			n.warming = false
			n.l.logf("%v warm", n.id)
		} else {
			k.mode = cold
			have := t.ColdFrom + (1-t.ColdFrom)*float64(max(0, age))/float64(t.WarmAfter)
			k.share = min(1, coldSafety*t.FallMultiple*have)
		}
	}
	switch {
	case !n.ready:
		k.mode = gone
	case !n.trusted && n.l.now >= n.until:
		k.mode = trial
	case !n.trusted:
		k.mode = shut
	}
	if k.entry.Cell = n.cell; k != n.told {
		n.told = k
		n.l.post(&n.l.desk.box, k)
	}
}

func (d *desk) start(l *Logic) {
	d.lay(l)
	d.tokens, d.value, d.parts = capDepth/2, 1, 1
	least := never
	for i := range l.t.Types {
		least = min(least, l.t.Types[i].Target)
	}
	d.p50, d.p95, d.base = least/8, least/2, least/12
}

func (d *desk) take(e *broker.Event) {
	l, s := d.l, d.admit(e)
	if s == nil {
		return
	}
	s.whole = l.now + min(s.typ.Target, e.Left) - margin
	s.deadline = s.whole
	if s.typ.Fetch > 0 { // the second step has to fit in
		s.deadline -= min(d.p95, s.typ.Target/4)
	}
	s.last = l.now + e.Left - guardSteps*l.t.Step
	// A repeat shorter than the usual try was cut by its client's timeout, which tells when it first asked.
	usual := d.lengths[e.Type].vote(e.Left)
	if (e.Repeat || !l.t.MarksRepeats) && e.Left < usual-repeatSlack {
		s.spent = max(0, s.typ.Timeout-e.Left)
	}
}

func (d *desk) ended(e *broker.Event) {
	s, p, a := d.returned(e)
	if a == nil {
		return
	}
	switch e.Outcome {
	case broker.OK:
		d.full(0)
		d.stale(a, 0)
		if p.done {
			return
		}
		p.done, s.got, s.in = true, s.got+p.weight, s.in+1
		d.record(e.Took)
		d.heed(p, a, e.Took)
		d.cancel(p)
		return
	case broker.Refused:
		d.full(1)
	case broker.ConnectFailed, broker.NeverSent:
	default:
		p.risk(a.at)
		if e.Outcome == broker.Reset && e.Took < d.p50/cutQuick {
			d.stale(a, 1)
		}
	}
	// Danger: more answers get lost than the cap pays for, and searches die of it while nodes idle. Where the
	// holders are not crowded, what broke makes good its own resend. It may hurt where the search harms.
	if e.Outcome != broker.Refused && !d.crowded(p) {
		d.tokens, p.resent = min(capDepth, d.tokens+1), false
	}
}

// crowded tells whether all, or the nodes that hold a part, are slow.
func (d *desk) crowded(p *part) bool {
	k := d.setOf(p.shard)
	return max(float64(d.p50), d.fresh(k.took, k.at)) > crowdMost*float64(d.base)
}

// full learns what share of parts is turned away. Danger: latencies tell only of what was served; where
// queues are full, searches that fail keep them so. It may hurt where few are full; a lone one may drain.
func (d *desk) full(share float64) {
	d.turned *= kept(d.l.now-d.turnedAt, loadFade)
	d.turned, d.turnedAt = d.turned+fullStep*(share-d.turned), d.l.now
}

// stale learns of connections cut while they idle. Danger: the next part breaks, or is lost without a word:
// most parts of a broker with little traffic. While parts over connections that idled fail far more often
// than over fresh ones, such connections are closed before use. It may hurt by handshakes for other causes.
func (d *desk) stale(a *attempt, failed float64) {
	if a.idle < idleLeast {
		d.fail += cutStep * (failed - d.fail)
		return
	}
	if d.cut += cutStep * (failed - d.cut); failed == 0 {
		return
	}
	if d.cut < 2*cutStep {
		d.idleMost = a.idle // what came before is long ago
	}
	d.idleMost = min(d.idleMost, a.idle)
	if d.cut > cutOn && d.cut > cutMore*d.fail && d.l.now >= d.cutUntil {
		d.cutUntil = d.l.now + cutFor
		d.l.logf("idle connections are cut: %.2f fail after %v, %.2f of fresh", d.cut, d.idleMost, d.fail)
	}
}

// heed teaches the record of a part's holders the latency of a sub-request to one of them.
func (d *desk) heed(p *part, a *attempt, took time.Duration) {
	k := d.setOf(p.shard)
	step := min(loadMost, max(loadStep, 1-kept(d.l.now-k.at, loadFade)))
	k.of, k.took = d.fresh(k.of, k.at), d.fresh(k.took, k.at) // one latency after a long time is no crowd
	k.of += step * (float64(took)/(a.load+1) - k.of)
	k.took, k.at = k.took+step*(float64(took)-k.took), d.l.now
}

// lost learns from a sub-request called off: it would have taken longer still than its age.
func (d *desk) lost(p *part, a *attempt) {
	age := d.l.now - a.at
	if age > d.p95 {
		d.stale(a, 1)
	}
	if p.done {
		d.record(age)
	} else if float64(age) > d.setOf(p.shard).took {
		d.heed(p, a, age)
	}
}

// learned draws the quantiles anew when a search ends. Danger: the first answers of a search with many parts
// are its quickest, and all others of it would be copied by their p95.
func (d *desk) learned() {
	if s := d.latest(); len(s) >= fewSamples {
		d.p50, d.p95 = s[len(s)/2], s[int(copyQuantile*float64(len(s)))]
		if d.base = min(d.p50, time.Duration(baseCreep*float64(d.base))); !d.drew {
			d.drew, d.base = true, d.p50
		}
	}
}

// giveUp ends a search that can't be answered: shed with the time to come back in where that is true.
func (d *desk) giveUp(slot int32) {
	l, s := d.l, &d.slab[slot]
	act := broker.Action{Kind: broker.Fail, ID: s.id}
	if (s.untouched() || s.typ.Effect == broker.Idempotent) && l.now < s.last {
		act.Kind, act.After = broker.Shed, time.Duration((0.5+0.5*l.rand())*float64(l.t.MaxRetryAfter))
	}
	l.out = append(l.out, act)
	d.drop(slot)
}

// sweep looks at every search in hand: what came in, what is due, what is new.
func (d *desk) sweep() {
	d.next = never
	d.judge()
	d.short = float64(d.places) > placesShort*float64(d.l.t.MaxOpen)
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

// refuse tells whether a new search should be turned away for lack of time. Danger: under overload all
// end late and each retry adds to it. The wait expected of each set is held against the time left; least
// value for its parts goes first, so does a tenant beyond its share. Parts of crowded sets are left out.
func (d *desk) refuse(s *search) bool {
	l := d.l
	value := s.typ.Value
	if d.over(s.tenant) {
		value *= l.t.OverShare
	}
	parts := float64(len(s.parts))
	if l.t.ByWork {
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
	scale := bias / float64(max(1, left))
	scale *= 1 + fullWeight*max(0, d.turned*kept(l.now-d.turnedAt, loadFade)-fullStep)
	worst, share, bar := 0.0, 0.0, shedLow+l.rand()*(shedHigh-shedLow)
	for i := range s.parts {
		p := &s.parts[i]
		at := d.pick(s, p, true, false)
		if p.dead = at == none; p.dead {
			continue
		}
		x := float64(d.p50) * scale
		if at >= 0 {
			x = d.wait(p, at) * scale
		}
		worst = max(worst, x)
		if p.dead = x > bar; !p.dead {
			share += p.weight
		}
	}
	if on := worst > shedHigh; on != d.refusing && (on || worst < shedLow) {
		d.refusing = on
		l.logf("refusing %v: wait %.2f of the time left, %v", on, worst, left)
	}
	return share < s.typ.Floor-eps
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

// owed are the calls that the node may still answer in its turn. Danger: what it swallowed while it hung is
// out until clients give up, and it is called silent and slow for what is lost. A call is lost once one sent
// well after it was answered. It may hurt where a node works on one part that long and on others meanwhile.
func (b *seat) owed() []call {
	i := 0
	for i < len(b.calls) && b.calls[i].at < b.proved-silentLeast {
		i++
	}
	return b.calls[i:]
}

// fresh is a latency learned up to a time; without news it is taken for the usual one again.
func (d *desk) fresh(of float64, at time.Duration) float64 {
	usual := float64(d.p50)
	return usual + (of-usual)*kept(d.l.now-at, loadFade)
}

// usual is the latency that a node is held against: the fleet's p50, or that of its like where that is longer
// (danger: in a crowded set all nodes look sick, and shutting some crowds the others).
func (l *Logic) usual(n *node) time.Duration {
	sum, like := time.Duration(0), time.Duration(0)
	for _, at := range l.desk.kin(n.cell) {
		if o := l.nodes[at]; o != n && o.told.mode == fit {
			sum, like = sum+o.lat, like+1
		}
	}
	return max(l.desk.p50, sum/max(1, like))
}

// over tells whether a tenant sends beyond its share of what this broker carries.
func (d *desk) over(tenant int) bool {
	l := d.l
	if tenant >= len(d.rates) || l.t.OverShare >= 1 {
		return false
	}
	r, q := &d.rates[tenant], &l.t.Tenants[tenant]
	r.decay(l.now)
	// Danger: to a broker with little traffic a lone search looks like a burst of its tenant.
	most := max(q.Quota/float64(l.t.Brokers), overRate*q.Portion*d.total.usual(l.now))
	return r.fast-1/rateFast.Seconds() > most
}

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
		if n > 0 && b.calls[n-1].at == d.l.now && b.calls[n-1].parts < d.l.t.BatchParts && b.mode == fit {
			return at
		}
	}
	return d.pick(s, &s.parts[i], true, false)
}

// pick chooses a holder of the part: fewest calls out, ties at random. First sends also go, one at a time, to
// a distrusted node whose trial is due. Where every holder is distrusted, the least busy still gets a little;
// where one that is eased in has all it may have for now, the part waits for it while there is time.
func (d *desk) pick(s *search, p *part, first, again bool) int32 {
	l, best, least, ties := d.l, none, 0.0, 0
	bestShut, full := none, false
	for _, i := range d.holding(p.shard) {
		b := &d.board[i]
		if b.mode == gone || b.share < 1 && !d.mayWarm(b) {
			continue
		}
		if !again && slices.ContainsFunc(p.tries, func(a attempt) bool { return a.node == i }) {
			continue
		}
		if b.eased > 0 && !d.mayEase(b) {
			full = true
			continue
		}
		stale := l.t.Probes && l.now-b.vouched > vouchFor
		if stale && first && l.now < s.asked+vouchWait && l.now+d.p50 <= s.deadline {
			full = true
			continue
		}
		due := b.mode == trial && first && s.typ.Effect == broker.Idempotent
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
		if b.talked == 0 || l.now-b.talked >= l.t.Idle {
			cost += tieBreak // a connection would have to be opened
		}
		switch {
		case best < 0 || cost < least:
			best, least, ties = i, cost, 1
		case cost == least:
			if ties++; l.rand()*float64(ties) < 1 {
				best = i
			}
		}
	}
	if best < 0 && p.live == 0 && full && l.now+d.p50 <= s.deadline {
		return later
	}
	if best < 0 && p.live == 0 { // no copy is wasted on a distrusted node
		return bestShut
	}
	return best
}

// ask probes the holders of a search's parts that showed no life lately; parts wait a moment for one that
// does. Danger: what a broker with little traffic knows of a node is older than most troubles, and a search
// of many parts meets each of them. It may hurt by a probe a part.
func (d *desk) ask(s *search) {
	l := d.l
	if !l.t.Probes {
		return
	}
	s.asked = l.now
	for i := range s.parts {
		for _, at := range d.holding(s.parts[i].shard) {
			if b := &d.board[at]; b.mode != gone && !b.probing && l.now-b.vouched > vouchFor {
				b.probing = true
				l.out = append(l.out, broker.Action{Kind: broker.Probe, Node: b.id})
			}
		}
	}
}

// probed takes a probe's end.
func (d *desk) probed(e *broker.Event) {
	if at, known := d.l.byID[e.Node]; known {
		b := &d.board[at]
		b.deaf *= 1 - deafStep
		if b.probing = false; e.Outcome != broker.OK {
			b.deaf += deafStep
		} else {
			b.vouched = max(b.vouched, d.l.now-e.Took)
			d.l.post(&d.l.nodes[at].box, note{kind: vouched})
		}
	}
}

// weigh adds an outcome to the record of a node's zone. Danger: a data centre that can't be reached, or is
// sick as a whole, would have to be found out node by node. While most of what goes to it fails, and not so
// in another, its nodes count as limping. It may hurt where chance gathers the sick nodes in one zone.
func (d *desk) weigh(b *seat, how broker.Outcome, took time.Duration) {
	z, failed := &d.zones[b.zone], 0.0
	if how == broker.ConnectFailed || how == broker.TimedOut || how == broker.Cancelled && took >= d.p95 {
		failed = 1
	} else if how != broker.OK {
		return
	}
	z.doubt, z.at = d.doubt(z)*(1-zoneStep)+zoneStep*failed, d.l.now
}

func (d *desk) doubt(z *zone) float64 { return z.doubt * kept(d.l.now-z.at, zoneFade) }

// judge tells, once a turn, of each zone whether it is shunned, and whether answers break from all nodes
// alike: then what shares a connection is lost together, and each call gets one of its own.
func (d *desk) judge() {
	least := 1.0
	if share := d.l.common(); d.alike != (share >= shareAll || d.alike && share >= shareAll/2) {
		d.alike = !d.alike
		d.l.logf("parts fail at all nodes alike %v: %.2f", d.alike, share)
	}
	for i := range d.zones {
		least = min(least, d.doubt(&d.zones[i]))
	}
	for i := range d.zones {
		z, doubt := &d.zones[i], d.doubt(&d.zones[i])
		if z.shunned != (doubt > zoneBad && least < doubt/2) {
			z.shunned = !z.shunned
			d.l.logf("zone %d shunned %v: doubt %.2f", i, z.shunned, doubt)
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
func (d *desk) pace(b *seat) float64 { return float64(d.l.t.Brokers) * float64(d.base) / b.share }

// mayEase tells whether a node that is eased in may be sent another call. Danger: a saved list does not tell
// who has just started or left; all brokers that come back together would push cold nodes over, and wait in
// vain at those that are gone. Such a node has one call out; each answer allows a little more. Where one call
// from each broker is too much, the first ones are spread.
func (d *desk) mayEase(b *seat) bool {
	spread := d.calm() - d.l.t.FallAfter
	if b.last <= b.eased && float64(d.l.now-b.eased) < b.lot*float64(spread) || d.l.now < b.rest {
		return false
	}
	return float64(len(b.calls)+1) <= b.window
}

// calm is the time between parts to a node that may be cold which all brokers can keep.
func (d *desk) calm() time.Duration {
	t := d.l.t
	share := max(0.01, min(1, coldSafety*t.FallMultiple*t.ColdFrom))
	return time.Duration(float64(t.Brokers) * float64(d.base) / share)
}

// widen lets what an eased node may have out follow what it does. After what it turns away it rests.
func (d *desk) widen(b *seat, e *broker.Event) {
	switch t := d.l.t; {
	case b.eased == 0:
	case e.Outcome == broker.OK:
		b.window += easeStep * max(0, min(1, t.FallMultiple-1))
	case e.Outcome != broker.Cancelled || e.Took > d.p95:
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
		l.out = append(l.out, broker.Action{Kind: broker.Close, Node: b.id})
		p.tries[len(p.tries)-1].idle = 0
	}
	l.out = append(l.out, broker.Action{Kind: broker.Send, ID: p.id, Node: b.id, Alone: d.alike})
	l.post(&l.nodes[at].box, note{kind: sent})
}

// further sends copies and resends that are due, within the shared cap, and what waited.
func (d *desk) further(s *search) {
	l, t := d.l, d.l.t
	if s.held {
		s.held = false
		d.launch(s)
		d.next = min(d.next, l.now+poll)
	}
	over := d.beyond(s)
	dear := t.ExtraWindow > 0 && float64(len(s.parts)-s.in) > d.afford(l.now)
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
			if p.copied || !inTime || !t.SecondCopies || !d.mayRepeat(s, p) || p.live > 1 {
				continue
			}
			a := p.tries[len(p.tries)-1]
			due, known := a.at+d.p95, d.drew
			if !known {
				due = a.at + s.typ.Target/2
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
	return s.typ.Effect == broker.Idempotent || s.typ.Effect == broker.Tokened && d.l.now <= risk+s.typ.Window
}

// beyond tells whether a search lacks more parts than the budget lets be sent again in time. Danger: what is
// left of it goes to searches that fail all the same, and their clients ask again too late.
func (d *desk) beyond(s *search) bool {
	if d.l.t.ExtraWindow == 0 {
		return false
	}
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
func (d *desk) inBudget() bool { return d.l.t.ExtraWindow == 0 || d.afford(d.l.now-d.l.t.Step) >= 1 }

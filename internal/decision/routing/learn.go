package routing

// This file owns what the ends of parts and probes teach the desk: latencies, crowds, cuts, zones.

import (
	"time"

	"flaxfront/internal/decision"
)

func (d *desk) ended(e *decision.Event) {
	s, p, a := d.returned(e)
	if a == nil {
		return
	}
	switch e.Outcome {
	case decision.OK:
		d.full(0)
		d.stale(a, 0)
		if p.done {
			return
		}
		p.done, s.got, s.in = true, s.got+p.weight, s.in+1
		d.record(e.Elapsed)
		d.heed(p, a, e.Elapsed)
		d.cancel(p)
		return
	case decision.Rejected:
		d.full(1)
	case decision.ConnectFailed, decision.NeverSent:
	default:
		p.risk(a.at)
		if e.Outcome == decision.ConnectionReset && e.Elapsed < d.p50/cutQuick {
			d.stale(a, 1)
		}
	}
	// Danger: more answers get lost than the cap pays for, and searches die of it while nodes idle. Where the
	// holders are not crowded, what broke makes good its own resend. It may hurt where the search harms.
	if e.Outcome != decision.Rejected && !d.crowded(p) {
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
	d.turned, d.turnedAt = (1-fullStep)*d.away()+fullStep*share, d.l.now
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
	if d.idleMost = min(d.idleMost, a.idle); d.cut < 2*cutStep {
		d.idleMost = a.idle // what came before is long ago
	}
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

// probed takes a probe's end.
func (d *desk) probed(e *decision.Event) {
	if at, known := d.l.byID[e.Node]; known {
		b := &d.board[at]
		b.deaf *= 1 - deafStep
		if b.probing = false; e.Outcome != decision.OK {
			b.deaf += deafStep
		} else {
			b.vouched = max(b.vouched, d.l.now-e.Elapsed)
			d.l.post(&d.l.nodes[at].box, note{kind: vouched})
		}
	}
}

// weigh adds an outcome to the record of a node's zone. Danger: a data centre that can't be reached, or is
// sick as a whole, would have to be found out node by node. While most of what goes to it fails, and not so
// in another, its nodes count as limping. It may hurt where chance gathers the sick nodes in one zone.
func (d *desk) weigh(b *seat, how decision.Outcome, took time.Duration) {
	z, failed := &d.zones[b.zone], 0.0
	if how == decision.ConnectFailed || how == decision.TimedOut || how == decision.Cancelled && took >= d.p95 {
		failed = 1
	} else if how != decision.OK && how != decision.Stale {
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

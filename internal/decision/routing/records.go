package routing

// This file owns the records that decisions draw on: rates, latencies, shares, votes, sets of places. It holds no decision.

import (
	"flaxfront/internal/decision"
	"math"
	mathbits "math/bits"
	"slices"
	"time"
)

type rate struct {
	fast, slow float64
	at         time.Duration
}

// kept is the share of a record that is left after a time.
func kept(after, memory time.Duration) float64 { return math.Exp(-float64(after) / float64(memory)) }

func (r *rate) decay(now time.Duration) {
	r.fast *= kept(now-r.at, rateFast)
	r.slow *= kept(now-r.at, rateSlow)
	r.at = now
}

func (r *rate) add(now time.Duration, n float64) {
	r.decay(now)
	r.fast += n / rateFast.Seconds()
	r.slow += n / rateSlow.Seconds()
}

// usual is the slow rate, scaled by the time it has run, as it began at nothing.
func (r *rate) usual(now time.Duration) float64 {
	r.decay(now)
	return r.slow / (1 - kept(max(1, now), rateSlow))
}

// blame sets the share of its parts that a node fails, and keeps the order of those of all listed nodes.
func (n *node) blame(share float64) {
	l := n.l
	if n.counted == n.ready && (!n.ready || share == n.share) {
		n.share = share
		return
	}
	if n.counted {
		at, _ := slices.BinarySearch(l.shares, n.share)
		l.shares = slices.Delete(l.shares, at, at+1)
	}
	n.share = share
	if n.counted = n.ready; n.counted {
		at, _ := slices.BinarySearch(l.shares, share)
		l.shares = slices.Insert(l.shares, at, share)
	}
}

// common is the share of failed parts that half of the listed nodes reach.
func (l *Router) common() float64 {
	if len(l.shares) == 0 {
		return 0
	}
	return l.shares[len(l.shares)/2]
}

// record keeps a latency in the ring.
func (d *desk) record(took time.Duration) {
	d.takes[d.taken%samples] = took
	d.taken++
}

// latest returns all latencies kept, sorted, if a redraw is due.
func (d *desk) latest() []time.Duration {
	if d.taken-d.drawn < redraw {
		return nil
	}
	d.drawn = d.taken
	s := d.sorted[:min(d.taken, samples)]
	copy(s, d.takes[:])
	slices.Sort(s)
	return s
}

// majority finds the value that most tries share.
type majority struct {
	of    time.Duration
	votes int
}

func (m *majority) vote(v time.Duration) time.Duration {
	switch {
	case (v - m.of).Abs() <= repeatSlack:
		m.votes++
	case m.votes > 0:
		m.votes--
	default:
		m.of, m.votes = v, 1
	}
	return m.of
}

// bits are a set of places, in their order.
type bits []uint64

func (b *bits) set(at int32) {
	for int(at>>6) >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[at>>6] |= 1 << (at & 63)
}

func (b bits) clear(at int32) { b[at>>6] &^= 1 << (at & 63) }

// all goes through the set; what is taken out meanwhile may still come.
func (b bits) all(yield func(int32) bool) {
	for i, word := range b {
		for ; word != 0; word &= word - 1 {
			if !yield(int32(i<<6 + mathbits.TrailingZeros64(word))) {
				return
			}
		}
	}
}

// calmed notes, after a search was looked at in full, whether anything but time can change what becomes of it before it is told
// of the end of a part: then it need not be looked at with each turn. It must say no wherever settle or further would look at
// something else; the courses of the laboratory's scripts are the same with and without it.
func (d *desk) calmed(s *search) {
	if !s.inUse || !s.sent || s.held {
		return
	}
	s.oldest = never
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.done || p.dead:
		case p.live == 0:
			return
		case p.live == 1 && !p.copied && !s.light(p) && d.l.t.HedgingAllowed && s.typ.Idempotency != decision.NonIdempotent && len(p.tries) < d.l.t.MaxAttempts:
			s.oldest = min(s.oldest, p.tries[len(p.tries)-1].at)
		}
	}
	s.calm = true
}

// still tells whether a calm search has nothing due, and when it will.
func (d *desk) still(s *search) bool {
	now := d.l.now
	if now >= s.deadline || now >= s.last {
		return false
	}
	if s.oldest != never && now+d.p50 <= s.deadline {
		due := s.oldest + d.p95
		if !d.drew {
			due = s.oldest + s.typ.LatencyObjective/2
		}
		if due <= now+poll {
			return false
		}
		d.next = min(d.next, due)
	}
	d.next = min(d.next, s.last, s.deadline)
	return true
}

// away is the share of parts that full queues turn away, as far as it is remembered.
func (d *desk) away() float64 { return d.turned * kept(d.l.now-d.turnedAt, loadFade) }

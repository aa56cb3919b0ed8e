package admission

// This file owns how much work may be in hand: found by the delay that it meets at the store.

import (
	"math"
	"time"
)

const (
	window      = 100 * time.Millisecond // in which the least delay counts
	slower      = 2                      // least delay over the baseline: too much is in hand
	slack       = 10 * time.Millisecond
	fall        = 0.9
	rise        = 0.05
	probeEach   = 10 * time.Second // then less is let in for a moment, and the delay it meets is the new baseline
	probeAt     = 0.5              // of the limit
	probeFor    = 3                // windows; the last one counts
	rateFor     = time.Second
	mostStretch = 16.0 // work in hand for each that is at the store
	stretched   = 2.0  // from there on half of all time in hand, or more, is the broker's own lateness
)

// limiter finds how much work may be in hand.
type limiter struct {
	leastWork float64
	inHand    float64 // work
	limit     float64 // work at the store

	lag      time.Duration // how late the broker gets to run now
	begun    time.Duration // of the window
	least    time.Duration // delay at the store in it; 0: none seen
	whole    time.Duration // least time in hand in it
	held     float64       // work answered in it, times its time in hand
	away     float64       // the same, times its time at the store
	short    bool          // somebody waited in it
	turned   bool          // the module shed in it
	low      time.Duration // the baseline
	probed   time.Duration // when the baseline is to be measured anew
	probing  int           // windows of that which are left
	stretch  float64       // work in hand for each that is at the store
	finished float64       // work, decaying
	at       time.Duration
	opened   time.Duration // when the first search entered
}

// Completion is a search that entered and has its verdict.
type Completion struct {
	Work     float64
	Elapsed  time.Duration // since it entered
	OwnDelay time.Duration // of that, what the broker itself was late: it had not got round to the search, or to its answer
	Answered bool
	Shed     bool // the module refused it for want of time
}

// Complete takes it that a search which entered has its verdict.
func (d *Controller) Complete(e Completion, now time.Duration) {
	d.inHand = max(0, d.inHand-e.Work)
	own := min(max(0, e.OwnDelay), e.Elapsed)
	if e.Answered {
		d.rate(now)
		d.finished += e.Work
		at := max(1, e.Elapsed-own)
		if d.least == 0 || at < d.least {
			d.least = at
		}
		if d.whole == 0 || e.Elapsed < d.whole {
			d.whole = e.Elapsed
		}
		d.held += e.Work * float64(e.Elapsed)
		d.away += e.Work * float64(max(at-d.lag, d.low, time.Millisecond))
	}
	// Danger: a broker that comes round late sheds for want of time while the store stands idle; if that lowered the limit, less
	// would be let in to what idles already. It may hide a store that is slow as well, which the least delay then shows.
	d.turned = d.turned || e.Shed && 2*own < e.Elapsed && d.stretch < stretched
}

// SetLateness tells how late the broker gets to run now, which nobody can tell apart from the store's delay in any one answer.
func (d *limiter) SetLateness(by time.Duration) { d.lag = by }

// rate is how much work a second the store has lately done.
func (d *limiter) rate(now time.Duration) float64 {
	d.finished *= math.Exp(-float64(now-d.at) / float64(rateFor))
	d.at = now
	seen := 1 - math.Exp(-float64(max(window, now-d.opened))/float64(rateFor)) // it began at nothing
	return max(d.finished/rateFor.Seconds()/seen, d.limit)                     // what is in hand takes a second at most
}

// most is how much work may be in hand now. The limit is on what is at the store; what the broker has not got round to takes no
// room there, so it comes on top. Danger: counted in, a late broker's own delay fills the limit, and the store idles while
// searches are refused. It may hurt where the broker's cores are what is short: more is in hand by so much than gets done, hence
// the bound.
func (d *limiter) most() float64 {
	if d.probing > 0 {
		return max(d.leastWork, probeAt*d.limit*d.stretch)
	}
	return d.limit * d.stretch
}

// period is how long a window lasts: no shorter than what is measured in it, and not without an answer for a second.
func (d *limiter) period() time.Duration {
	if d.least == 0 && d.inHand > 0 {
		return time.Second
	}
	return max(window, min(d.whole, time.Second))
}

// adjust moves the limit once a window. The least delay in a window is what even the luckiest search met: if that stands
// well over the baseline, by more than the broker itself may be late, a queue stands at the store, and less is let in; likewise where
// nothing is answered and the module sheds. Sheds beside answers as fast as ever tell of something else: of a late broker, or of
// answers that break. Where searches waited here and no queue stands, more is let in. It tells that a window ended.
func (d *limiter) adjust(now time.Duration) bool {
	if now-d.begun < d.period() {
		return false
	}
	if d.least > 0 && (d.low == 0 || d.least < d.low) {
		d.low = d.least
	}
	// Danger: while a queue stands all the time no search meets the baseline, and one that has risen for good is never seen.
	switch {
	case d.probing > 0:
		if d.probing--; d.probing == 0 && d.least > 0 {
			d.low = d.least
		}
	case now >= d.probed:
		d.probing, d.probed = probeFor, now+probeEach
	}
	switch queue := d.least > slower*(d.low+d.lag)+slack; {
	case d.probing > 0:
	case queue || d.turned && d.least == 0:
		d.limit = max(d.leastWork, fall*d.limit)
	case d.short:
		d.limit += max(1, rise*d.limit)
	}
	if d.away > 0 { // else nothing was answered, and what was known stands
		d.stretch += (min(mostStretch, max(1, d.held/d.away)) - d.stretch) / 4
	}
	d.begun, d.least, d.whole, d.held, d.away, d.turned = now, 0, 0, 0, 0, false
	return true
}

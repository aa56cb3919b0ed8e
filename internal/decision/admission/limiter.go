package admission

import (
	"math"
	"time"
)

const (
	minWindow        = 100 * time.Millisecond
	maxWindow        = time.Second
	queueFactor      = 2                     // least delay over the baseline, from which on a queue stands at the store
	queueSlack       = 10 * time.Millisecond // beside
	limitDecrease    = 0.9                   // factor
	limitIncrease    = 0.05                  // share
	probeInterval    = 10 * time.Second      // then less is admitted for a moment, and the delay it meets is the new baseline
	probeLimitShare  = 0.5
	probeWindows     = 3 // the last one counts
	rateTimeConstant = time.Second
	maxDelayFactor   = 16.0
	lateDelayFactor  = 2.0  // from there on half of the time in flight, or more, is the broker's own
	delayFactorStep  = 0.25 // weight of a window in the moving average
)

// limiter finds how much work may be in flight: by the delay that it meets at the store, in windows of time.
type limiter struct {
	minWork  float64
	inFlight float64       // work
	limit    float64       // work at the store
	lateness time.Duration // of the broker, now
	baseline time.Duration // the delay of a store without a queue

	delayFactor      float64       // work in flight for each that is at the store
	nextProbeAt      time.Duration // of the baseline
	probeWindowsLeft int

	window
	windowBegin time.Duration

	recentWork      float64 // done, decaying
	recentWorkAt    time.Duration
	firstAdmittedAt time.Duration
	queriesWaited   bool // in this window
}

// window is what was seen in a window.
type window struct {
	minDelay         time.Duration // at the store; 0: none seen
	minElapsed       time.Duration // in flight
	workTimesElapsed float64
	workTimesDelay   float64
	routerShed       bool
}

// Completion is the end of an admitted query.
type Completion struct {
	Work     float64
	Elapsed  time.Duration // since it was admitted
	OwnDelay time.Duration // of that, by which the broker itself was late
	Answered bool
	Shed     bool // by the router, for want of time
}

// Complete counts the end of an admitted query.
func (c *Controller) Complete(end Completion, now time.Duration) {
	c.inFlight = max(0, c.inFlight-end.Work)
	ownDelay := min(max(0, end.OwnDelay), end.Elapsed)
	if end.Answered {
		c.rate(now)
		c.recentWork += end.Work
		c.noteAnswer(end.Work, end.Elapsed, ownDelay)
	}
	// A late broker sheds for want of time while the store is idle; if that lowered the limit, less would be admitted to what is idle
	// already.
	isLate := 2*ownDelay >= end.Elapsed || c.delayFactor >= lateDelayFactor
	if end.Shed && !isLate {
		c.routerShed = true
	}
}

func (d *limiter) noteAnswer(work float64, elapsed, ownDelay time.Duration) {
	delay := max(1, elapsed-ownDelay)
	if d.minDelay == 0 || delay < d.minDelay {
		d.minDelay = delay
	}
	if d.minElapsed == 0 || elapsed < d.minElapsed {
		d.minElapsed = elapsed
	}
	d.workTimesElapsed += work * float64(elapsed)
	d.workTimesDelay += work * float64(max(delay-d.lateness, d.baseline, time.Millisecond))
}

// SetLateness sets how late the broker is called now, which can't be told apart from the store's delay in any one answer.
func (d *limiter) SetLateness(lateness time.Duration) { d.lateness = lateness }

// rate is how much work a second the store has lately done.
func (d *limiter) rate(now time.Duration) float64 {
	d.recentWork *= math.Exp(-float64(now-d.recentWorkAt) / float64(rateTimeConstant))
	d.recentWorkAt = now
	sinceFirst := max(minWindow, now-d.firstAdmittedAt)
	seenShare := 1 - math.Exp(-float64(sinceFirst)/float64(rateTimeConstant)) // the average began at nothing
	return max(d.recentWork/rateTimeConstant.Seconds()/seenShare, d.limit)    // what is in flight takes a second at most
}

// maxInFlight is how much work may be in flight. The limit is on what is at the store; what the broker has not got round to takes no room
// there, so it comes on top. Else a late broker's own delay would fill the limit, and the store be idle while queries are rejected.
// maxDelayFactor bounds that, for brokers that are short of processor time.
func (d *limiter) maxInFlight() float64 {
	if d.probeWindowsLeft > 0 {
		return max(d.minWork, probeLimitShare*d.limit*d.delayFactor)
	}
	return d.limit * d.delayFactor
}

// windowLength is no shorter than what is measured in a window, and the longest while nothing is answered.
func (d *limiter) windowLength() time.Duration {
	if d.minDelay == 0 && d.inFlight > 0 {
		return maxWindow
	}
	return max(minWindow, min(d.minElapsed, maxWindow))
}

// endWindowIfDue adjusts baseline, limit and delay factor at the end of a window, and returns whether it ended.
func (d *limiter) endWindowIfDue(now time.Duration) bool {
	if now-d.windowBegin < d.windowLength() {
		return false
	}
	d.updateBaseline(now)
	d.updateLimit()
	d.updateDelayFactor()
	d.windowBegin = now
	d.window = window{}
	return true
}

// updateBaseline takes the least delay ever seen, and measures anew from time to time: while a queue stands no query meets the baseline,
// and one that has risen for good would not be seen.
func (d *limiter) updateBaseline(now time.Duration) {
	if d.minDelay > 0 && (d.baseline == 0 || d.minDelay < d.baseline) {
		d.baseline = d.minDelay
	}
	if d.probeWindowsLeft > 0 {
		d.probeWindowsLeft--
		if d.probeWindowsLeft == 0 && d.minDelay > 0 {
			d.baseline = d.minDelay
		}
		return
	}
	if now >= d.nextProbeAt {
		d.probeWindowsLeft = probeWindows
		d.nextProbeAt = now + probeInterval
	}
}

// updateLimit lowers the limit if even the fastest query of the window met a delay well over the baseline, by more than the broker itself
// may be late: then a queue stands at the store. So it does if nothing was answered and the router sheds; sheds beside answers as fast as
// ever have other causes. Where queries waited and no queue stands, the limit rises.
func (d *limiter) updateLimit() {
	if d.probeWindowsLeft > 0 {
		return
	}
	hasQueue := d.minDelay > queueFactor*(d.baseline+d.lateness)+queueSlack
	onlyShed := d.routerShed && d.minDelay == 0
	switch {
	case hasQueue || onlyShed:
		d.limit = max(d.minWork, limitDecrease*d.limit)
	case d.queriesWaited:
		d.limit += max(1, limitIncrease*d.limit)
	}
}

// updateDelayFactor keeps what was known if nothing was answered.
func (d *limiter) updateDelayFactor() {
	if d.workTimesDelay == 0 {
		return
	}
	seen := min(maxDelayFactor, max(1, d.workTimesElapsed/d.workTimesDelay))
	d.delayFactor += (seen - d.delayFactor) * delayFactorStep
}

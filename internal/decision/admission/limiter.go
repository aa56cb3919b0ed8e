package admission

import (
	"math"
	"time"
)

const (
	minWindow        = 100 * time.Millisecond
	maxWindow        = time.Second
	queueFactor      = 2                     // multiple of the baseline above which the least delay shows a queue at the store
	queueSlack       = 10 * time.Millisecond // added to that multiple
	limitDecrease    = 0.9                   // factor
	limitIncrease    = 0.05                  // share of the limit
	probeInterval    = 10 * time.Second      // between probes, which admit less for a moment to measure the baseline anew
	probeLimitShare  = 0.5
	probeWindows     = 3 // length of a probe in windows; the last window sets the baseline
	rateTimeConstant = time.Second
	maxDelayFactor   = 16.0
	lateDelayFactor  = 2.0  // at or above it, the broker itself causes half of the time in flight or more
	delayFactorStep  = 0.25 // weight of a window in the moving average
)

// limiter adjusts how much work may be in flight, from the delay that queries meet at the store in each time window.
type limiter struct {
	minWork  float64
	inFlight float64       // work
	limit    float64       // work at the store
	lateness time.Duration // scheduling delay of the broker, now
	baseline time.Duration // the delay of a store without a queue

	delayFactor      float64       // work in flight per work at the store
	nextProbeAt      time.Duration // next probe of the baseline
	probeWindowsLeft int

	window
	windowBegin time.Duration

	recentWork      float64 // completed, decaying with rateTimeConstant
	recentWorkAt    time.Duration
	firstAdmittedAt time.Duration
	queriesWaited   bool // queries were queued or rejected in this window
}

// window holds the measurements of one time window.
type window struct {
	minDelay         time.Duration // least delay at the store; 0: no answer yet
	minElapsed       time.Duration // least time in flight
	workTimesElapsed float64       // sum over answers, in nanoseconds
	workTimesDelay   float64       // sum over answers, in nanoseconds at the store
	routerShed       bool          // the router shed a query for lack of time
}

// Completion is the end of an admitted query.
type Completion struct {
	Work     float64
	Elapsed  time.Duration // since it was admitted
	OwnDelay time.Duration // part of Elapsed that the broker itself caused
	Answered bool
	Shed     bool // by the router, for lack of time
}

// Complete records the end of an admitted query.
func (c *Controller) Complete(end Completion, now time.Duration) {
	c.inFlight = max(0, c.inFlight-end.Work)
	ownDelay := min(max(0, end.OwnDelay), end.Elapsed)
	if end.Answered {
		c.rate(now)
		c.recentWork += end.Work
		c.noteAnswer(end.Work, end.Elapsed, ownDelay)
	}
	// A late broker sheds for lack of time while the store is idle. If that lowered the limit, even less would be admitted to the idle
	// store.
	isLate := 2*ownDelay >= end.Elapsed || c.delayFactor >= lateDelayFactor
	if end.Shed && !isLate {
		c.routerShed = true
	}
}

func (l *limiter) noteAnswer(work float64, elapsed, ownDelay time.Duration) {
	delay := max(1, elapsed-ownDelay)
	if l.minDelay == 0 || delay < l.minDelay {
		l.minDelay = delay
	}
	if l.minElapsed == 0 || elapsed < l.minElapsed {
		l.minElapsed = elapsed
	}
	l.workTimesElapsed += work * float64(elapsed)
	l.workTimesDelay += work * float64(max(delay-l.lateness, l.baseline, time.Millisecond))
}

// SetLateness sets the broker's present scheduling delay, which no single answer can tell apart from the store's delay.
func (l *limiter) SetLateness(lateness time.Duration) { l.lateness = lateness }

// rate returns the work per second that the store recently completed, or the limit if that is higher.
func (l *limiter) rate(now time.Duration) float64 {
	l.recentWork *= math.Exp(-float64(now-l.recentWorkAt) / float64(rateTimeConstant))
	l.recentWorkAt = now
	sinceFirst := max(minWindow, now-l.firstAdmittedAt)
	seenShare := 1 - math.Exp(-float64(sinceFirst)/float64(rateTimeConstant)) // corrects for an average that began at zero
	return max(l.recentWork/rateTimeConstant.Seconds()/seenShare, l.limit)    // work in flight is assumed to take a second at most
}

// maxInFlight returns how much work may be in flight. The limit applies to the work at the store; work that waits inside a late broker
// comes on top. Otherwise a late broker's own delay would use up the limit, and the store would be idle while queries are rejected.
// maxDelayFactor bounds the addition, for brokers that are short of processor time.
func (l *limiter) maxInFlight() float64 {
	if l.probeWindowsLeft > 0 {
		return max(l.minWork, probeLimitShare*l.limit*l.delayFactor)
	}
	return l.limit * l.delayFactor
}

// windowLength returns the length of a window: the time that the fastest answer took, but at least minWindow and at most maxWindow. While
// work is in flight and nothing has been answered in the window, it is maxWindow.
func (l *limiter) windowLength() time.Duration {
	if l.minDelay == 0 && l.inFlight > 0 {
		return maxWindow
	}
	return max(minWindow, min(l.minElapsed, maxWindow))
}

// endWindowIfDue adjusts baseline, limit and delay factor at the end of a window, and reports whether the window ended.
func (l *limiter) endWindowIfDue(now time.Duration) bool {
	if now-l.windowBegin < l.windowLength() {
		return false
	}
	l.updateBaseline(now)
	l.updateLimit()
	l.updateDelayFactor()
	l.windowBegin = now
	l.window = window{}
	return true
}

// updateBaseline lowers the baseline to the least delay seen, and measures it anew from time to time with less work in flight: while the
// store has a queue no query meets the baseline, so a permanent rise of the baseline would go unnoticed.
func (l *limiter) updateBaseline(now time.Duration) {
	if l.minDelay > 0 && (l.baseline == 0 || l.minDelay < l.baseline) {
		l.baseline = l.minDelay
	}
	if l.probeWindowsLeft > 0 {
		l.probeWindowsLeft--
		if l.probeWindowsLeft == 0 && l.minDelay > 0 {
			l.baseline = l.minDelay
		}
		return
	}
	if now >= l.nextProbeAt {
		l.probeWindowsLeft = probeWindows
		l.nextProbeAt = now + probeInterval
	}
}

// updateLimit lowers the limit if even the fastest answer of the window was delayed well beyond the baseline and the broker's lateness:
// then the store has a queue. It also lowers the limit if nothing was answered and the router shed a query; if answers came as fast as
// before, the router shed for another reason. If queries waited and the store has no queue, the limit rises.
func (l *limiter) updateLimit() {
	if l.probeWindowsLeft > 0 {
		return
	}
	hasQueue := l.minDelay > queueFactor*(l.baseline+l.lateness)+queueSlack
	onlyShed := l.routerShed && l.minDelay == 0
	switch {
	case hasQueue || onlyShed:
		l.limit = max(l.minWork, limitDecrease*l.limit)
	case l.queriesWaited:
		l.limit += max(1, limitIncrease*l.limit)
	}
}

// updateDelayFactor moves the average towards this window's delay factor; without an answer the factor stays.
func (l *limiter) updateDelayFactor() {
	if l.workTimesDelay == 0 {
		return
	}
	seen := min(maxDelayFactor, max(1, l.workTimesElapsed/l.workTimesDelay))
	l.delayFactor += (seen - l.delayFactor) * delayFactorStep
}

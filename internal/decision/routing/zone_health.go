package routing

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	zoneErrorWeight       = 0.1 // of one attempt in the moving average of a zone's error rate
	maxZoneErrorRate      = 0.5 // above it a zone is avoided, unless all zones fail (zoneErrorDivisor)
	zoneErrorTimeConstant = 20 * time.Second
	zoneErrorDivisor      = 2 // a zone is avoided only if the lowest error rate of any zone is below this zone's rate divided by this
)

// zoneHealth holds the error rate of the attempts to a zone.
type zoneHealth struct {
	errorRate float64
	updatedAt time.Duration
	avoided   bool
}

// zoneTable holds the zones, indexed by their numbers.
type zoneTable []zoneHealth

// grow adds zones until there are at least count.
func (t *zoneTable) grow(count int) {
	for len(*t) < count {
		*t = append(*t, zoneHealth{})
	}
}

// currentErrorRate returns the error rate, decayed by the time since the last update.
func (z *zoneHealth) currentErrorRate(now time.Duration) float64 {
	return z.errorRate * decayFactor(now-z.updatedAt, zoneErrorTimeConstant)
}

// observe updates the error rate with an attempt: 1 for a failed one, 0 for an answered one.
func (z *zoneHealth) observe(failed float64, now time.Duration) {
	z.errorRate = z.currentErrorRate(now)*(1-zoneErrorWeight) + zoneErrorWeight*failed
	z.updatedAt = now
}

// observeZone updates the error rate of a node's zone with the end of an attempt. Only answers count, and those failures that an
// unreachable zone would cause. The rate detects an unreachable zone as a whole rather than node by node.
func (d *dispatcher) observeZone(e *endpoint, outcome decision.Outcome, elapsed time.Duration) {
	z := &d.zones[e.zone]
	now := d.router.now
	switch {
	case outcome == decision.OK || outcome == decision.Stale:
		z.observe(0, now)
	case outcome == decision.ConnectFailed || outcome == decision.TimedOut:
		z.observe(1, now)
	case outcome == decision.Cancelled && elapsed >= d.latency.p95:
		z.observe(1, now)
	}
}

// updateAvoidedZones decides which zones are avoided: those to which most attempts fail, while another zone has a much lower error rate.
// The replicas in an avoided zone count as degraded.
func (d *dispatcher) updateAvoidedZones() {
	now := d.router.now
	lowest := 1.0
	for i := range d.zones {
		lowest = min(lowest, d.zones[i].currentErrorRate(now))
	}
	for i := range d.zones {
		z := &d.zones[i]
		errorRate := z.currentErrorRate(now)
		avoid := errorRate > maxZoneErrorRate && lowest < errorRate/zoneErrorDivisor
		if avoid == z.avoided {
			continue
		}
		z.avoided = avoid
		if avoid {
			d.router.log(logZoneAvoided, i, errorRate)
		} else {
			d.router.log(logZoneUsedAgain, i, errorRate)
		}
	}
}

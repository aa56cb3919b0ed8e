package routing

import (
	"time"

	"flaxfront/internal/decision"
)

const (
	zoneErrorWeight       = 0.1 // of one attempt in a zone's error rate
	maxZoneErrorRate      = 0.5 // above it a zone is avoided
	zoneErrorTimeConstant = 20 * time.Second
	zoneErrorDivisor      = 2 // unless the zone that fails least has more than the rate over this
)

// zoneHealth is the error rate of the attempts to a zone.
type zoneHealth struct {
	errorRate float64
	updatedAt time.Duration
	avoided   bool
}

// zoneTable holds the zones by their numbers.
type zoneTable []zoneHealth

func (t *zoneTable) grow(count int) {
	for len(*t) < count {
		*t = append(*t, zoneHealth{})
	}
}

// current is the error rate as far as it is remembered.
func (z *zoneHealth) currentErrorRate(now time.Duration) float64 {
	return z.errorRate * decayFactor(now-z.updatedAt, zoneErrorTimeConstant)
}

func (z *zoneHealth) observe(failed float64, now time.Duration) {
	z.errorRate = z.currentErrorRate(now)*(1-zoneErrorWeight) + zoneErrorWeight*failed
	z.updatedAt = now
}

// observeZone takes the end of an attempt into the error rate of the node's zone: answers, and failures that a zone out of reach would
// cause. A zone that cannot be reached would otherwise have to be found out node by node.
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

// updateAvoidedZones decides which zones are avoided: those most of whose attempts fail, while those to another zone do not. The replicas of an
// avoided zone count as degraded.
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

package routing

import (
	"math"
	"time"
)

// Time constants of a rate.
const (
	fastRateTimeConstant = 3 * time.Second
	slowRateTimeConstant = 20 * time.Second
)

// rate measures events per second, as exponentially weighted moving averages over a short and a long time.
type rate struct {
	fast      float64
	slow      float64
	updatedAt time.Duration
}

// decayFactor returns the factor by which an average with the given time constant decays in the elapsed time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// decay brings both averages up to date without a new event.
func (r *rate) decay(now time.Duration) {
	r.fast *= decayFactor(now-r.updatedAt, fastRateTimeConstant)
	r.slow *= decayFactor(now-r.updatedAt, slowRateTimeConstant)
	r.updatedAt = now
}

// add counts a number of events.
func (r *rate) add(now time.Duration, count float64) {
	r.decay(now)
	r.fast += count / fastRateTimeConstant.Seconds()
	r.slow += count / slowRateTimeConstant.Seconds()
}

// usual returns the average over the long time. It corrects for the average having started at zero when the broker started.
func (r *rate) usual(now time.Duration) float64 {
	r.decay(now)
	return r.slow / (1 - decayFactor(max(1, now), slowRateTimeConstant))
}

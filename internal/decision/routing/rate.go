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

// rate counts a second, as exponentially weighted means over a short and a long time.
type rate struct {
	fast      float64
	slow      float64
	updatedAt time.Duration
}

// decayFactor is the share of a mean that is left after a time, by its time constant.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

func (r *rate) decay(now time.Duration) {
	r.fast *= decayFactor(now-r.updatedAt, fastRateTimeConstant)
	r.slow *= decayFactor(now-r.updatedAt, slowRateTimeConstant)
	r.updatedAt = now
}

func (r *rate) add(now time.Duration, count float64) {
	r.decay(now)
	r.fast += count / fastRateTimeConstant.Seconds()
	r.slow += count / slowRateTimeConstant.Seconds()
}

// usual is the mean over the long time, scaled by how much of it has passed since the start, when the mean was zero.
func (r *rate) usual(now time.Duration) float64 {
	r.decay(now)
	return r.slow / (1 - decayFactor(max(1, now), slowRateTimeConstant))
}

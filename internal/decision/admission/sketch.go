package admission

import (
	"math"
	"time"
)

const (
	sketchRows         = 4
	sketchWidth        = 1024 // counters a row, a power of two
	sketchTimeConstant = 2 * time.Second
	maxSketchScale     = 1e12
	goldenRatio        = 0x9e3779b97f4a7c15
)

// Sketch counts how much work each client was given lately: a count-min sketch (Cormode and Muthukrishnan, 2005) with conservative update,
// whose counters decay. It takes the same memory however many clients there are.
//
// A count is never too low. It is too high by no more than about e/sketchWidth of all that was given lately, but for one client in fifty.
// Clients are hashed with a key of this broker's own, so that nobody can aim at another's counters.
type Sketch struct {
	key        [2]uint64
	counts     [sketchRows][sketchWidth]float32
	scale      float64 // what a unit given now adds: it grows, instead of all counters shrinking
	advancedAt time.Duration
}

// NewSketch returns an empty sketch.
func NewSketch(key uint64) *Sketch {
	return &Sketch{key: [2]uint64{key | 1, mix(key + goldenRatio)}, scale: 1}
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// counters returns the index of a client's counter in each row.
func (s *Sketch) counters(name uint64) (at [sketchRows]int) {
	first := mix(name ^ s.key[0])
	step := mix(name^s.key[1]) | 1
	for i := range at {
		at[i] = int((first + uint64(i)*step) >> 20 & (sketchWidth - 1))
	}
	return at
}

// advance lets time pass: later units weigh more. Now and then all counters are brought back to size.
func (s *Sketch) advance(now time.Duration) {
	s.scale *= math.Exp(float64(now-s.advancedAt) / float64(sketchTimeConstant))
	s.advancedAt = now
	if s.scale < maxSketchScale {
		return
	}
	for i := range s.counts {
		for j := range s.counts[i] {
			s.counts[i][j] = float32(float64(s.counts[i][j]) / s.scale)
		}
	}
	s.scale = 1
}

// Add counts work given to a client.
func (s *Sketch) Add(name uint64, amount float64, now time.Duration) {
	s.advance(now)
	at := s.counters(name)
	count := s.minCount(at) + float32(amount*s.scale)
	for i, j := range at {
		s.counts[i][j] = max(s.counts[i][j], count)
	}
}

func (s *Sketch) minCount(at [sketchRows]int) float32 {
	lowest := s.counts[0][at[0]]
	for i, j := range at[1:] {
		lowest = min(lowest, s.counts[i+1][j])
	}
	return lowest
}

// Estimate returns the work that a client was given lately, in units of now.
func (s *Sketch) Estimate(name uint64, now time.Duration) float64 {
	s.advance(now)
	return float64(s.minCount(s.counters(name))) / s.scale
}

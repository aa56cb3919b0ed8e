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

// columns returns the index of a client's counter in each row.
func (s *Sketch) columns(client uint64) (columns [sketchRows]int) {
	first := mix(client ^ s.key[0])
	step := mix(client^s.key[1]) | 1
	for i := range columns {
		columns[i] = int((first + uint64(i)*step) >> 20 & (sketchWidth - 1))
	}
	return columns
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
func (s *Sketch) Add(client uint64, work float64, now time.Duration) {
	s.advance(now)
	columns := s.columns(client)
	count := s.minCount(columns) + float32(work*s.scale)
	for i, j := range columns {
		s.counts[i][j] = max(s.counts[i][j], count)
	}
}

func (s *Sketch) minCount(columns [sketchRows]int) float32 {
	lowest := s.counts[0][columns[0]]
	for i, j := range columns[1:] {
		lowest = min(lowest, s.counts[i+1][j])
	}
	return lowest
}

// Estimate returns the work that a client was given lately, in units of now.
func (s *Sketch) Estimate(client uint64, now time.Duration) float64 {
	s.advance(now)
	return float64(s.minCount(s.columns(client))) / s.scale
}

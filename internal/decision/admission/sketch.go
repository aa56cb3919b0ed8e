package admission

import (
	"math"
	"time"
)

const (
	sketchRows         = 4
	sketchWidth        = 1024 // counters per row, a power of two
	sketchTimeConstant = 2 * time.Second
	maxSketchScale     = 1e12
	goldenRatio        = 0x9e3779b97f4a7c15
)

// Sketch estimates how much work was recently admitted for each client. It is a count-min sketch (Cormode and Muthukrishnan, 2005) with
// conservative update and decaying counters. Its size does not depend on the number of clients.
//
// An estimate is never too low. For 49 of 50 clients it is too high by no more than about e/sketchWidth of all recently admitted work.
// Each broker hashes clients with its own key, so that nobody can choose a name that shares another client's counters.
type Sketch struct {
	key        [2]uint64
	counts     [sketchRows][sketchWidth]float32
	scale      float64 // what one unit of work adds now; it grows with time, which makes all older counts decay
	advancedAt time.Duration
}

// NewSketch returns an empty sketch that hashes clients with the given key.
func NewSketch(key uint64) *Sketch {
	return &Sketch{key: [2]uint64{key | 1, mix(key + goldenRatio)}, scale: 1}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// columns returns the column of a client's counter in each row.
func (s *Sketch) columns(client uint64) (indexes [sketchRows]int) {
	first := mix(client ^ s.key[0])
	step := mix(client^s.key[1]) | 1
	for i := range indexes {
		indexes[i] = int((first + uint64(i)*step) >> 20 & (sketchWidth - 1))
	}
	return indexes
}

// advance raises the scale for the time passed. Above maxSketchScale it divides all counters by the scale and resets it to 1.
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

// Add counts work admitted for a client.
func (s *Sketch) Add(client uint64, work float64, now time.Duration) {
	s.advance(now)
	indexes := s.columns(client)
	count := s.minCount(indexes) + float32(work*s.scale)
	for i, j := range indexes {
		s.counts[i][j] = max(s.counts[i][j], count)
	}
}

func (s *Sketch) minCount(indexes [sketchRows]int) float32 {
	lowest := s.counts[0][indexes[0]]
	for i, j := range indexes[1:] {
		lowest = min(lowest, s.counts[i+1][j])
	}
	return lowest
}

// Estimate returns the work recently admitted for a client, decayed to the present.
func (s *Sketch) Estimate(client uint64, now time.Duration) float64 {
	s.advance(now)
	return float64(s.minCount(s.columns(client))) / s.scale
}

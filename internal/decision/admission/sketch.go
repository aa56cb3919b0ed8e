package admission

// This file owns what is remembered of clients, whose names have no bound: a count-min sketch (Cormode and Muthukrishnan,
// 2005) with conservative update, whose counters decay. It takes the same room whatever comes.

import (
	"math"
	"time"
)

const (
	rows   = 4
	width  = 1024 // counters a row, a power of two
	memory = 2 * time.Second
)

// Sketch counts how much each name was given lately. A count is never too low; it is too high by no more than about e/width
// of all that was given lately, but for one name in fifty. Names are hashed with a key of this broker's own, so that nobody
// can aim at another's counters.
type Sketch struct {
	key    [2]uint64
	counts [rows][width]float32
	scale  float64 // what a unit given now adds; grows instead of all counters shrinking
	since  time.Duration
}

// NewSketch makes an empty sketch.
func NewSketch(key uint64) *Sketch {
	return &Sketch{key: [2]uint64{key | 1, mix(key + 0x9e3779b97f4a7c15)}, scale: 1}
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// places finds a name's counter in each row.
func (s *Sketch) places(name uint64) (at [rows]int) {
	a, b := mix(name^s.key[0]), mix(name^s.key[1])|1
	for i := range at {
		at[i] = int((a + uint64(i)*b) >> 20 & (width - 1))
	}
	return at
}

// age lets time pass: later units weigh more. Now and then all counters are brought back to size.
func (s *Sketch) age(now time.Duration) {
	s.scale *= math.Exp(float64(now-s.since) / float64(memory))
	s.since = now
	if s.scale < 1e12 {
		return
	}
	for i := range s.counts {
		for j := range s.counts[i] {
			s.counts[i][j] = float32(float64(s.counts[i][j]) / s.scale)
		}
	}
	s.scale = 1
}

// Add adds to a name.
func (s *Sketch) Add(name uint64, amount float64, now time.Duration) {
	s.age(now)
	at := s.places(name)
	least := s.least(at) + float32(amount*s.scale)
	for i, j := range at {
		s.counts[i][j] = max(s.counts[i][j], least)
	}
}

func (s *Sketch) least(at [rows]int) float32 {
	least := s.counts[0][at[0]]
	for i, j := range at[1:] {
		least = min(least, s.counts[i+1][j])
	}
	return least
}

// Estimate is what a name was given lately, in units of now.
func (s *Sketch) Estimate(name uint64, now time.Duration) float64 {
	s.age(now)
	return float64(s.least(s.places(name))) / s.scale
}

package readpin

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

const (
	buckets = 1024
	memory  = time.Second // over which flows are counted
)

// hot counts the parts of each pin at each holder. Danger: one key that all ask for would push its replica over. Pins that
// share a bucket count together: then the limit comes early, never late.
type hot [buckets]struct {
	out  int32
	flow meter
}

// meter is a rate that fades.
type meter struct {
	rate float64
	at   time.Duration
}

func (m *meter) read(now time.Duration) float64 {
	if now > m.at {
		m.rate *= math.Exp(-float64(now-m.at) / float64(memory))
		m.at = now
	}
	return m.rate
}

func (m *meter) add(now time.Duration) { m.rate = m.read(now) + 1/memory.Seconds() }

func bucket(pin uint64, id decision.NodeID) int { return int(score(pin, 0, id) % buckets) }

// full tells whether a pin is at its limit at a holder: so many parts out, or such a share of what the holder is sent.
func (b *Tracker) full(now time.Duration, pin uint64, s *seat) bool {
	h := &b.hot[bucket(pin, s.id)]
	if int(h.out) >= b.c.MaxInFlight {
		return true
	}
	if h.flow.rate <= b.c.SafeRate { // it has only faded since
		return false
	}
	rate := h.flow.read(now)
	return rate > b.c.SafeRate && rate > b.c.MaxShare*s.flow.read(now)
}

// AttemptSent counts a part that goes to a node, pinned or not.
func (b *Tracker) AttemptSent(now time.Duration, pin uint64, id decision.NodeID) {
	if at, known := b.byID[id]; known {
		b.seats[at].flow.add(now)
	}
	if pin != 0 {
		h := &b.hot[bucket(pin, id)]
		h.out++
		h.flow.add(now)
	}
}

// AttemptEnded counts the end of a part that was sent.
func (b *Tracker) AttemptEnded(pin uint64, id decision.NodeID) {
	if pin != 0 {
		b.hot[bucket(pin, id)].out--
	}
}

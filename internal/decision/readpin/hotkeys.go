package readpin

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

const (
	hotKeyBuckets = 1024
	rateWindow    = time.Second // time constant of the decay of rates
)

// hotKeys counts the shard requests of each pin at each replica, so that one popular key does not overload its replica. Pins that share a
// bucket are counted together, so a limit may be reached early but never late.
type hotKeys [hotKeyBuckets]struct {
	inFlight int32
	rate     meter
}

// meter is an exponentially decaying rate, in events a second.
type meter struct {
	rate      float64
	updatedAt time.Duration
}

func (m *meter) read(now time.Duration) float64 {
	if now > m.updatedAt {
		m.rate *= math.Exp(-float64(now-m.updatedAt) / float64(rateWindow))
		m.updatedAt = now
	}
	return m.rate
}

func (m *meter) add(now time.Duration) { m.rate = m.read(now) + 1/rateWindow.Seconds() }

// bucketOf returns the index of the bucket of a pin at a replica.
func bucketOf(pin uint64, id decision.NodeID) int {
	return int(rendezvousWeight(pin, 0, id) % hotKeyBuckets)
}

// isAtLimit reports whether a pin has too many shard requests in flight at a replica, or too large a share of those sent to the replica.
func (t *Tracker) isAtLimit(now time.Duration, pin uint64, n *node) bool {
	bucket := &t.hotKeys[bucketOf(pin, n.id)]
	if int(bucket.inFlight) >= t.config.MaxInFlight {
		return true
	}
	if bucket.rate.rate <= t.config.SafeRate { // the rate has only decayed since its last update
		return false
	}
	rate := bucket.rate.read(now)
	return rate > t.config.SafeRate && rate > t.config.MaxShare*n.rate.read(now)
}

// AttemptSent counts an attempt sent to a node; pin is 0 if the query is not pinned.
func (t *Tracker) AttemptSent(now time.Duration, pin uint64, id decision.NodeID) {
	if index, known := t.byID[id]; known {
		t.nodes[index].rate.add(now)
	}
	if pin != 0 {
		bucket := &t.hotKeys[bucketOf(pin, id)]
		bucket.inFlight++
		bucket.rate.add(now)
	}
}

// AttemptEnded counts the end of an attempt that was sent.
func (t *Tracker) AttemptEnded(pin uint64, id decision.NodeID) {
	if pin != 0 {
		t.hotKeys[bucketOf(pin, id)].inFlight--
	}
}

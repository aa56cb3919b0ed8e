package routing_test

import (
	"encoding/binary"
	"time"

	"flaxfront/internal/decision"
)

// condition is the fault of a store node, if any.
type condition int

const (
	healthy condition = iota
	slow
	silent
	erring
	rejecting
	unreachable
	resetting
	resettingIdle // resets attempts over connections that were idle
	lagging       // answers from data that is too old
	conditionCount
)

// storeNode simulates a node of the store.
type storeNode struct {
	endpoint    decision.Endpoint
	condition   condition
	latency     time.Duration
	serviceTime time.Duration // processing time of one attempt; attempts are processed one after another
	busyUntil   time.Duration
	lastUsed    time.Duration
}

func newStoreNode(g *generator, s *decision.Settings, number int, serviceTime time.Duration) *storeNode {
	return &storeNode{
		endpoint: decision.Endpoint{
			Node:        nodeNumber(number),
			Cell:        number % s.Cells,
			Zone:        number % 3,
			State:       decision.Ready,
			StartedAt:   decision.StartedLongAgo,
			Unconfirmed: g.oneIn(12),
		},
		latency:     10*time.Millisecond + g.duration(90*time.Millisecond),
		serviceTime: serviceTime,
	}
}

func nodeNumber(number int) decision.NodeID {
	var id decision.NodeID
	binary.BigEndian.PutUint32(id.Addr[:], uint32(number)+0x0a000000)
	id.Port = uint16(7000 + number%3)
	return id
}

// openAttempt is an attempt or health check in flight.
type openAttempt struct {
	id      uint64
	number  uint16
	node    decision.NodeID
	sentAt  time.Duration
	endsAt  time.Duration
	outcome decision.Outcome
	allowed *decision.AllowedReplicas
}

// attempt returns when and how an attempt that is sent now ends.
func (n *storeNode) attempt(g *generator, now time.Duration) (endsAt time.Duration, outcome decision.Outcome) {
	idle := now - n.lastUsed
	n.lastUsed = now
	n.busyUntil = max(n.busyUntil, now) + n.serviceTime
	endsAt = n.busyUntil + n.latency/2 + g.duration(n.latency)
	if g.oneIn(100) {
		return endsAt, decision.Outcome(g.below(int(decision.Stale) + 1))
	}
	switch n.condition {
	case slow:
		return endsAt + 6*n.latency, decision.OK
	case silent:
		return now + 5*time.Second, decision.TimedOut
	case erring:
		return endsAt, choose(g, decision.Errored, decision.Errored, decision.OK)
	case rejecting:
		return now + time.Millisecond, choose(g, decision.Rejected, decision.Rejected, decision.OK)
	case unreachable:
		return now + g.duration(200*time.Millisecond), choose(g, decision.ConnectFailed, decision.NeverSent)
	case resetting:
		return endsAt, choose(g, decision.ConnectionReset, decision.OK, decision.OK)
	case resettingIdle:
		if idle > 200*time.Millisecond {
			return now + time.Millisecond, decision.ConnectionReset
		}
	case lagging:
		return endsAt, decision.Stale
	}
	return endsAt, decision.OK
}

// healthCheck returns when and how a health check that is sent now ends.
func (n *storeNode) healthCheck(g *generator, now time.Duration) (endsAt time.Duration, outcome decision.Outcome) {
	if n.condition == silent || n.condition == unreachable || g.oneIn(20) {
		return now + 300*time.Millisecond, decision.TimedOut
	}
	return now + time.Millisecond + g.duration(20*time.Millisecond), decision.OK
}

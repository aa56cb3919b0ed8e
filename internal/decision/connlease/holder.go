package connlease

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// Holder is a broker's side of its connection lease. Callers must call Open before they open a connection, and RecordClosed after they
// close it.
type Holder struct {
	closeDelay         time.Duration // how long a node may take to notice that a connection was closed
	grantNumber        uint64        // of the newest grant
	acknowledgedNumber uint64        // of the newest grant whose acknowledgement was applied
	expiry             time.Duration // of the newest grant's lease
	leased             map[LeaseKey]int
	reserved           map[decision.NodeID]int
	reservedByDefault  int                       // at nodes that reserved does not name
	unlimited          bool                      // no policy is in force
	open               map[LeaseKey]int          // includes closed connections that a node may still count
	closing            map[LeaseKey]int          // of those in open, the closed ones
	closed             []closedConnection        // the connections counted in closing, oldest first
	tenantsAt          map[decision.NodeID][]int // tenants with connections to a node, in ascending order
}

// closedConnection is a connection that this broker closed and that its node may still count.
type closedConnection struct {
	key      LeaseKey
	closedAt time.Duration
}

// NewHolder returns the holder of a broker without a lease. closeDelay is how long a node may take to notice that a connection was
// closed.
func NewHolder(closeDelay time.Duration) *Holder {
	return &Holder{
		closeDelay: closeDelay,
		leased:     map[LeaseKey]int{},
		reserved:   map[decision.NodeID]int{},
		open:       map[LeaseKey]int{},
		closing:    map[LeaseKey]int{},
		tenantsAt:  map[decision.NodeID][]int{},
	}
}

// SetReserved sets how many connections all tenants together may have open to each node without a lease. byDefault applies to nodes
// that byNode does not name.
func (h *Holder) SetReserved(byNode map[decision.NodeID]int, byDefault int) {
	h.reserved = byNode
	h.reservedByDefault = byDefault
	h.unlimited = false
}

// SetUnlimited allows any connection, as no policy is in force, until SetReserved is called. Connections are still counted.
func (h *Holder) SetUnlimited() { h.unlimited = true }

// SetCloseDelay sets how long a node may take to notice that a connection was closed.
func (h *Holder) SetCloseDelay(delay time.Duration) { h.closeDelay = delay }

func (h *Holder) reservedAt(node decision.NodeID) int {
	if n, ok := h.reserved[node]; ok {
		return n
	}
	return h.reservedByDefault
}

// AcceptGrant replaces the current grant and reports whether the given one is newer. The same grant can only extend the lease; an older
// one changes nothing.
func (h *Holder) AcceptGrant(number uint64, rows []ConnectionCount, expiry time.Duration) (newer bool) {
	if number < h.grantNumber || number == h.grantNumber && expiry <= h.expiry {
		return false
	}
	h.expiry = expiry
	if number == h.grantNumber {
		return false
	}
	h.grantNumber = number
	clear(h.leased)
	for _, r := range rows {
		h.leased[r.LeaseKey] = r.Connections
	}
	return true
}

// ResetGrantNumber makes the next grant count as newer, whatever its number. This is safe if that grant is for another incarnation, as
// the state machine accepts one only once the lease of the earlier incarnation has ended.
func (h *Holder) ResetGrantNumber() {
	h.grantNumber = 0
	h.acknowledgedNumber = 0
}

// leasePhase is the phase of a lease, as its holder sees it.
type leasePhase uint8

const (
	leaseUsable      leasePhase = iota // connections may be opened under the lease
	leaseWindingDown                   // no connection is opened above the reserve; those above it are closed as they become idle
	leaseEnding                        // connections above the reserve are closed at once; also once the lease has ended
)

// phase returns the phase of the lease. Every decision on a connection first checks the phase at the current time, since a process that was
// suspended beyond its lease resumes with its connections and its grant. The last two close delays before expiry are for closing.
func (h *Holder) phase(now time.Duration) leasePhase {
	switch {
	case now < h.windDownAt():
		return leaseUsable
	case now < h.endingAt():
		return leaseWindingDown
	default:
		return leaseEnding
	}
}

func (h *Holder) windDownAt() time.Duration { return h.expiry - 2*h.closeDelay }
func (h *Holder) endingAt() time.Duration   { return h.expiry - h.closeDelay }

// NextPhaseChange returns when the lease next changes its phase, or math.MaxInt64 if it does not.
func (h *Holder) NextPhaseChange(now time.Duration) time.Duration {
	switch h.phase(now) {
	case leaseUsable:
		return h.windDownAt()
	case leaseWindingDown:
		return h.endingAt()
	default:
		return math.MaxInt64
	}
}

// PendingAck returns the number of the grant to acknowledge, or 0. A grant is acknowledged once all connections that nodes may count are
// within it, and none remains that only an older grant allowed.
func (h *Holder) PendingAck(now time.Duration) uint64 {
	if h.acknowledgedNumber == h.grantNumber || !h.WithinLease(now) {
		return 0
	}
	return h.grantNumber
}

// RecordAcked records that the acknowledgement of a grant was applied.
func (h *Holder) RecordAcked(number uint64) {
	h.acknowledgedNumber = max(h.acknowledgedNumber, min(number, h.grantNumber))
}

// WithinLease reports whether all connections that nodes may count are within the newest grant and the reserve.
func (h *Holder) WithinLease(now time.Duration) bool {
	h.releaseClosed(now)
	for node := range h.tenantsAt {
		if h.aboveLease(node, leaseUsable) > h.reservedAt(node) {
			return false
		}
	}
	return true
}

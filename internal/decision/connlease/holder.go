package connlease

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// Holder is a broker's side. Whoever opens connections asks Open before each and calls RecordClosed after each.
type Holder struct {
	closeDelay         time.Duration // how long a node may take to notice that a connection was closed
	grantNumber        uint64        // of the newest grant
	acknowledgedNumber uint64
	expiry             time.Duration // of the newest grant's lease
	leased             map[LeaseKey]int
	reserved           map[decision.NodeID]int
	reservedByDefault  int // at nodes that reserved does not name
	unlimited          bool
	open               map[LeaseKey]int // with those that were closed and that a node may still count
	closing            map[LeaseKey]int // of these, those that were closed
	closed             []closedConnection
	tenantsAt          map[decision.NodeID][]int // tenants with connections to a node, in order
}

// closedConnection is a connection that was closed here and that its node may still count.
type closedConnection struct {
	key      LeaseKey
	closedAt time.Duration
}

// NewHolder makes the side of a broker without a lease. CloseDelay is how long a node may take to notice that a connection was
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

// SetReserved sets how many connections may be open to each node without a lease, by all tenants together; elsewhere is for nodes
// that are not named.
func (h *Holder) SetReserved(byNode map[decision.NodeID]int, byDefault int) {
	h.reserved = byNode
	h.reservedByDefault = byDefault
	h.unlimited = false
}

// SetUnlimited allows any connection, and counts on: no policy is in force. SetReserved ends it.
func (h *Holder) SetUnlimited() { h.unlimited = true }

// SetCloseDelay sets how long a node may take to notice that a connection was closed.
func (h *Holder) SetCloseDelay(delay time.Duration) { h.closeDelay = delay }

func (h *Holder) reservedAt(node decision.NodeID) int {
	if n, ok := h.reserved[node]; ok {
		return n
	}
	return h.reservedByDefault
}

// AcceptGrant holds a grant in place of the one before, and tells whether it is a newer one. The same grant again may only extend
// the lease; an older one changes nothing.
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

// ResetGrantNumber has the next grant count as newer, whatever its number. It is safe where that grant is of another incarnation:
// the state machine accepts one only once all that the earlier incarnation held has ended.
func (h *Holder) ResetGrantNumber() {
	h.grantNumber = 0
	h.acknowledgedNumber = 0
}

// leasePhase is how far a lease is, for its holder.
type leasePhase uint8

const (
	leaseUsable      leasePhase = iota // connections may be opened under it
	leaseWindingDown                   // nothing new is opened; what is above the reserve is closed as it becomes idle
	leaseEnding                        // what is above the reserve is closed at once; or the lease has ended
)

// phase is how far the lease is. It comes before every way to a connection, with the present time, since a process that was stopped
// over its lease wakes up with its connections and its grant. The last two close delays before the end are for closing.
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

// NextPhaseChange is when the lease next changes its phase; never is the greatest duration.
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

// PendingAck is the number of the grant to acknowledge: it is held, and at the nodes there is nothing of older ones. 0: none.
func (h *Holder) PendingAck(now time.Duration) uint64 {
	if h.acknowledgedNumber == h.grantNumber || !h.WithinLease(now) {
		return 0
	}
	return h.grantNumber
}

// RecordAcked says that an acknowledgement was applied.
func (h *Holder) RecordAcked(number uint64) {
	h.acknowledgedNumber = max(h.acknowledgedNumber, min(number, h.grantNumber))
}

// WithinLease tells whether all that nodes may count is within the newest grant and the reserve.
func (h *Holder) WithinLease(now time.Duration) bool {
	h.releaseClosed(now)
	for node := range h.tenantsAt {
		if h.aboveLease(node, leaseUsable) > h.reservedAt(node) {
			return false
		}
	}
	return true
}

// Package connlease is who may hold which connections when. It owns both sides of a grant: a broker's, which counts its own
// connections and closes what it must before a lease ends, and the granter's, which gives a unit to another only when it is
// surely free. It must never divide (divide does), talk, or look at a clock: times come in.
//
// Depends on decision, decision/fairshare, decision/statemachine. Concurrency: nothing here locks or starts a
// goroutine; a value is used by one goroutine at a time.
package connlease

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// drift bounds how far a clock strays: one part in so many. Danger: two clocks that run at different speeds measure different
// leases, so each side takes that much off or adds it. A clock that strays further breaks the budget's bound.
const drift = 100

// HolderExpiry is when a lease ends for its holder: counted from before it asked, by a clock that may be slow.
func HolderExpiry(asked, lease time.Duration) time.Duration { return asked + lease - lease/drift }

// GranterExpiry is when a lease has surely ended, seen by its granter: counted from after it was given, by a clock that may be fast.
func GranterExpiry(given, lease time.Duration) time.Duration { return given + lease + lease/drift }

// LeaseKey is what units are of.
type LeaseKey struct {
	Node   decision.NodeID
	Tenant int
}

// CompareKeys orders keys.
func CompareKeys(a, b LeaseKey) int {
	return cmp.Or(slices.Compare(a.Node.Addr[:], b.Node.Addr[:]), cmp.Compare(a.Node.Port, b.Node.Port), cmp.Compare(a.Tenant, b.Tenant))
}

// ConnectionCount is a number of units.
type ConnectionCount struct {
	LeaseKey
	Connections int
}

// Holder is a broker's side. Whoever opens connections asks Open before each and tells Closed after each.
type Holder struct {
	closing time.Duration
	number  uint64 // the newest grant
	acked   uint64
	until   time.Duration // its lease ends here
	rows    map[LeaseKey]int
	floors  map[decision.NodeID]int
	other   int                       // of nodes that are not among them
	free    bool                      // nothing is divided
	open    map[LeaseKey]int          // those included that were closed and that a node may still count
	going   map[LeaseKey]int          // of these
	left    []gone                    // the same, in their order
	atNode  map[decision.NodeID][]int // tenants with connections there
}

// gone is a connection that was closed here.
type gone struct {
	key LeaseKey
	at  time.Duration
}

// NewHolder makes the side of a broker that holds nothing but floors. Closing is how long a node may take to notice that a
// connection was closed.
func NewHolder(closing time.Duration) *Holder {
	return &Holder{closing: closing, rows: map[LeaseKey]int{}, floors: map[decision.NodeID]int{}, open: map[LeaseKey]int{},
		going: map[LeaseKey]int{}, atNode: map[decision.NodeID][]int{}}
}

// SetReserved sets what may be opened to each node without asking, by all tenants together; other is for nodes that are not named.
func (h *Holder) SetReserved(of map[decision.NodeID]int, other int) {
	h.floors, h.other, h.free = of, other, false
}

// SetUnlimited has anything be opened, and counts on: no policy is in force.
func (h *Holder) SetUnlimited() { h.free = true }

// SetCloseDelay sets anew how long a node may take to notice that a connection was closed.
func (h *Holder) SetCloseDelay(within time.Duration) { h.closing = within }

// OpenConnections tells how many connections a tenant has to a node, those included that the node may still count.
func (h *Holder) OpenConnections(k LeaseKey) int { return h.open[k] }

func (h *Holder) floor(node decision.NodeID) int {
	if n, ok := h.floors[node]; ok {
		return n
	}
	return h.other
}

// AcceptGrant holds a grant in place of what was held, and tells whether it is a newer one. An older one changes nothing.
func (h *Holder) AcceptGrant(number uint64, rows []ConnectionCount, until time.Duration) (newer bool) {
	if number < h.number || number == h.number && until <= h.until {
		return false
	}
	if h.until = until; number == h.number {
		return false
	}
	h.number = number
	clear(h.rows)
	for _, r := range rows {
		h.rows[r.LeaseKey] = r.Connections
	}
	return true
}

// LeaseUsable tells whether what was granted may be used. Danger: a process that was stopped over its lease wakes up with its
// connections and its grant; every way to a connection asks this first, with the time as it is now. It hurts in the last moments
// of a lease: twice the closing time before its end nothing is opened above the floors, and once before it all is closed.
func (h *Holder) LeaseUsable(now time.Duration) bool { return now < h.until-2*h.closing }

// above counts what a node may count beyond the units of each tenant.
func (h *Holder) above(node decision.NodeID, usable bool) (n int) {
	for _, tenant := range h.atNode[node] {
		n += max(0, h.open[LeaseKey{node, tenant}]-h.units(LeaseKey{node, tenant}, usable))
	}
	return n
}

func (h *Holder) units(k LeaseKey, usable bool) int {
	if usable {
		return h.rows[k]
	}
	return 0
}

// MayOpen tells whether a connection may be opened now.
func (h *Holder) MayOpen(k LeaseKey, now time.Duration) bool {
	h.settle(now)
	usable := h.LeaseUsable(now)
	if h.open[k] < h.units(k, usable) {
		return true
	}
	return h.free || h.above(k.Node, usable) < h.floor(k.Node)
}

// Open asks for a connection, and counts it where it may be opened. Own tells that it is of the tenant's units, not of the floor.
func (h *Holder) Open(k LeaseKey, now time.Duration) (own, ok bool) {
	if !h.MayOpen(k, now) {
		return false, false
	}
	own = h.open[k] < h.units(k, h.LeaseUsable(now))
	if h.open[k]++; h.open[k] == 1 {
		h.atNode[k.Node] = append(h.atNode[k.Node], k.Tenant)
		slices.Sort(h.atNode[k.Node])
	}
	return own, true
}

// RecordClosed counts a connection out: at once where its node ended it, else after the time in which the node surely notices. Danger:
// the next is opened, here or by another broker, and reaches the node before the end of this one does.
func (h *Holder) RecordClosed(k LeaseKey, byNode bool, now time.Duration) {
	if h.open[k] <= h.going[k] {
		return
	}
	if byNode {
		h.forget(k)
		return
	}
	h.going[k]++
	h.left = append(h.left, gone{k, now})
}

// settle forgets what nodes have surely noticed.
func (h *Holder) settle(now time.Duration) {
	for len(h.left) > 0 && h.left[0].at+h.closing <= now {
		k := h.left[0].key
		if h.left = h.left[1:]; h.going[k] == 1 {
			delete(h.going, k)
		} else {
			h.going[k]--
		}
		h.forget(k)
	}
}

func (h *Holder) forget(k LeaseKey) {
	if h.open[k]--; h.open[k] > 0 {
		return
	}
	delete(h.open, k)
	at := slices.DeleteFunc(h.atNode[k.Node], func(t int) bool { return t == k.Tenant })
	if h.atNode[k.Node] = at; len(at) == 0 {
		delete(h.atNode, k.Node)
	}
}

// PendingAck is the number to acknowledge: the grant is held and nothing of older ones, at the nodes too. 0: there is nothing to say.
func (h *Holder) PendingAck(now time.Duration) uint64 {
	if h.acked == h.number || !h.WithinLease(now, true) {
		return 0
	}
	return h.number
}

// WithinLease tells whether all that nodes may count is within what is held, or within the floors alone.
func (h *Holder) WithinLease(now time.Duration, granted bool) bool {
	h.settle(now)
	for node := range h.atNode {
		if h.above(node, granted) > h.floor(node) {
			return false
		}
	}
	return true
}

// AcceptAnyNumber has the next grant count as newer, whatever its number. It is safe where that grant is of another incarnation: the ledger
// gives one only once all that the earlier held has ended.
func (h *Holder) AcceptAnyNumber() { h.number, h.acked = 0, 0 }

// RecordAcked says that an acknowledgment was applied.
func (h *Holder) RecordAcked(number uint64) { h.acked = max(h.acked, min(number, h.number)) }

// NextTimer is when something comes due by itself: the last uses of a lease, and its end.
func (h *Holder) NextTimer(now time.Duration) time.Duration {
	for _, at := range []time.Duration{h.until - 2*h.closing, h.until - h.closing} {
		if at > now {
			return at
		}
	}
	return 1<<63 - 1
}

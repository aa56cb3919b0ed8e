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

// Ends is when a lease ends for its holder: counted from before it asked, by a clock that may be slow.
func Ends(asked, lease time.Duration) time.Duration { return asked + lease - lease/drift }

// Over is when a lease has surely ended, seen by its granter: counted from after it was given, by a clock that may be fast.
func Over(given, lease time.Duration) time.Duration { return given + lease + lease/drift }

// Key is what units are of.
type Key struct {
	Node   decision.NodeID
	Tenant int
}

// Compare orders keys.
func Compare(a, b Key) int {
	return cmp.Or(slices.Compare(a.Node.Addr[:], b.Node.Addr[:]), cmp.Compare(a.Node.Port, b.Node.Port), cmp.Compare(a.Tenant, b.Tenant))
}

// Row is a number of units.
type Row struct {
	Key
	Units int
}

// Holder is a broker's side. Whoever opens connections asks Open before each and tells Closed after each.
type Holder struct {
	closing time.Duration
	number  uint64 // the newest grant
	acked   uint64
	until   time.Duration // its lease ends here
	rows    map[Key]int
	floors  map[decision.NodeID]int
	other   int                       // of nodes that are not among them
	free    bool                      // nothing is divided
	open    map[Key]int               // those included that were closed and that a node may still count
	going   map[Key]int               // of these
	left    []gone                    // the same, in their order
	atNode  map[decision.NodeID][]int // tenants with connections there
}

// gone is a connection that was closed here.
type gone struct {
	key Key
	at  time.Duration
}

// NewHolder makes the side of a broker that holds nothing but floors. Closing is how long a node may take to notice that a
// connection was closed.
func NewHolder(closing time.Duration) *Holder {
	return &Holder{closing: closing, rows: map[Key]int{}, floors: map[decision.NodeID]int{}, open: map[Key]int{},
		going: map[Key]int{}, atNode: map[decision.NodeID][]int{}}
}

// Floors sets what may be opened to each node without asking, by all tenants together; other is for nodes that are not named.
func (h *Holder) Floors(of map[decision.NodeID]int, other int) {
	h.floors, h.other, h.free = of, other, false
}

// Free has anything be opened, and counts on: no policy is in force.
func (h *Holder) Free() { h.free = true }

// Closing sets anew how long a node may take to notice that a connection was closed.
func (h *Holder) Closing(within time.Duration) { h.closing = within }

// Has tells how many connections a tenant has to a node, those included that the node may still count.
func (h *Holder) Has(k Key) int { return h.open[k] }

func (h *Holder) floor(node decision.NodeID) int {
	if n, ok := h.floors[node]; ok {
		return n
	}
	return h.other
}

// Take holds a grant in place of what was held, and tells whether it is a newer one. An older one changes nothing.
func (h *Holder) Take(number uint64, rows []Row, until time.Duration) (newer bool) {
	if number < h.number || number == h.number && until <= h.until {
		return false
	}
	if h.until = until; number == h.number {
		return false
	}
	h.number = number
	clear(h.rows)
	for _, r := range rows {
		h.rows[r.Key] = r.Units
	}
	return true
}

// Usable tells whether what was granted may be used. Danger: a process that was stopped over its lease wakes up with its
// connections and its grant; every way to a connection asks this first, with the time as it is now. It hurts in the last moments
// of a lease: twice the closing time before its end nothing is opened above the floors, and once before it all is closed.
func (h *Holder) Usable(now time.Duration) bool { return now < h.until-2*h.closing }

// above counts what a node may count beyond the units of each tenant.
func (h *Holder) above(node decision.NodeID, usable bool) (n int) {
	for _, tenant := range h.atNode[node] {
		n += max(0, h.open[Key{node, tenant}]-h.units(Key{node, tenant}, usable))
	}
	return n
}

func (h *Holder) units(k Key, usable bool) int {
	if usable {
		return h.rows[k]
	}
	return 0
}

// May tells whether a connection may be opened now.
func (h *Holder) May(k Key, now time.Duration) bool {
	h.settle(now)
	usable := h.Usable(now)
	if h.open[k] < h.units(k, usable) {
		return true
	}
	return h.free || h.above(k.Node, usable) < h.floor(k.Node)
}

// Open asks for a connection, and counts it where it may be opened. Own tells that it is of the tenant's units, not of the floor.
func (h *Holder) Open(k Key, now time.Duration) (own, ok bool) {
	if !h.May(k, now) {
		return false, false
	}
	own = h.open[k] < h.units(k, h.Usable(now))
	if h.open[k]++; h.open[k] == 1 {
		h.atNode[k.Node] = append(h.atNode[k.Node], k.Tenant)
		slices.Sort(h.atNode[k.Node])
	}
	return own, true
}

// Closed counts a connection out: at once where its node ended it, else after the time in which the node surely notices. Danger:
// the next is opened, here or by another broker, and reaches the node before the end of this one does.
func (h *Holder) Closed(k Key, byNode bool, now time.Duration) {
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

func (h *Holder) forget(k Key) {
	if h.open[k]--; h.open[k] > 0 {
		return
	}
	delete(h.open, k)
	at := slices.DeleteFunc(h.atNode[k.Node], func(t int) bool { return t == k.Tenant })
	if h.atNode[k.Node] = at; len(at) == 0 {
		delete(h.atNode, k.Node)
	}
}

// Ack is the number to acknowledge: the grant is held and nothing of older ones, at the nodes too. 0: there is nothing to say.
func (h *Holder) Ack(now time.Duration) uint64 {
	if h.acked == h.number || !h.Settled(now, true) {
		return 0
	}
	return h.number
}

// Settled tells whether all that nodes may count is within what is held, or within the floors alone.
func (h *Holder) Settled(now time.Duration, granted bool) bool {
	h.settle(now)
	for node := range h.atNode {
		if h.above(node, granted) > h.floor(node) {
			return false
		}
	}
	return true
}

// Anew has the next grant count as newer, whatever its number. It is safe where that grant is of another incarnation: the ledger
// gives one only once all that the earlier held has ended.
func (h *Holder) Anew() { h.number, h.acked = 0, 0 }

// Acked says that an acknowledgment was applied.
func (h *Holder) Acked(number uint64) { h.acked = max(h.acked, min(number, h.number)) }

// Wake is when something comes due by itself: the last uses of a lease, and its end.
func (h *Holder) Wake(now time.Duration) time.Duration {
	for _, at := range []time.Duration{h.until - 2*h.closing, h.until - h.closing} {
		if at > now {
			return at
		}
	}
	return 1<<63 - 1
}

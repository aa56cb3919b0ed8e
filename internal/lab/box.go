// Package lab is the project's own laboratory: stand-ins for store nodes, discovery and clients, on loopback sockets or in
// virtual time, and the experiments that need them. Everything in it is simulated and is called so. It owns what a server
// would do and checks the six rules from what reached it, never from a broker's own books. Nothing that serves imports it.
//
// Depends on decision/admission, decision, decision/routing, decision/cachedlist, decision/polling, discovery, lab/script.
// Concurrency: goroutines of its own, which the caller's context ends; what they share with callers is
// behind a lock or an atomic value.
package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Mode is what a box does with parts.
type Mode uint8

const (
	Serving     Mode = iota
	Draining         // turns new parts away
	Hanging          // takes parts and says nothing
	Dead             // its machine refuses connections
	Unreachable      // connections never come up
)

// WarmUpParams is how a box that has just started warms up, and what pushes it over (rule 4).
type WarmUpParams struct {
	InitialCapacity  float64 // share of its capacity at the start
	RampTime         time.Duration
	OverloadMultiple float64 // offered more than so many times its capacity
	For              time.Duration
}

// NodeModel is a simulated store node without a network: cores, a queue, warm-up. Times are spans since the world began.
type NodeModel struct {
	Name      string
	Cell      int
	Mode      Mode
	MeanWork  time.Duration // service time at full capacity, exponential round a floor of half
	Queue     time.Duration // longer waits are turned away
	WarmUp    WarmUpParams
	LastStart time.Duration // its last start; may lie before the world's

	rnd           *rand.Rand
	cores         []time.Duration // when each is free
	recent        []offeredWork   // within the last Warm.For
	work          time.Duration   // their sum
	Crashed       bool
	ShardRequests int // that reached it
}

type offeredWork struct{ at, work time.Duration }

// NewNodeModel makes a box with a source of chance of its own.
func NewNodeModel(name string, cell, cores int, mean time.Duration, warm WarmUpParams, seed uint64) *NodeModel {
	return &NodeModel{Name: name, Cell: cell, MeanWork: mean, Queue: time.Second, WarmUp: warm, LastStart: math.MinInt64 / 2,
		cores: make([]time.Duration, cores), rnd: rand.New(rand.NewPCG(seed, uint64(cell)<<32+uint64(len(name))))}
}

// capacity is the share of its full speed that a box has.
func (b *NodeModel) capacity(now time.Duration) float64 {
	if age := now - b.LastStart; age < b.WarmUp.RampTime {
		return b.WarmUp.InitialCapacity + (1-b.WarmUp.InitialCapacity)*float64(max(0, age))/float64(b.WarmUp.RampTime)
	}
	return 1
}

// Offer gives a box a part; it tells when the answer leaves, or that it turns it away. All that is offered presses on a
// cold box, also what it turns away.
func (b *NodeModel) Offer(now time.Duration) (done time.Duration, taken bool) {
	b.ShardRequests++
	work := time.Duration((0.5 + 0.5*b.rnd.ExpFloat64()) * float64(b.MeanWork))
	share := b.capacity(now)
	if share < 1 {
		b.checkOverload(now, work, share)
	}
	if b.Crashed || b.Mode != Serving {
		return 0, false
	}
	at := slices.Index(b.cores, slices.Min(b.cores))
	begin := max(now, b.cores[at])
	if begin-now > b.Queue {
		return 0, false
	}
	b.cores[at] = begin + time.Duration(float64(work)/share)
	return b.cores[at], true
}

// checkOverload counts what was offered lately against the budget of rule 4.
func (b *NodeModel) checkOverload(now, work time.Duration, share float64) {
	b.recent, b.work = append(b.recent, offeredWork{now, work}), b.work+work
	for b.recent[0].at < now-b.WarmUp.For {
		b.work -= b.recent[0].work
		b.recent = b.recent[1:]
	}
	if most := b.WarmUp.OverloadMultiple * share * float64(len(b.cores)) * float64(b.WarmUp.For); float64(b.work) > most {
		b.Crashed = true
	}
}

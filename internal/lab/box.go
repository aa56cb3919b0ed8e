// Package lab simulates store nodes, discovery and clients, on loopback sockets or in virtual time, and holds the experiments
// that need them. Everything in it is simulated and is labelled so. It checks the brokers' rules, which the tests of
// decision/routing list by number (at checkSend), from what reached the simulated nodes and clients, never from a broker's own
// counters. No serving package imports it.
//
// Depends on decision/admission, decision, decision/routing, decision/cachedlist, decision/polling, discovery, lab/script.
// Concurrency: it starts goroutines that end with the caller's context; what they share with callers is behind a lock or an
// atomic value.
package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Mode is how a simulated node treats shard requests.
type Mode uint8

const (
	Serving     Mode = iota
	Draining         // rejects new shard requests
	Hanging          // accepts shard requests and never answers
	Dead             // refuses connections
	Unreachable      // connection attempts time out
)

// WarmUpParams describes how a node that has just started warms up, and which load makes it crash while it is cold (rule 4).
type WarmUpParams struct {
	InitialCapacity  float64 // share of full capacity at the start
	RampTime         time.Duration
	OverloadMultiple float64 // a cold node crashes if it is offered more than this multiple of its capacity over For
	For              time.Duration
}

// NodeModel simulates a store node without a network: cores, a queue and warm-up. Times count from the start of the simulation.
type NodeModel struct {
	Name      string
	Cell      int
	Mode      Mode
	MeanWork  time.Duration // mean service time at full capacity: half of it fixed, half exponential
	Queue     time.Duration // requests that would wait longer are rejected
	WarmUp    WarmUpParams
	LastStart time.Duration // time of the last start; may lie before the simulation's

	rnd           *rand.Rand
	cores         []time.Duration // when each core is free
	recent        []offeredWork   // work offered within the last WarmUp.For
	work          time.Duration   // sum of the work in recent
	Crashed       bool
	ShardRequests int // shard requests that reached the node
}

type offeredWork struct{ at, work time.Duration }

// NewNodeModel returns a model with a random source of its own, seeded with seed and cell.
func NewNodeModel(name string, cell, cores int, mean time.Duration, warm WarmUpParams, seed uint64) *NodeModel {
	return &NodeModel{Name: name, Cell: cell, MeanWork: mean, Queue: time.Second, WarmUp: warm, LastStart: math.MinInt64 / 2,
		cores: make([]time.Duration, cores), rnd: rand.New(rand.NewPCG(seed, uint64(cell)<<32+uint64(len(name))))}
}

// capacity returns the share of full speed that the node has at a time.
func (b *NodeModel) capacity(now time.Duration) float64 {
	if age := now - b.LastStart; age < b.WarmUp.RampTime {
		return b.WarmUp.InitialCapacity + (1-b.WarmUp.InitialCapacity)*float64(max(0, age))/float64(b.WarmUp.RampTime)
	}
	return 1
}

// Offer gives the node a shard request and returns when its answer leaves, or false if the node rejects it. All offered work
// counts towards the overload of a cold node, rejected work too.
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

// checkOverload adds offered work to the window and marks the node as crashed if the window exceeds the limit of rule 4.
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

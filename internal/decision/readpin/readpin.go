// Package readpin decides which holders of a shard may answer a part whose search is pinned, bounds the age of what it reads or has
// seen a position, and whether an answer then keeps that promise. It owns what a broker knows of replicas' positions, by its own
// answers and by other brokers' word, and the order of holders that all brokers compute alike. It must never be optimistic:
// each error of a clock, each moment that can't be told apart, counts against freshness. It does no I/O, reads no clock and starts
// no goroutine; which of the eligible holders is sent to is the decision module's to say.
//
// Depends on decision. Concurrency: nothing here locks or starts a goroutine; a value is used by one
// goroutine at a time.
package readpin

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Config is what a book is kept by.
type Config struct {
	Shards, Cells, CellsPerShard int           // a shard's holders lie in Width cells, from its number on
	ClockError                   time.Duration // the most that a replica's measure of its head's age may be too low, beside drift
	MaxDrift                     float64       // the most by which the rates of two clocks differ
	RecheckInterval              time.Duration // a holder known to be behind is looked at again after this, or somewhat more
	MaxInFlight                  int           // parts of one pin that may be out at one holder from this broker
	MaxShare                     float64       // the most of a holder's parts from this broker that one pin may be
	SafeRate                     float64       // parts a second of one pin that are never too many
	MaxMessageBytes              int           // of a Collect
}

// DefaultConfig are the settings for a layout.
func DefaultConfig(shards, cells, width int) Config {
	return Config{Shards: shards, Cells: cells, CellsPerShard: width, ClockError: 5 * time.Millisecond, MaxDrift: 1e-3, RecheckInterval: 50 * time.Millisecond,
		MaxInFlight: 16, MaxShare: 0.5, SafeRate: 50, MaxMessageBytes: 8 << 10}
}

const (
	keep   = 30 * time.Second         // what a holder had is remembered so long after it went
	stale  = 10 * time.Second         // what was learned so long ago is not passed on
	long   = time.Duration(1) << 50   // some days
	never  = -time.Duration(1) << 62  // no moment is so long ago
	always = time.Duration(1)<<62 - 1 // nor so far ahead
)

// Tracker is what one broker knows. One goroutine calls it.
type Tracker struct {
	Counts Counts
	c      Config
	number uint64 // of the epoch; 0: none was agreed, and the broker's own list stands in for it
	epoch  map[decision.NodeID]bool
	seats  []seat
	vacant []int32
	byID   map[decision.NodeID]int32
	cells  [][]int32
	ranked []ranked
	hot    hot
	cursor int // where the next Collect begins
}

// Counts tell what became of searches with a hint.
type Counts struct {
	Chosen, Refused, OrStale uint64 // parts: with an eligible holder, with none, with none but content with less
	Spilled                  uint64 // of those chosen: beyond the first, as the pin was at its limit there
	Fresh, Old               uint64 // answers: that kept the promise, that did not
	Regressed                uint64 // holders found at an older position than before
	Facts, Bad               uint64 // taken from other brokers; messages that made no sense
}

// seat is a node.
type seat struct {
	id      decision.NodeID
	cell    int
	used    bool
	ready   bool
	inEpoch bool
	left    time.Duration // since when it is not listed; never: it is
	facts   []fact        // by shard, see at
	flow    meter
}

// NewTracker makes an empty book.
func NewTracker(c Config) *Tracker {
	return &Tracker{c: c, byID: map[decision.NodeID]int32{}, cells: make([][]int32, c.Cells)}
}

// UpdateEndpoints takes over a list of nodes, or the lines that changed.
func (b *Tracker) UpdateEndpoints(now time.Duration, whole bool, entries []decision.Endpoint) {
	if whole {
		for i := range b.seats {
			b.seats[i].leave(now) // those that it names come back below
		}
	}
	for i := range entries {
		e := &entries[i]
		at, known := b.byID[e.Node]
		if e.State == decision.Removed {
			if known {
				b.seats[at].leave(now)
			}
			continue
		}
		if known && b.seats[at].cell != e.Cell%b.c.Cells {
			b.free(at)
			known = false
		}
		if !known {
			at = b.sit(e.Node, e.Cell%b.c.Cells)
		}
		b.seats[at].ready, b.seats[at].left = e.State == decision.Ready, never
	}
	for i := range b.seats {
		if s := &b.seats[i]; s.used && s.left != never && now-s.left > keep {
			b.free(int32(i))
		}
	}
}

func (s *seat) leave(now time.Duration) {
	if s.ready = false; s.left == never {
		s.left = now
	}
}

func (b *Tracker) sit(id decision.NodeID, cell int) (at int32) {
	if n := len(b.vacant); n > 0 {
		at, b.vacant = b.vacant[n-1], b.vacant[:n-1]
	} else {
		at = int32(len(b.seats))
		b.seats = append(b.seats, seat{})
	}
	rows := (b.c.Shards + b.c.Cells - 1) / b.c.Cells
	b.seats[at] = seat{id: id, cell: cell, used: true, inEpoch: b.number == 0 || b.epoch[id], left: never,
		facts: make([]fact, rows*b.c.CellsPerShard)}
	b.byID[id] = at
	b.cells[cell] = append(b.cells[cell], at)
	return at
}

func (b *Tracker) free(at int32) {
	s := &b.seats[at]
	b.cells[s.cell] = slices.DeleteFunc(b.cells[s.cell], func(i int32) bool { return i == at })
	delete(b.byID, s.id)
	*s = seat{left: never}
	b.vacant = append(b.vacant, at)
}

// SetEpoch takes over an agreed list: its nodes come first in every pin's order. An older one than that in force is left aside.
func (b *Tracker) SetEpoch(number uint64, nodes []decision.NodeID) {
	if number <= b.number {
		return
	}
	b.number, b.epoch = number, make(map[decision.NodeID]bool, len(nodes))
	for _, id := range nodes {
		b.epoch[id] = true
	}
	for i := range b.seats {
		b.seats[i].inEpoch = b.epoch[b.seats[i].id]
	}
}

// EpochNumber is that of the epoch in force.
func (b *Tracker) EpochNumber() uint64 { return b.number }

// Reconfigure has the book go on under other settings; with another layout all that was learned is forgotten.
func (b *Tracker) Reconfigure(c Config) {
	if c.Shards != b.c.Shards || c.Cells != b.c.Cells || c.CellsPerShard != b.c.CellsPerShard {
		number, epoch, counts := b.number, b.epoch, b.Counts
		*b = *NewTracker(c)
		b.number, b.epoch, b.Counts = number, epoch, counts
	}
	b.c = c
}

// fact is what is known of a shard at a seat; nil: the node does not hold it.
func (b *Tracker) fact(s *seat, shard int) *fact {
	if shard < 0 || shard >= b.c.Shards {
		return nil
	}
	j := (s.cell - shard%b.c.Cells + b.c.Cells) % b.c.Cells
	if j >= b.c.CellsPerShard {
		return nil
	}
	return &s.facts[shard/b.c.Cells*b.c.CellsPerShard+j]
}

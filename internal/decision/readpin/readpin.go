// Package readpin decides which replicas of a shard may answer a shard request whose query is pinned, bounds the age of what it reads,
// or has seen a position of the shard's log; and whether an answer then keeps that promise.
//
//	Observe, MergePositions --> position of each shard at each replica --> EligibleReplicas --> Promise
//	                                                                  answer's Report --> Assess --> Assessment
//
// A Tracker holds what a broker knows of replicas' positions, from its own answers and from other brokers, and orders the replicas of
// a pin as every other broker does. Errors of clocks, and moments that can't be told apart, always count against freshness. Which of
// the eligible replicas is sent to is decided by the router.
//
// Times are spans since the broker's start. A Tracker is used by one goroutine.
package readpin

import (
	"time"

	"flaxfront/internal/decision"
)

// Config holds the layout of the store and the limits of a Tracker.
type Config struct {
	Shards          int
	Cells           int
	CellsPerShard   int           // shard s is on cells s, s+1, ... modulo Cells
	ClockError      time.Duration // by which a replica's measure of its age may be too low, beside drift
	MaxDrift        float64       // by which the rates of two clocks differ, as a share
	RecheckInterval time.Duration // a replica known to be behind is tried again after it
	MaxInFlight     int           // shard requests of one pin at one replica, from this broker
	MaxShare        float64       // of a replica's shard requests from this broker that one pin may have
	SafeRate        float64       // shard requests a second of one pin that are never too many
	MaxMessageBytes int           // of EncodePositions
}

// DefaultConfig returns the limits for a layout.
func DefaultConfig(shards, cells, cellsPerShard int) Config {
	return Config{
		Shards:          shards,
		Cells:           cells,
		CellsPerShard:   cellsPerShard,
		ClockError:      5 * time.Millisecond,
		MaxDrift:        1e-3,
		RecheckInterval: 50 * time.Millisecond,
		MaxInFlight:     16,
		MaxShare:        0.5,
		SafeRate:        50,
		MaxMessageBytes: 8 << 10,
	}
}

const (
	removedNodeRetention = 30 * time.Second // a removed node's positions
	maxSharedAge         = 10 * time.Second // positions, to other brokers

	distantFuture = time.Duration(1)<<62 - 1
)

// DistantPast is before any moment. As a Promise's AsOf it means that any age will do, as an Assessment's that nothing is sure.
const DistantPast = -time.Duration(1) << 62

// Tracker is what one broker knows of replicas' positions.
type Tracker struct {
	Counts    Counts
	config    Config
	epoch     uint64 // the number of the agreed list in force; 0: none, and the broker's own list stands in for it
	inEpoch   map[decision.NodeID]bool
	nodes     []node
	freeNodes []int32
	byID      map[decision.NodeID]int32
	cells     [][]int32   // nodes by cell
	order     []candidate // reused by each rank
	hotKeys   hotKeys
	cursor    int // the node at which the next EncodePositions begins
}

// Counts are what operators see. The JSON names are those under /counters.
type Counts struct {
	Chosen        uint64 // shard requests with an eligible replica
	Refused       uint64 // with none
	AcceptedStale uint64 `json:"OrStale"` // with none, of queries that take a stale answer
	Spilled       uint64 // of those chosen: not at the first replica, as the pin was at its limit there
	Fresh         uint64 // answers that kept the promise
	Stale         uint64 `json:"Old"` // answers that did not
	Regressed     uint64 // replicas found at an older position than before
	Merged        uint64 `json:"Facts"` // positions taken from other brokers
	Malformed     uint64 `json:"Bad"`   // messages of other brokers that could not be read
}

// Add adds another broker's counts.
func (c *Counts) Add(other *Counts) {
	c.Chosen += other.Chosen
	c.Refused += other.Refused
	c.AcceptedStale += other.AcceptedStale
	c.Spilled += other.Spilled
	c.Fresh += other.Fresh
	c.Stale += other.Stale
	c.Regressed += other.Regressed
	c.Merged += other.Merged
	c.Malformed += other.Malformed
}

// NewTracker returns a tracker that knows no node.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		config: config,
		byID:   map[decision.NodeID]int32{},
		cells:  make([][]int32, config.Cells),
	}
}

// Reconfigure changes the settings. With another layout all positions are forgotten.
func (t *Tracker) Reconfigure(config Config) {
	old := &t.config
	sameLayout := config.Shards == old.Shards && config.Cells == old.Cells && config.CellsPerShard == old.CellsPerShard
	if sameLayout {
		t.config = config
		return
	}
	fresh := NewTracker(config)
	fresh.Counts = t.Counts
	fresh.epoch = t.epoch
	fresh.inEpoch = t.inEpoch
	*t = *fresh
}

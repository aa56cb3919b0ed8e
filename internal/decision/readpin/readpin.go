// Package readpin decides which replicas of a shard may answer a shard request if its query has a read pin, bounds the staleness of its
// reads, or names a position of the shard's log that the client has already seen. The package then checks whether an answer keeps the
// resulting promise.
//
//	Observe, MergePositions --> position of each shard at each replica --> EligibleReplicas --> Promise
//	                                                                  answer's Report --> Assess --> Assessment
//
// A Tracker holds what a broker knows of the replicas' positions, from answers that it received and from other brokers. All brokers order
// the replicas of a pin alike. Clock errors and events whose order is unknown always count against freshness. The router decides which of
// the eligible replicas a shard request is sent to.
//
// Times are durations since the broker's start. A Tracker is used by one goroutine.
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
	ClockError      time.Duration // by how much the age that a replica measures may be too low, in addition to drift
	MaxDrift        float64       // greatest relative difference between the rates of two clocks
	RecheckInterval time.Duration // after which a replica known to be behind is tried again
	MaxInFlight     int           // greatest number of this broker's shard requests in flight of one pin at one replica
	MaxShare        float64       // greatest share of one pin among this broker's shard requests to a replica
	SafeRate        float64       // shard requests per second of one pin at a replica up to which MaxShare does not apply
	MaxMessageBytes int           // greatest size of a message from EncodePositions
}

// DefaultConfig returns a configuration with the default limits for a layout of the store.
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
	removedNodeRetention = 30 * time.Second // how long the positions of a removed node are kept
	maxSharedAge         = 10 * time.Second // positions observed longer ago are not sent to other brokers

	distantFuture = time.Duration(1)<<62 - 1
)

// DistantPast is before any time that occurs. As a Promise's AsOf it means that any age will do, as an Assessment's that nothing is known.
const DistantPast = -time.Duration(1) << 62

// Tracker holds what one broker knows of the replicas' positions.
type Tracker struct {
	Counts    Counts
	config    Config
	epoch     uint64 // number of the agreed list in force; 0: none, and the broker's own endpoint list is used in its place
	inEpoch   map[decision.NodeID]bool
	nodes     []node
	freeNodes []int32
	byID      map[decision.NodeID]int32
	cells     [][]int32   // indexes into nodes, by cell
	order     []candidate // buffer that each call of rank reuses
	hotKeys   hotKeys
	cursor    int // index of the node at which the next EncodePositions begins
}

// Counts are the counters that operators see. The JSON names are those under /counters.
type Counts struct {
	Chosen        uint64 // shard requests with an eligible replica
	Refused       uint64 // shard requests without one, of queries that require fresh answers
	AcceptedStale uint64 `json:"OrStale"` // shard requests without one, of queries that allow stale answers
	Spilled       uint64 // of those in Chosen: moved to another replica, as the pin was at its limit at the first
	Fresh         uint64 // answers that kept the promise
	Stale         uint64 `json:"Old"` // answers that did not keep the promise
	Regressed     uint64 // observations of a replica at an earlier position than before, so after a restart
	Merged        uint64 `json:"Facts"` // positions merged from other brokers
	Malformed     uint64 `json:"Bad"`   // messages from other brokers that could not be decoded
}

// Add adds the counts of another broker to c.
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

// NewTracker returns a tracker without nodes.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		config: config,
		byID:   map[decision.NodeID]int32{},
		cells:  make([][]int32, config.Cells),
	}
}

// Reconfigure changes the configuration. A change of the layout discards all nodes and positions.
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

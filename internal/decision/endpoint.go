package decision

import (
	"math"
	"time"
)

// StartedLongAgo stands in Endpoint.StartedAt for a node that has been warm since before the broker's start.
const StartedLongAgo = time.Duration(math.MinInt64)

// EndpointState is a node's state in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	Draining EndpointState = iota // finishes what it has; gets nothing new
	Removed
	Ready
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	Node        NodeID
	Cell        int // cells hold shards: shard s is on cells s, s+1, ... modulo Settings.Cells, Settings.CellsPerShard of them
	Zone        int
	State       EndpointState
	StartedAt   time.Duration // or StartedLongAgo
	Unconfirmed bool          // from a cached list: neither its start nor its state has been confirmed by discovery
}

// AllowedReplicas narrows the replicas that may be sent a shard request. The front end owns it, and removes a node only as an
// attempt at it ends.
type AllowedReplicas struct {
	Sticky bool // the first node that can be sent work gets the first attempt; the others are for hedges and retries
	Nodes  []NodeID
}

package decision

import (
	"math"
	"time"
)

// StartedLongAgo is the Endpoint.StartedAt of a node that had already warmed up when the broker started.
const StartedLongAgo = time.Duration(math.MinInt64)

// EndpointState is the state that the endpoint list gives for a node.
type EndpointState uint8

// The states of an endpoint.
const (
	Draining EndpointState = iota // finishes the attempts that it has and gets no new ones
	Removed
	Ready
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Node        NodeID
	Cell        int // shard s is held by the Settings.CellsPerShard cells s, s+1, ... modulo Settings.Cells
	Zone        int
	State       EndpointState
	StartedAt   time.Duration // or StartedLongAgo
	Unconfirmed bool          // from a cached list: discovery has confirmed neither StartedAt nor State
}

// AllowedReplicas restricts which replicas may be sent a shard request. The front end owns it, and removes a node only when an
// attempt to that node ends.
type AllowedReplicas struct {
	Sticky bool // the first attempt goes to the first node of Nodes that is available; hedges and retries go to any of them
	Nodes  []NodeID
}

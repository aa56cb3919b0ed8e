// Package query holds the types that client protocols (fronts) and the event loop exchange: a query as it was read, and its result.
// The event loop owns a Request once it is submitted, and the front owns the Result that it receives; neither is shared.
package query

import (
	"strconv"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/config/terms"
)

// Request is a query as a front read it, in any client protocol.
type Request struct {
	ID          string
	Type        int // index into the settings' query types
	Tenant      int // index into the settings' tenants
	Retry       bool
	Timeout     time.Duration
	Text        string
	Shards      []ShardRequest
	Client      uint64         // hash of the key that the client sends; 0: none
	Settings    *terms.Terms   // with which the query was decoded; nil: the initial ones
	Hint        *readhint.Hint // read hint of a read; nil: none
	HintIgnored string         // why the read hint is ignored; empty: it isn't
}

// ShardRequest is the part of a query that goes to one shard.
type ShardRequest struct {
	Name   string // on the wire to nodes, see ShardRequestName
	Shard  int
	Weight float64 // share of the complete answer, 0 to 1
}

// bytesPerShardRequest is the memory of a shard request in a query and in the event loop.
const bytesPerShardRequest = 256

// Bytes returns an estimate of the memory that the query takes while it is in flight.
func (r *Request) Bytes() int { return len(r.Text) + len(r.Shards)*bytesPerShardRequest }

// WeightTolerance is the largest accepted difference between 1 and the sum of a query's weights, as clients round them.
const WeightTolerance = 0.01

// ShardRequestName returns the name of a shard request on the wire to nodes.
func ShardRequestName(queryID string, shard int) string { return queryID + "." + strconv.Itoa(shard) }

// Package query holds what passes between the fronts that clients talk to and the event loop: a query as it was read, and its result.
// The package has types only. A Request belongs to the loop from its submission on, a Result to the front that receives it; neither is
// used by both at once.
package query

import (
	"strconv"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/config/terms"
)

// Request is a query as a front read it, whatever its protocol.
type Request struct {
	ID          string
	Type        int // of the settings' query types
	Tenant      int // of the settings' tenants
	Retry       bool
	Timeout     time.Duration
	Text        string
	Shards      []ShardRequest
	Client      uint64         // a hash of the key that the client states; 0: none
	Settings    *terms.Terms   // by which the query was read; nil: those of the start
	Hint        *readhint.Hint // on reads; nil: none
	HintIgnored string         // why a hint counts for nothing
}

// ShardRequest is what a query asks of one shard.
type ShardRequest struct {
	Name   string // as nodes see it: ShardRequestName
	Shard  int
	Weight float64 // its share of the query
}

// WeightTolerance is how far the weights of a query's shard requests may be from adding up to 1, as clients round them.
const WeightTolerance = 0.01

// ShardRequestName is a shard request's name on the wire to nodes.
func ShardRequestName(queryID string, shard int) string { return queryID + "." + strconv.Itoa(shard) }

package query

import (
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/transport/membudget"
)

// Result is the final answer to a query; each query gets exactly one.
type Result struct {
	Outcome    Outcome
	Complete   bool          // the answers reach what the query type requires of a complete result
	RetryAfter time.Duration // of a shed query: how long the client should wait before a retry; 0: no advice
	Answers    []ShardAnswer
	// Memory holds the bytes of large answers; whoever gets the result closes it when it has done with them. nil: there is nothing to close.
	Memory *membudget.Account

	// Set for an answered query with a read hint.
	Hinted    bool
	Positions []readhint.Position // by shard
	Behind    []int               // shards that have not reached the position that the hint asks for
	Staleness time.Duration       // the answer lacks no write older than this; readpin.UnknownAge: no bound is known
}

// Outcome is how a query ended.
type Outcome uint8

// The outcomes of a query.
const (
	Answered Outcome = iota
	Shed
	Failed
	Duplicate // a query with the same id is in flight, or may have run
)

// String returns the outcome's name, for log lines.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Shed:
		return "shed"
	case Failed:
		return "failed"
	case Duplicate:
		return "duplicate"
	default:
		return "unknown"
	}
}

// ShardAnswer is what one shard answered.
type ShardAnswer struct {
	Shard int
	Value string
}

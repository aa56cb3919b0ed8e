package query

import (
	"time"

	"flaxfront/internal/cluster/readhint"
)

// Result is the one final answer to a query.
type Result struct {
	Outcome    Outcome
	Complete   bool          // every shard is answered
	RetryAfter time.Duration // shed: when the client may send it again; 0: no advice
	Answers    []ShardAnswer

	// Of an answered query with a read hint.
	Hinted    bool
	Positions []readhint.Position // by shard
	Behind    []int               // shards that have not reached what the hint asks for
	Staleness time.Duration       // bound on what the answer may lack; readpin.Unknown: none is known
}

// Outcome tells what became of a query.
type Outcome uint8

// The outcomes of a query.
const (
	Answered Outcome = iota
	Shed
	Failed
	Duplicate // another query of the same id is in flight
)

// String names the outcome, for log lines.
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

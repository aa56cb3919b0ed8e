// Package forwarding decides what happens to a query that moves between two sites: whether a query that the own site sheds is
// forwarded, over which link and with how much time; what the loss of a link means for it; and, at the other site, whether it is admitted,
// and that a query which arrives twice runs once.
//
// The Forwarder is offered only what the router sheds: the ordinary path is not touched, and nothing of the query has had an effect that a
// second run could repeat. A query is forwarded once at most, and never onwards.
//
//	shed ──Offer──► inFlight ──HandleResult: answered, failed──► result
//	                 │   ▲  └──HandleResult: rejected──────────► shed
//	         LinkDown│   │LinkUp, same process
//	                 ▼   │
//	              linkLost ──other process, timeout──► returned to the own router, shed or failed
//
// An idempotent query, and one that was never written to the network, does not wait in linkLost: it is returned at once. At the deadline
// less the time reserved for the answer every query ends, in either state.
//
// All times are spans since the start of the process. The package does no I/O and reads no clock. A Forwarder or Receiver is used by one
// goroutine at a time.
package forwarding

import (
	"time"

	"flaxfront/internal/decision"
)

// Policy holds the settings of both sides.
type Policy struct {
	ForwardShare     float64       // forwarded queries earned by each accepted one
	Burst            float64       // most forwarded queries saved up
	MaxForwarded     int           // in flight at once, over all links
	MinRemainingTime time.Duration // a query with less time left is not forwarded
	AnswerReserve    time.Duration // part of the client's time that is kept for the answer
	ResumeTimeout    time.Duration // how long a query waits for its lost link to come back

	RemoteShare   float64 // receiving side: share of all slots that remote queries may take
	MaxRemembered int     // receiving side: remote queries remembered at once
}

const (
	statusLifetime          = 2 * time.Second        // a status is heeded so long
	answerLifetime          = 500 * time.Millisecond // an answer outweighs an older status so long
	initialRejectionBackoff = 100 * time.Millisecond // doubles with each rejection
	maxRejectionBackoff     = 2 * time.Second
	answerTimeWeight        = 0.2 // of one answer in the moving average
)

// LinkIndex numbers the links to brokers of other sites, in the order of NewForwarder's names.
type LinkIndex int

// Status is what the broker at the other end of a link last said of itself.
type Status struct {
	FreeShare         float64 // free part of its slots for remote queries, 0 to 1
	Shedding          bool    // it sheds queries of its own clients
	Draining          bool    // it shuts down and takes nothing new
	UnavailableShards []int   // shards without an available replica there
}

// Query is what the decisions need to know of a query.
type Query struct {
	ID                uint64 // unique while the process runs
	Idempotency       decision.Idempotency
	IdempotencyWindow time.Duration // how long repeats under the same idempotency key are dropped
	Deadline          time.Duration // when its client gives up
	Shards            []int
	Remote            bool // received from another site
	Returned          bool // forwarded before and returned
}

// ActionKind says what the caller has to do.
type ActionKind uint8

// The comments name the fields of Action that are set.
const (
	Forward  ActionKind = iota + 1 // ID, Link, TimeLeft, Resent: send it over the link
	Cancel                         // ID, Link: tell the other site that nobody waits for it
	Resubmit                       // ID, TimeLeft, MayHaveRun: submit it to the own router once more
	Shed                           // ID: final result
	Fail                           // ID: final result
	Log                            // Text: a link has become available or unavailable
)

// Action is one thing that the caller has to do.
type Action struct {
	Kind          ActionKind
	ID            uint64
	Link          LinkIndex
	RemainingTime time.Duration
	Retry         bool // it may have arrived there before
	MayHaveRun    bool // it must not be shed, as a client's retry could run it twice
	Text          string
}

// Outcome is how the other site ended a forwarded query.
type Outcome uint8

const (
	// Answered is a result, complete or partial.
	Answered Outcome = iota
	// Rejected means that sending the query again does no harm.
	Rejected
	// Failed means that the query may have run.
	Failed
)

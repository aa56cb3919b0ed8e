// Package forwarding decides what happens to a query that moves between two sites. At the site of the client: whether a query that the
// router sheds is forwarded, over which link and with how much time, and what the loss of the link means for the query. At the other
// site: whether the query is admitted, and that it runs once even if it arrives twice.
//
// The Forwarder is offered only queries that the router sheds. So the usual path is not affected, and the query has had no effect yet that
// a second run could repeat. A query is forwarded at most once, and never on to a third site.
//
//	shed ──Offer──► inFlight ──HandleResult: answered, failed──► result
//	                 │   ▲  └──HandleResult: rejected──────────► shed
//	         LinkDown│   │LinkUp, same process
//	                 ▼   │
//	              linkLost ──other process, timeout──► returned to this site's router, shed or failed
//
// An idempotent query, and one that was never written to the network, does not wait in linkLost: it is returned at once. In either state a
// query ends at its deadline less the time reserved for the answer.
//
// All times are durations since the start of the process. The package does no I/O and reads no clock. A Forwarder or Receiver is used by one
// goroutine at a time.
package forwarding

import (
	"time"

	"flaxfront/internal/decision"
)

// Policy holds the settings of both sides.
type Policy struct {
	ForwardShare     float64       // forwarded queries earned by each accepted one
	Burst            float64       // most forwarded queries that the budget saves up
	MaxForwarded     int           // forwarded queries in flight at once, over all links
	MinRemainingTime time.Duration // a query with less time left is not forwarded
	AnswerReserve    time.Duration // part of the client's time that is kept for the answer
	ResumeTimeout    time.Duration // how long a query waits for its lost link to be established again

	RemoteShare   float64 // receiving side: share of all slots that remote queries may take
	MaxRemembered int     // receiving side: remote queries remembered at once
}

const (
	statusLifetime          = 2 * time.Second        // how long a status counts
	answerLifetime          = 500 * time.Millisecond // how long an answer overrides an older status
	initialRejectionBackoff = 100 * time.Millisecond // doubles with each rejection
	maxRejectionBackoff     = 2 * time.Second
	answerTimeWeight        = 0.2 // weight of one answer in the moving average
)

// LinkIndex numbers the links to brokers of other sites, in the order of NewForwarder's names.
type LinkIndex int

// Status is the state that the broker at the other end of a link last reported.
type Status struct {
	FreeShare         float64 // free share of its slots for remote queries, 0 to 1
	Shedding          bool    // it sheds queries of its own clients
	Draining          bool    // it shuts down and admits no new queries
	UnavailableShards []int   // shards without an available replica there
}

// Query is what the decisions need to know about a query.
type Query struct {
	ID                uint64 // unique while the process runs
	Idempotency       decision.Idempotency
	IdempotencyWindow time.Duration // how long repeats under the same idempotency key are dropped
	Deadline          time.Duration // when its client times out
	Shards            []int
	Remote            bool // received from another site
	Returned          bool // forwarded before, and returned to this site's router
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions, with the fields of Action that are set.
const (
	Forward  ActionKind = iota + 1 // ID, Link, RemainingTime, Retry: send the query over the link
	Cancel                         // ID, Link: tell the other site that the result is no longer needed
	Resubmit                       // ID, RemainingTime, MayHaveRun: submit the query to this site's router again
	Shed                           // ID: end the query as shed
	Fail                           // ID: end the query as failed
	Log                            // Text: log that a site has begun or ceased to accept forwarded queries
)

// Action is one thing that the caller has to do.
type Action struct {
	Kind          ActionKind
	ID            uint64
	Link          LinkIndex
	RemainingTime time.Duration
	Retry         bool // the query may have arrived at the other site before
	MayHaveRun    bool // the query must not be shed, as the client's retry could run it twice
	Text          string
}

// Outcome is the result of a forwarded query, as the other site has stated it. What this site knows by itself, such as that a copy was not sent,
// is no Outcome.
type Outcome uint8

const (
	// Answered is a result, complete or partial.
	Answered Outcome = iota
	// Rejected means that the query has not run, or may safely run again.
	Rejected
	// Failed means that the query may have run.
	Failed
)

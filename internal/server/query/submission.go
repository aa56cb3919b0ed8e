package query

import "time"

// Submission is a query on its way from a client's connection to the event loop.
type Submission struct {
	Request *Request
	Arrival time.Duration // since the broker's start: when the last byte had come
	// ConnectionOverLimit tells that the client's connection exceeds the limit on connections: the query is shed.
	ConnectionOverLimit bool
}

// AbandonCause tells why a front no longer waits for the loop to finish a query.
type AbandonCause uint8

// The causes.
const (
	ClientDeparted AbandonCause = iota // no result is delivered any more
	DeadlinePassed                     // a failed result is delivered, unless one has been
)

// Pending is a submitted query. Its methods may be called from any goroutine.
type Pending interface {
	// Result delivers the one result. It is never closed.
	Result() <-chan Result
	// Deadline is when the query has to be answered, since the broker's start.
	Deadline() time.Duration
	// Abandon ends the query early; after its result it does nothing.
	Abandon(cause AbandonCause)
}

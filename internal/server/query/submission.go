package query

import "time"

// Submission hands a query from a client's connection to the event loop.
type Submission struct {
	Request *Request
	Arrival time.Duration // when its last byte arrived, since the broker's start
	// ConnectionOverLimit is set if the client's connection exceeds the limit on connections: the query is shed.
	ConnectionOverLimit bool
}

// AbandonCause is why a front no longer waits for the result of a query.
type AbandonCause uint8

// The causes of abandoning a query.
const (
	ClientDeparted AbandonCause = iota // no result is delivered
	DeadlinePassed                     // a Failed result is delivered, unless a result already was
)

// String returns the cause's name, for log lines.
func (c AbandonCause) String() string {
	if c == DeadlinePassed {
		return "deadline_passed"
	}
	return "client_departed"
}

// Pending is a submitted query. Its methods may be called from any goroutine.
type Pending interface {
	// Result returns the channel that delivers the one result. The channel is never closed.
	Result() <-chan Result
	// Deadline returns when the query must be answered, since the broker's start.
	Deadline() time.Duration
	// Abandon ends the query early; once the result is delivered it has no effect.
	Abandon(cause AbandonCause)
}

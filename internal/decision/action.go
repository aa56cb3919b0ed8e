package decision

import "time"

// ActionKind says what the front end has to do, and which fields of an Action are set.
type ActionKind uint8

// The kinds of actions, each with the fields that are set.
const (
	SendAttempt          ActionKind = iota + 1 // ID, Node, ExclusiveConnection
	ShedQuery                                  // ID, RetryAfter
	FailQuery                                  // ID
	AnswerQuery                                // ID, Complete
	CancelAttempt                              // ID, Attempt
	SetTimer                                   // TimerAt
	CloseIdleConnections                       // Node: its open connections take no new requests, and each closes when it is idle
	SubscribeList                              // no fields: poll or watch the endpoint list
	LogMessage                                 // Text
	SendGossip                                 // Text: a message to all other brokers; delivery is not guaranteed
	SendHealthCheck                            // Node; the result comes as HealthCheckEnded
)

// Action tells the front end to do one thing.
type Action struct {
	Kind                ActionKind
	Complete            bool // the answers that have come make a complete result
	ExclusiveConnection bool // if a connection is free, the attempt gets it to itself
	Attempt             uint16
	Node                NodeID
	ID                  uint64 // of the query or shard request
	TimerAt             time.Duration
	RetryAfter          time.Duration // how long the client should wait before it retries
	Text                string
}

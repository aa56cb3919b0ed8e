package decision

import "time"

// ActionKind says what is to be done, and which fields of an Action are set.
type ActionKind uint8

// The kinds of actions, each with the fields that it sets.
const (
	SendAttempt          ActionKind = iota + 1 // ID, Node, ExclusiveConnection
	ShedQuery                                  // ID, RetryAfter
	FailQuery                                  // ID
	AnswerQuery                                // ID, Complete
	CancelAttempt                              // ID, Attempt
	SetTimer                                   // TimerAt
	CloseIdleConnections                       // Node: no connection to it gets another request; each closes once idle
	SubscribeList                              // poll or watch the endpoint list
	LogMessage                                 // Text
	SendGossip                                 // Text: a message to all other brokers, which may be lost
	SendHealthCheck                            // Node: answered by HealthCheckEnded
)

// Action is one thing to be done.
type Action struct {
	Kind                ActionKind
	Complete            bool // every shard that the query type requires has answered
	ExclusiveConnection bool // the attempt shares its connection with no other, where there is one for it
	Attempt             uint16
	Node                NodeID
	ID                  uint64 // of the query or shard request
	TimerAt             time.Duration
	RetryAfter          time.Duration
	Text                string
}

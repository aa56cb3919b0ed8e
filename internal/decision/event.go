package decision

import "time"

// EventKind says what happened, and which fields of an Event are set.
type EventKind uint8

// The kinds of events, each with the fields that it sets.
const (
	FullListReceived     EventKind = iota + 1 // Endpoints: the whole list
	ListUpdateReceived                        // Endpoints: the lines that changed
	ListPollFailed                            // a poll of discovery failed, or its watch broke
	QueryReceived                             // ID, Serial, Type, Tenant, RemainingTime, Retry
	ShardRequestReceived                      // ID, Serial, Shard, Weight, Allowed
	AttemptEnded                              // ID, Attempt, Outcome, Elapsed, Node
	TimerFired                                // a timer that SetTimer asked for
	ClientDeparted                            // ID: the client closed or cancelled
	GossipReceived                            // From, Payload
	HealthCheckEnded                          // Node, Outcome, Elapsed
)

// Outcome says how an attempt or a health check ended.
type Outcome uint8

// The outcomes.
const (
	Errored Outcome = iota
	OK
	Rejected // the node did not run it
	TimedOut
	ConnectFailed // it never left this broker
	ConnectionReset
	Cancelled
	NeverSent
	Stale // answered by a healthy node, from data too old to count
)

// Event is one thing that happened.
type Event struct {
	Kind          EventKind
	Outcome       Outcome
	Retry         bool // the client marked the query as a retry
	Type          int  // index into Settings.QueryTypes
	Tenant        int  // index into Settings.Tenants
	Shard         int
	Attempt       uint16           // the number of the attempt within its shard request, from 0
	Serial        float32          // the same for a query and its shard requests
	Node          NodeID           // the node the attempt or health check went to
	ID            uint64           // of the query or shard request
	Allowed       *AllowedReplicas // nil: any replica
	Weight        float64          // the shard request's share of its query
	RemainingTime time.Duration    // until the client's timeout
	Elapsed       time.Duration    // since the attempt or health check was sent
	Endpoints     []Endpoint
	From          uint32 // the broker that sent the gossip message
	Payload       []byte
}

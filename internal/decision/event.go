package decision

import "time"

// EventKind says what has happened, and which fields of an Event are set.
type EventKind uint8

// The kinds of events, each with the fields that are set.
const (
	FullListReceived     EventKind = iota + 1 // Endpoints: the whole list
	ListUpdateReceived                        // Endpoints: the entries that changed
	ListPollFailed                            // a poll of discovery failed, or the watch ended
	QueryReceived                             // ID, Serial, Type, Tenant, Weight, RemainingTime, Retry
	ShardRequestReceived                      // ID, Serial, Shard, Weight, Allowed
	AttemptEnded                              // ID, Attempt, Outcome, Elapsed, Node
	TimerFired                                // a timer set by SetTimer expired
	ClientDeparted                            // ID: the client closed its connection or cancelled the query
	GossipReceived                            // From, Payload
	HealthCheckEnded                          // Node, Outcome, Elapsed
)

// Outcome says how an attempt or a health check ended.
type Outcome uint8

// The outcomes.
const (
	Errored Outcome = iota
	OK
	Rejected // by the node, without running it
	TimedOut
	ConnectFailed // the connection could not be opened, so the attempt was not sent
	ConnectionReset
	Cancelled
	NeverSent // the attempt did not leave this broker, for a reason other than ConnectFailed
	Stale     // the node is healthy, but its answer can't be used: its data is too old for the query, or there was no memory for it
)

// String returns the outcome's name, for log lines.
func (o Outcome) String() string {
	names := [...]string{"errored", "ok", "rejected", "timed_out", "connect_failed", "connection_reset", "cancelled", "never_sent", "stale"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Event tells the router of one thing that has happened.
type Event struct {
	Kind          EventKind
	Outcome       Outcome
	Retry         bool // the client marked the query as a retry
	Type          int  // index into Settings.QueryTypes
	Tenant        int  // index into Settings.Tenants
	Shard         int
	Attempt       uint16           // the number of the attempt within its shard request, from 0
	Serial        float32          // serial number shared by a query and its shard requests
	Node          NodeID           // the node the attempt or health check went to
	ID            uint64           // of the query or shard request
	Allowed       *AllowedReplicas // nil: any replica
	Weight        float64          // of a shard request: its share of the query's result; of a query: the number of its shard requests
	RemainingTime time.Duration    // until the client's timeout
	Elapsed       time.Duration    // time since the attempt or health check was sent
	Endpoints     []Endpoint
	From          uint32 // the broker that sent the gossip message
	Payload       []byte
}

// Package decision is the boundary between the decision module and whatever carries its traffic.
// It holds types only: what a front tells the module, and what the module asks the front to do.
//
// Depends on no package of this module. Concurrency: values only; events and actions belong to whoever was
// handed them.
package decision

import (
	"fmt"
	"math"
	"time"
)

// NodeID names a store node as the wire writes it.
type NodeID struct {
	Addr [4]byte
	Port uint16
}

func (id NodeID) String() string { return fmt.Sprintf("%x/%04x", id.Addr, id.Port) }

// Effect tells what repeating a part does.
type Effect uint8

const (
	Idempotent Effect = iota
	Tokened
	NonIdempotent
)

// NoBoot stands in Entry.Boot for a node that started long ago.
const NoBoot = time.Duration(math.MinInt64)

// ListState is a node's state in the list.
type ListState uint8

const (
	Draining ListState = iota
	Gone
	Ready
)

// Entry is one line of the node list.
type Entry struct {
	Node  NodeID
	Cell  int
	Zone  int
	State ListState
	Boot  time.Duration
	Eased bool // it is not known when it started, nor whether the line is right
}

// EventKind tells which fields of an Event hold.
type EventKind uint8

const (
	ListFull   EventKind = iota + 1 // Entries: the whole list
	ListDelta                       // Entries: the lines that changed
	ListFailed                      // an ask failed or the watch broke
	SearchIn                        // ID, Serial, Type, Tenant, Left, Repeat
	PartIn                          // ID, Serial, Shard, Weight, Only
	Ended                           // ID, Attempt, Outcome, Took, Node
	Woken                           // a wake asked for came due
	Left                            // ID: the client has gone
	PeerSaid                        // From, Text
	Probed                          // Node, Outcome, Took: a probe has ended
)

// Outcome tells how a sub-request ended.
type Outcome uint8

const (
	Errored Outcome = iota
	OK
	Refused
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NeverSent
	Stale // it was answered, by a node that is well, and the answer is too old to count
)

// Only narrows the holders that may be sent a part. The front owns it, and takes nodes out of it only as a sub-request to them ends.
type Only struct {
	Pinned bool // the first of them that can be sent work gets it first; the others are for copies and resends
	Nodes  []NodeID
}

// Event is one thing that happened. Times are spans since the broker's start.
type Event struct {
	Kind    EventKind
	Outcome Outcome
	Repeat  bool // the client says that it asks again
	Type    int
	Tenant  int
	Shard   int
	Attempt uint16
	Serial  float32
	Node    NodeID
	ID      uint64
	Only    *Only // nil: any holder will do
	Weight  float64
	Left    time.Duration
	Took    time.Duration
	Entries []Entry
	From    uint32
	Text    []byte
}

// ActionKind tells which fields of an Action hold.
type ActionKind uint8

const (
	Send      ActionKind = iota + 1 // ID, Node, Alone
	Shed                            // ID, After
	Fail                            // ID
	Answer                          // ID, Whole
	Cancel                          // ID, Attempt
	Wake                            // At
	Close                           // Node: its connections, once they are idle; none of them gets more
	Subscribe                       // ask for the list and its changes
	Log                             // Text
	Tell                            // Text: a message to all other brokers, which may be lost
	Probe                           // Node: ask it for a sign of life; Probed tells what came
)

// Action is one thing the module wants done.
type Action struct {
	Kind    ActionKind
	Whole   bool
	Alone   bool // its call shares a connection with no other, where there is one for it
	Attempt uint16
	Node    NodeID
	ID      uint64
	At      time.Duration
	After   time.Duration
	Text    string
}

// SearchType holds the terms of one query type.
type SearchType struct {
	Target    time.Duration // answered inside this, a search earns its full value
	Timeout   time.Duration
	Value     float64
	LateShare float64
	Effect    Effect
	Window    time.Duration // tokened: how long repeats are dropped
	Floor     float64       // least share of the parts' weight for an answer
	Need      float64       // share that makes a whole answer
	Fetch     int           // parts of a second step; 0: one step
}

// Tenant holds one customer's terms.
type Tenant struct {
	Portion float64
	Quota   float64 // searches a second within its share, over all brokers
}

// Terms are what a broker is told at its start.
type Terms struct {
	Seed         uint64
	Brokers      int
	Peers        bool // brokers may send each other messages
	MarksRepeats bool // clients say when they ask again
	Step         time.Duration
	Types        []SearchType
	Tenants      []Tenant
	OverShare    float64 // what a search beyond its tenant's share is worth
	ByWork       bool    // a search is worth its value times its work, not its value
	Cells        int
	Width        int
	BatchParts   int

	Cancels       bool
	Probes        bool          // nodes may be probed
	Idle          time.Duration // a connection that stood idle for so long is closed
	SecondCopies  bool
	MaxRetryAfter time.Duration // 0: clients are not told when to come back
	MaxAttempts   int
	MaxOpen       int
	AskList       bool

	ColdFrom     float64
	WarmAfter    time.Duration
	FallMultiple float64
	FallAfter    time.Duration // sent more than that for so long, a cold node falls over

	ExtraFloor  float64
	ExtraShare  float64
	ExtraWindow time.Duration // 0: no budget of further sub-requests
}

// Decider is the module as a front sees it: one call a turn, with all that came in since the last.
type Decider interface {
	Turn(now time.Duration, events []Event, actions []Action) []Action
}

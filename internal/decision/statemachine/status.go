package statemachine

// BrokerStatus is whether a broker serves.
type BrokerStatus uint8

// The statuses of a broker, as they are stored.
const (
	BrokerJoining   BrokerStatus = iota // new to the tier, does not serve yet: no limit counts it
	BrokerServing                       // counts as in
	BrokerReturning                     // registered again after an absence, does not serve yet: counts as out
	BrokerOut                           // went out by a permit
	BrokerLost                          // its session lease expired
)

// String is the status as operators read it.
func (s BrokerStatus) String() string {
	return [...]string{"joining", "in", "back", "out", "lost"}[min(s, BrokerLost)]
}

// Broker is a broker of the roster.
type Broker struct {
	Slot        Slot
	Name        string
	Incarnation uint64
	Version     string
	Zone        string
	Protocol    uint64
	Status      BrokerStatus `json:"Standing"`
	HasServed   bool         `json:"Served"` // it served once: it counts as out where it does not serve now
	Permit      uint64       // the release permit it holds; 0: none
	StatusIndex uint64       `json:"Since"` // the entry that set the status
}

// ReleasePermit allows one target of a release to go out.
type ReleasePermit struct {
	Number      uint64
	Release     uint64
	ForNode     bool   `json:"OnNode"`
	Slot        Slot   // of a broker
	Incarnation uint64 // of a broker
	Node        NodeID // of a node
	Used        bool
}

// ReleaseState is whether a release goes on.
type ReleaseState uint8

// The states of a release, as they are stored.
const (
	ReleaseRunning ReleaseState = iota
	ReleaseHalted
	ReleaseDone
)

// String is the state as operators read it.
func (s ReleaseState) String() string {
	return [...]string{"running", "halted", "done"}[min(s, ReleaseDone)]
}

// StepState is how far a step of a release is.
type StepState uint8

// The states of a step, as they are stored.
const (
	StepPending StepState = iota
	StepPermitted
	StepOut
	StepFinished
)

// String is the state as operators read it.
func (s StepState) String() string {
	return [...]string{"pending", "permitted", "out", "finished"}[min(s, StepFinished)]
}

// ReleaseStep is one target of a release.
type ReleaseStep struct {
	Slot          Slot
	Node          NodeID
	State         StepState `json:"Stage"`
	Affected      bool      `json:"Touched"` // it went out by this release, or came back with its version
	OutAtRollback bool      `json:"Carried"` // it was out when the rollback began, and may come back with either version
	Version       string    // that it came back with
}

// Release is a plan and how far it is.
type Release struct {
	Number uint64
	ReleasePlan
	ForNodes     bool         `json:"OnNodes"`
	State        ReleaseState `json:"Course"`
	Reason       string       // why it was halted; of a rollback, why that began
	Steps        []ReleaseStep
	OpenBatch    uint32 `json:"Batch"`   // the last that is open, from 0
	RollbackOf   uint64 `json:"BackOf"`  // the release that this one takes back; 0: none
	ChangedIndex uint64 `json:"Changed"` // the entry that last changed it
}

// NodeDrain is an agreed drain of a node.
type NodeDrain struct {
	Node         NodeID
	Number       uint64
	Reason       string
	Release      uint64              // 0: an operator's
	Acknowledged []BrokerIncarnation `json:"Acks"` // who sends nothing more
}

// BrokerIncarnation is one process of a broker.
type BrokerIncarnation struct {
	Slot        Slot
	Incarnation uint64
}

// ConnectionLease is what a broker may hold above the reserved connections.
type ConnectionLease struct {
	Incarnation  uint64
	Number       uint64 // of the newest grant; 0: none
	Granted      []LeaseRow
	Outstanding  []LeaseRow // what it may still hold of older grants, row by row the greatest
	Acknowledged bool
	Ended        bool // it holds nothing: relinquished or expired
}

// Node is a node of the agreed list and its state.
type Node struct {
	NodeInfo
	DownIndex   uint64 `json:"Down"`   // the entry that said it is not ready, without a permit; 0: none
	DrainNumber uint64 `json:"Drain"`  // 0: none
	OutByPermit bool   `json:"Used"`   // it is out by a permit
	Leased      uint64 `json:"Units"`  // connections above the reserved ones that brokers may hold
	Reserved    uint64 `json:"Floors"` // connections for all brokers without a lease
	Budget      uint64 // connections by the policy in force
}

package statemachine

// BrokerStatus is whether a broker serves.
type BrokerStatus uint8

const (
	BrokerJoining BrokerStatus = iota // new to the tier, not yet serving: counts as in no limit
	BrokerServing
	BrokerReturning // after an absence, not yet serving: counts as out
	BrokerOut       // went by a permit
	BrokerLost      // its lease ran out
)

func (s BrokerStatus) String() string {
	return [...]string{"joining", "in", "back", "out", "lost"}[min(s, BrokerLost)]
}

// Broker is a line of the roster.
type Broker struct {
	Slot        Slot
	Name        string
	Incarnation uint64
	Version     string
	Zone        string
	Protocol    uint64
	Status      BrokerStatus
	HasServed   bool   // it was in once: it counts where it is not
	Permit      uint64 // the one it holds; 0: none
	StatusIndex uint64 // the entry that put it there
}

// ReleasePermit is a permit.
type ReleasePermit struct {
	Number      uint64
	Release     uint64
	ForNode     bool `json:"OnNode"`
	Slot        Slot // of a broker's permit
	Incarnation uint64
	Node        NodeID // of a node's
	Used        bool
}

// ReleaseState is how a release stands.
type ReleaseState uint8

const (
	ReleaseRunning ReleaseState = iota
	ReleaseHalted
	ReleaseDone
)

func (c ReleaseState) String() string {
	return [...]string{"running", "halted", "done"}[min(c, ReleaseDone)]
}

// StepState is how far a step is.
type StepState uint8

const (
	StepPending StepState = iota
	StepPermitted
	StepOut
	StepFinished
)

func (s StepState) String() string {
	return [...]string{"pending", "permitted", "out", "finished"}[min(s, StepFinished)]
}

// ReleaseStep is one target of a release.
type ReleaseStep struct {
	Slot          Slot
	Node          NodeID
	State         StepState
	Affected      bool   // it went out by this release, or came back with its version
	OutAtRollback bool   // on a way back: it was out when that began, and may come back with either version
	Version       string // that it came back with
}

// Release is a plan and how far it is.
type Release struct {
	Number uint64
	ReleasePlan
	ForNodes     bool
	State        ReleaseState
	Reason       string // why it was halted; of a way back, why that began
	Steps        []ReleaseStep
	OpenBatch    uint32 // the last that is open, from 0
	RollbackOf   uint64 // the release that this is the way back of; 0: none
	ChangedIndex uint64 // the entry that last changed it
}

// NodeDrain is an agreed drain of a node.
type NodeDrain struct {
	Node         NodeID
	Number       uint64
	Reason       string
	Release      uint64              // 0: an operator's
	Acknowledged []BrokerIncarnation // who sends nothing more
}

// BrokerIncarnation is a broker under an incarnation.
type BrokerIncarnation struct {
	Slot        Slot
	Incarnation uint64
}

// ConnectionLease is what a broker may hold above the floors.
type ConnectionLease struct {
	Incarnation  uint64
	Number       uint64 // the newest grant; 0: none
	Granted      []LeaseRow
	PossiblyHeld []LeaseRow // what it may still hold of older ones, row by row the greatest
	Acknowledged bool
	Ended        bool // it holds nothing: given up, or its lease ran out
}

// Node is an agreed node and how it stands.
type Node struct {
	NodeInfo
	DownIndex   uint64 // not ready, without a permit: the entry that said so
	DrainNumber uint64 // 0: none
	OutByPermit bool   // it is out by a permit
	Leased      uint64 // above the floors, that brokers may hold
	Reserved    uint64 // reserved for all brokers
	Budget      uint64 // by the policy in force
}

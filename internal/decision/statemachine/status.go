package statemachine

// BrokerStatus tells whether a broker serves or, if not, why.
type BrokerStatus uint8

// The statuses of a broker. Their numbers are stored in snapshots.
const (
	BrokerJoining   BrokerStatus = iota // new to the tier, does not serve yet: does not count as out
	BrokerServing                       // serves queries
	BrokerReturning                     // registered again after an absence, does not serve yet: counts as out
	BrokerOut                           // went out with a permit
	BrokerLost                          // its session lease expired
)

// String returns the status as operators see it.
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
	HasServed   bool         `json:"Served"` // it has served, so it counts as out whenever it does not serve
	Permit      uint64       // the release permit it holds; 0: none
	StatusIndex uint64       `json:"Since"` // index of the entry that set the status
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

// ReleaseState tells whether a release is running.
type ReleaseState uint8

// The states of a release. Their numbers are stored in snapshots.
const (
	ReleaseRunning ReleaseState = iota
	ReleaseHalted
	ReleaseDone
)

// String returns the state as operators see it.
func (s ReleaseState) String() string {
	return [...]string{"running", "halted", "done"}[min(s, ReleaseDone)]
}

// StepState is the progress of one step of a release.
type StepState uint8

// The states of a step. Their numbers are stored in snapshots.
const (
	StepPending StepState = iota
	StepPermitted
	StepOut
	StepFinished
)

// String returns the state as operators see it.
func (s StepState) String() string {
	return [...]string{"pending", "permitted", "out", "finished"}[min(s, StepFinished)]
}

// ReleaseStep is one target of a release and its progress.
type ReleaseStep struct {
	Slot          Slot
	Node          NodeID
	State         StepState `json:"Stage"`
	Affected      bool      `json:"Touched"` // the target went out in this release, or returned with the version that it releases
	OutAtRollback bool      `json:"Carried"` // the target was out when the rollback began, and may return with either version
	Version       string    // with which it returned
}

// Release is a release plan and its progress.
type Release struct {
	Number uint64
	ReleasePlan
	ForNodes     bool         `json:"OnNodes"`
	State        ReleaseState `json:"Course"`
	Reason       string       // why it was halted or, for a rollback, why it began
	Steps        []ReleaseStep
	OpenBatch    uint32 `json:"Batch"`   // index of the last open batch, from 0
	RollbackOf   uint64 `json:"BackOf"`  // number of the release that this one rolls back; 0: none
	ChangedIndex uint64 `json:"Changed"` // index of the entry that last changed it
}

// NodeDrain is an agreed drain of a node.
type NodeDrain struct {
	Node         NodeID
	Number       uint64
	Reason       string
	Release      uint64              // release that drains the node; 0: an operator drains it
	Acknowledged []BrokerIncarnation `json:"Acks"` // brokers that no longer send to the node
}

// BrokerIncarnation identifies one incarnation of a broker.
type BrokerIncarnation struct {
	Slot        Slot
	Incarnation uint64
}

// ConnectionLease is the connections that a broker may hold in addition to the reserved ones.
type ConnectionLease struct {
	Incarnation  uint64
	Number       uint64 // of the latest grant; 0: none
	Granted      []LeaseRow
	Outstanding  []LeaseRow // what the broker may still hold by older grants: for each node and tenant their maximum
	Acknowledged bool
	Ended        bool // it was relinquished or has expired, so the broker holds none
}

// Node is a node of the agreed list and its state.
type Node struct {
	NodeInfo
	DownIndex   uint64 `json:"Down"`   // index of the MarkNodeDown entry; 0: none
	DrainNumber uint64 `json:"Drain"`  // 0: none
	OutByPermit bool   `json:"Used"`   // it is out with a permit
	Leased      uint64 `json:"Units"`  // connections that brokers may hold in addition to the reserved ones
	Reserved    uint64 `json:"Floors"` // connections that all brokers may open without a lease
	Budget      uint64 // maximum connections by the policy in force
}

package statemachine

// Slot is a broker's place in the tier: small, given in the operators' file, never that of two brokers at once.
type Slot uint32

// ProposalID names a proposal, so that it takes effect once however often it is sent. Incarnation and Seq only grow for a slot.
type ProposalID struct {
	Slot        Slot
	Incarnation uint64
	Sequence    uint64
}

// Entry is one of the types below.
type Entry interface {
	kind() kind
	fields(*codec)
	apply(*State) (uint64, error)
}

// LeaderElected is the first entry of a new leader. Permits, advances, losses and expiries of other terms are refused from then on: the
// new leader must renew no lease before this is applied.
type LeaderElected struct {
	Slot Slot
	Term uint64
}

// RegisterBroker says that a broker is there under a new incarnation, which grows with each start and each session after a loss. It
// counts as out until its Return, except where it is new to the tier.
type RegisterBroker struct {
	Slot        Slot
	Name        string
	Incarnation uint64
	Version     string
	Zone        string
	Protocol    uint64 // the newest entries it can read
}

// MarkBrokerLost says that a broker's lease surely ran out.
type MarkBrokerLost struct {
	Slot        Slot
	Incarnation uint64
	Term        uint64
}

// RemoveBroker is an operator's word that a broker never comes back: all that it held is free.
type RemoveBroker struct{ Slot Slot }

// ReturnToService says that a broker (after Register), or a node that went out, serves again.
type ReturnToService struct {
	Slot        Slot
	Incarnation uint64 // of a broker; for a node, the number of its permit or of the NodeDown: a late word ends nothing newer
	ForNode     bool
	Node        NodeID
}

// ReleasePlan begins a release, over Slots or, if there are any, over Nodes. It ends the one before, which must be over.
type ReleasePlan struct {
	Name             string
	From, To         string // versions
	Slots            []Slot
	Nodes            []NodeID
	Batches          []uint32 // how many of the targets, in their order, are in the first batch, the first two, and so on; none: all in one
	MaxOut           uint32   // out at once over the tier
	MaxOutPerZone    uint32   // and in a zone; 0: as Most
	MinReadyReplicas uint32   // ready holders that each shard keeps, for nodes
	PauseMS          uint64   // between batches, for the planner
	Gates            string   // for the planner
}

// IssuePermit lets one target go out. Its number is the entry's index.
type IssuePermit struct {
	Release     uint64
	Term        uint64
	Slot        Slot
	Incarnation uint64
	ForNode     bool
	Node        NodeID
}

// UsePermit is the holder's word that it goes now. Only who saw it applied without an error may go.
type UsePermit struct {
	Permit      uint64
	Slot        Slot
	Incarnation uint64
	ForNode     bool
	Node        NodeID
}

// OpenNextBatch opens the next batch: all of the one before are back and the gates have passed.
type OpenNextBatch struct {
	Release uint64
	Term    uint64
	Batch   uint32 // the one opened, counted from 0
}

// HaltRelease stops a release: permits that were not used are void.
type HaltRelease struct {
	Release uint64
	Reason  string
}

// ResumeRelease lets a halted release go on.
type ResumeRelease struct{ Release uint64 }

// RollBackRelease ends a release and begins its way back: a release over what it touched.
type RollBackRelease struct {
	Release uint64
	Reason  string
}

// DrainNode is an operator's drain, outside any release. Its number is the entry's index.
type DrainNode struct {
	Node   NodeID
	Reason string
}

// AcknowledgeDrain says that a broker sends nothing more to a node.
type AcknowledgeDrain struct {
	Slot        Slot
	Incarnation uint64
	Node        NodeID
	Number      uint64 // of the drain
}

// UndrainNode ends an operator's drain.
type UndrainNode struct{ Node NodeID }

// MarkNodeDown says that a node which nobody let go is not ready. Return ends it.
type MarkNodeDown struct {
	Node   NodeID
	Reason string
}

// NodeBudget is what a node holds, and what each broker may take of it without asking.
type NodeBudget struct {
	Node              NodeID
	Connections       uint64
	ReservedPerBroker uint64
}

// ConnectionPolicy is a new division. It takes over when all that may still be held fits it.
type ConnectionPolicy struct {
	Version    uint64
	Text       string
	MaxBrokers uint32 // slots are below this; each has its floors
	Budgets    []NodeBudget
}

// AcknowledgePolicy says that a broker keeps to the floors of this policy; while it waits, to the lower ones of it and the one before.
type AcknowledgePolicy struct {
	Slot        Slot
	Incarnation uint64
	Version     uint64
}

// LeaseRow is a number of units of a node, above the floor.
type LeaseRow struct {
	Node        NodeID
	Tenant      string
	Connections uint64
}

// GrantLease gives a broker units in place of what it had, under a lease that the granter's clock ends. Rows are in the order of
// Compare, without zeros. Numbers grow for a broker.
type GrantLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
	Rows        []LeaseRow
}

// AcknowledgeLease says that a broker holds this grant and nothing of older ones.
type AcknowledgeLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
}

// RelinquishLease says that a broker holds nothing above the floors any more, as it stops.
type RelinquishLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64 // its last grant
}

// ExpireLease says that the lease of a broker's last grant surely ran out.
type ExpireLease struct {
	Slot   Slot
	Number uint64
	Term   uint64
}

// NodeInfo is a line of the agreed list.
type NodeInfo struct {
	Node   NodeID
	Zone   string
	Shards []uint32
}

// SetNodeList is the agreed list of nodes, for pins and for the holders of shards.
type SetNodeList struct {
	Epoch            uint64
	MinReadyReplicas uint32 // ready holders that each shard keeps, whatever a plan says
	Nodes            []NodeInfo
}

// RaiseProtocol allows entries of a newer protocol: every broker can read them.
type RaiseProtocol struct{ Protocol uint64 }

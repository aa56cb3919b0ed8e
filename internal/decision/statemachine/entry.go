package statemachine

// Slot is a broker's place in the tier: small, given in the operators' file, never that of two brokers at once.
type Slot uint32

// ID names a proposal, so that it takes effect once however often it is sent. Incarnation and Seq only grow for a slot.
type ID struct {
	Slot        Slot
	Incarnation uint64
	Seq         uint64
}

// Entry is one of the types below.
type Entry interface {
	kind() kind
	fields(*codec)
	apply(*State) (uint64, error)
}

// Lead is the first entry of a new leader. Permits, advances, losses and expiries of other terms are refused from then on: the
// new leader must renew no lease before this is applied.
type Lead struct {
	Slot Slot
	Term uint64
}

// Register says that a broker is there under a new incarnation, which grows with each start and each session after a loss. It
// counts as out until its Return, except where it is new to the tier.
type Register struct {
	Slot        Slot
	Name        string
	Incarnation uint64
	Version     string
	Zone        string
	Protocol    uint64 // the newest entries it can read
}

// Lost says that a broker's lease surely ran out.
type Lost struct {
	Slot        Slot
	Incarnation uint64
	Term        uint64
}

// Forget is an operator's word that a broker never comes back: all that it held is free.
type Forget struct{ Slot Slot }

// Return says that a broker (after Register), or a node that went out, serves again.
type Return struct {
	Slot        Slot
	Incarnation uint64 // of a broker; for a node, the number of its permit or of the NodeDown: a late word ends nothing newer
	OnNode      bool
	Node        NodeID
}

// Plan begins a release, over Slots or, if there are any, over Nodes. It ends the one before, which must be over.
type Plan struct {
	Name     string
	From, To string // versions
	Slots    []Slot
	Nodes    []NodeID
	Batches  []uint32 // how many of the targets, in their order, are in the first batch, the first two, and so on; none: all in one
	Most     uint32   // out at once over the tier
	MostZone uint32   // and in a zone; 0: as Most
	Least    uint32   // ready holders that each shard keeps, for nodes
	PauseMS  uint64   // between batches, for the planner
	Gates    string   // for the planner
}

// Permit lets one target go out. Its number is the entry's index.
type Permit struct {
	Release     uint64
	Term        uint64
	Slot        Slot
	Incarnation uint64
	OnNode      bool
	Node        NodeID
}

// Use is the holder's word that it goes now. Only who saw it applied without an error may go.
type Use struct {
	Permit      uint64
	Slot        Slot
	Incarnation uint64
	OnNode      bool
	Node        NodeID
}

// Advance opens the next batch: all of the one before are back and the gates have passed.
type Advance struct {
	Release uint64
	Term    uint64
	Batch   uint32 // the one opened, counted from 0
}

// Halt stops a release: permits that were not used are void.
type Halt struct {
	Release uint64
	Reason  string
}

// Resume lets a halted release go on.
type Resume struct{ Release uint64 }

// Revert ends a release and begins its way back: a release over what it touched.
type Revert struct {
	Release uint64
	Reason  string
}

// DrainNode is an operator's drain, outside any release. Its number is the entry's index.
type DrainNode struct {
	Node   NodeID
	Reason string
}

// DrainAck says that a broker sends nothing more to a node.
type DrainAck struct {
	Slot        Slot
	Incarnation uint64
	Node        NodeID
	Number      uint64 // of the drain
}

// Undrain ends an operator's drain.
type Undrain struct{ Node NodeID }

// NodeDown says that a node which nobody let go is not ready. Return ends it.
type NodeDown struct {
	Node   NodeID
	Reason string
}

// Budget is what a node holds, and what each broker may take of it without asking.
type Budget struct {
	Node  NodeID
	Units uint64
	Floor uint64
}

// Policy is a new division. It takes over when all that may still be held fits it.
type Policy struct {
	Version     uint64
	Text        string
	MostBrokers uint32 // slots are below this; each has its floors
	Budgets     []Budget
}

// PolicyAck says that a broker keeps to the floors of this policy; while it waits, to the lower ones of it and the one before.
type PolicyAck struct {
	Slot        Slot
	Incarnation uint64
	Version     uint64
}

// Row is a number of units of a node, above the floor.
type Row struct {
	Node   NodeID
	Tenant string
	Units  uint64
}

// Grant gives a broker units in place of what it had, under a lease that the granter's clock ends. Rows are in the order of
// Compare, without zeros. Numbers grow for a broker.
type Grant struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
	Rows        []Row
}

// GrantAck says that a broker holds this grant and nothing of older ones.
type GrantAck struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
}

// GiveUp says that a broker holds nothing above the floors any more, as it stops.
type GiveUp struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64 // its last grant
}

// Expire says that the lease of a broker's last grant surely ran out.
type Expire struct {
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

// Epoch is the agreed list of nodes, for pins and for the holders of shards.
type Epoch struct {
	Number uint64
	Least  uint32 // ready holders that each shard keeps, whatever a plan says
	Nodes  []NodeInfo
}

// Gate allows entries of a newer protocol: every broker can read them.
type Gate struct{ Protocol uint64 }

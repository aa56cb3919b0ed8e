package statemachine

// ReleasePlan begins a release, over Slots or, if there are any, over Nodes. It replaces the one before, which must have ended.
type ReleasePlan struct {
	Name  string
	From  string // version
	To    string // version
	Slots []Slot
	Nodes []NodeID
	// Batches is how many of the targets, in their order, are in the first batch, in the first two, and so on; none: one batch.
	Batches          []uint32
	MaxOut           uint32 `json:"Most"`     // targets out at once over the tier
	MaxOutPerZone    uint32 `json:"MostZone"` // and in a zone; 0: as MaxOut
	MinReadyReplicas uint32 `json:"Least"`    // that each shard keeps, for nodes
	PauseMS          uint64 // between batches, in milliseconds, for the planner
	Gates            string // conditions on a batch, for the planner
}

// IssuePermit lets one target go out. The permit's number is the entry's index.
type IssuePermit struct {
	Release     uint64
	Term        uint64
	Slot        Slot
	Incarnation uint64
	ForNode     bool
	Node        NodeID
}

// UsePermit says that the permit's holder goes out now. It may go only after it saw this entry applied without an error.
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

// RollBackRelease ends a release and begins another that takes the targets it affected back to the version before.
type RollBackRelease struct {
	Release uint64
	Reason  string
}

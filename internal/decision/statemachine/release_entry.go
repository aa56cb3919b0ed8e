package statemachine

// ReleasePlan begins a release over either Slots or Nodes. It replaces the previous release, which must not be under way.
type ReleasePlan struct {
	Name  string
	From  string // version
	To    string // version
	Slots []Slot
	Nodes []NodeID
	// Batches are cumulative: how many targets, in order, are in the first batch, in the first two, and so on. Empty: one batch.
	Batches          []uint32
	MaxOut           uint32 `json:"Most"`     // maximum targets out at once in the tier
	MaxOutPerZone    uint32 `json:"MostZone"` // maximum targets out at once in a zone; 0: MaxOut
	MinReadyReplicas uint32 `json:"Least"`    // per shard, in a release of nodes
	PauseMS          uint64 // pause between batches, applied by the release planner
	Gates            string // "off" disables the gates of the release planner
}

// IssuePermit issues the permit with which one target may go out. The permit's number is the index of the entry.
type IssuePermit struct {
	Release     uint64
	Term        uint64
	Slot        Slot
	Incarnation uint64
	ForNode     bool
	Node        NodeID
}

// UsePermit announces that the permit's holder goes out. The holder may go only after it has seen this entry applied without an error.
type UsePermit struct {
	Permit      uint64
	Slot        Slot
	Incarnation uint64
	ForNode     bool
	Node        NodeID
}

// OpenNextBatch opens the next batch, once all targets of the open ones have returned and the gates have passed.
type OpenNextBatch struct {
	Release uint64
	Term    uint64
	Batch   uint32 // index of the batch to open, from 0
}

// HaltRelease halts a release and voids its unused permits.
type HaltRelease struct {
	Release uint64
	Reason  string
}

// ResumeRelease resumes a halted release.
type ResumeRelease struct{ Release uint64 }

// RollBackRelease ends a release and begins another that returns the affected targets to the previous version.
type RollBackRelease struct {
	Release uint64
	Reason  string
}

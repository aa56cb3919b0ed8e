package statemachine

// Standing is whether a broker serves.
type Standing uint8

const (
	Joining Standing = iota // new to the tier, not yet serving: counts as in no limit
	In
	Back // after an absence, not yet serving: counts as out
	Out  // went by a permit
	Gone // its lease ran out
)

func (s Standing) String() string {
	return [...]string{"joining", "in", "back", "out", "lost"}[min(s, Gone)]
}

// Broker is a line of the roster.
type Broker struct {
	Slot        Slot
	Name        string
	Incarnation uint64
	Version     string
	Zone        string
	Protocol    uint64
	Standing    Standing
	Served      bool   // it was in once: it counts where it is not
	Permit      uint64 // the one it holds; 0: none
	Since       uint64 // the entry that put it there
}

// Pass is a permit.
type Pass struct {
	Number      uint64
	Release     uint64
	OnNode      bool
	Slot        Slot // of a broker's permit
	Incarnation uint64
	Node        NodeID // of a node's
	Used        bool
}

// Course is how a release stands.
type Course uint8

const (
	Running Course = iota
	Halted
	Done
)

func (c Course) String() string {
	return [...]string{"running", "halted", "done"}[min(c, Done)]
}

// Stage is how far a step is.
type Stage uint8

const (
	Pending Stage = iota
	Permitted
	Used
	Finished
)

func (s Stage) String() string {
	return [...]string{"pending", "permitted", "out", "finished"}[min(s, Finished)]
}

// Step is one target of a release.
type Step struct {
	Slot    Slot
	Node    NodeID
	Stage   Stage
	Touched bool   // it went out by this release, or came back with its version
	Carried bool   // on a way back: it was out when that began, and may come back with either version
	Version string // that it came back with
}

// Release is a plan and how far it is.
type Release struct {
	Number uint64
	Plan
	OnNodes bool
	Course  Course
	Reason  string // why it was halted; of a way back, why that began
	Steps   []Step
	Batch   uint32 // the last that is open, from 0
	BackOf  uint64 // the release that this is the way back of; 0: none
	Changed uint64 // the entry that last changed it
}

// Drain is an agreed drain of a node.
type Drain struct {
	Node    NodeID
	Number  uint64
	Reason  string
	Release uint64   // 0: an operator's
	Acks    []Member // who sends nothing more
}

// Member is a broker under an incarnation.
type Member struct {
	Slot        Slot
	Incarnation uint64
}

// Holding is what a broker may hold above the floors.
type Holding struct {
	Incarnation uint64
	Number      uint64 // the newest grant; 0: none
	Granted     []Row
	Held        []Row // what it may still hold of older ones, row by row the greatest
	Acked       bool
	Ended       bool // it holds nothing: given up, or its lease ran out
}

// Node is an agreed node and how it stands.
type Node struct {
	NodeInfo
	Down   uint64 // not ready, without a permit: the entry that said so
	Drain  uint64 // 0: none
	Used   bool   // it is out by a permit
	Units  uint64 // above the floors, that brokers may hold
	Floors uint64 // reserved for all brokers
	Budget uint64 // by the policy in force
}

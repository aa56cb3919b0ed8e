package statemachine

// Slot is a broker's place in the tier: a small number from the operators' file, never that of two brokers at once.
type Slot uint32

// ProposalID names a proposal, so that it takes effect once however often it is sent. Incarnation and Sequence only grow for a slot.
type ProposalID struct {
	Slot        Slot
	Incarnation uint64
	Sequence    uint64
}

// Entry is one change to the state machine: a pointer to one of the exported types that have these methods.
type Entry interface {
	kind() kind
	fields(*codec)
	// apply changes the state, or returns a *RejectedError and has changed nothing. The number is Result.Number.
	apply(*State) (number uint64, err error)
}

// LeaderElected is the first entry of a new leader. Entries that name another term are rejected from then on; the new leader must
// renew no lease before this is applied.
type LeaderElected struct {
	Slot Slot
	Term uint64
}

// RegisterBroker announces a broker under a new incarnation, which grows with each start and each session after a loss. It counts
// as out until ReturnToService, except where it is new to the tier.
type RegisterBroker struct {
	Slot        Slot
	Name        string
	Incarnation uint64
	Version     string
	Zone        string
	Protocol    uint64 // the newest entries it can read
}

// MarkBrokerLost says that a broker's session lease has surely expired.
type MarkBrokerLost struct {
	Slot        Slot
	Incarnation uint64
	Term        uint64
}

// RemoveBroker is an operator's statement that a broker never comes back: it leaves the roster.
type RemoveBroker struct{ Slot Slot }

// ReturnToService says that a broker (after RegisterBroker), or a node that went out, serves again.
type ReturnToService struct {
	Slot Slot
	// Incarnation is the broker's; for a node it is the number of its permit or of the MarkNodeDown, so that a message that
	// comes late ends nothing newer.
	Incarnation uint64
	ForNode     bool
	Node        NodeID
}

// RaiseProtocol allows entries of a newer protocol, once every broker can read them.
type RaiseProtocol struct{ Protocol uint64 }

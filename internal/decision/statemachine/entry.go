package statemachine

// Slot identifies a broker within the tier: a small number from the operators' file, never shared by two brokers at once.
type Slot uint32

// ProposalID identifies a proposal, so that it takes effect once even if it is sent repeatedly. Incarnation and Sequence of a slot only
// increase.
type ProposalID struct {
	Slot        Slot
	Incarnation uint64
	Sequence    uint64
}

// Entry is one change to the state machine: a pointer to one of the exported types that implement these methods.
type Entry interface {
	kind() kind
	// fields encodes or decodes the fields of the entry.
	fields(*codec)
	// apply changes the state, or returns a *RejectedError and leaves it unchanged. The number becomes Result.Number.
	apply(*State) (number uint64, err error)
}

// LeaderElected is the first entry of a new leader. From then on, leader entries of another term are rejected. The new leader must not
// renew a lease before this entry is applied.
type LeaderElected struct {
	Slot Slot
	Term uint64
}

// RegisterBroker registers a broker under a new incarnation, which increases with each start and each session after the broker was lost.
// The broker counts as out until ReturnToService, unless it is new to the tier.
type RegisterBroker struct {
	Slot        Slot
	Name        string
	Incarnation uint64
	Version     string
	Zone        string
	Protocol    uint64 // newest protocol it can read
}

// MarkBrokerLost reports that a broker's session lease has certainly expired.
type MarkBrokerLost struct {
	Slot        Slot
	Incarnation uint64
	Term        uint64
}

// RemoveBroker removes a broker from the roster: an operator states that it never comes back.
type RemoveBroker struct{ Slot Slot }

// ReturnToService reports that a broker (after RegisterBroker), or a node that was out, serves again.
type ReturnToService struct {
	Slot Slot
	// Incarnation is the broker's. For a node it is the number of its permit or the index of the MarkNodeDown entry, so that a late
	// message cannot end a newer permit or outage.
	Incarnation uint64
	ForNode     bool
	Node        NodeID
}

// RaiseProtocol permits entries of a newer protocol. It is rejected until every broker can read them.
type RaiseProtocol struct{ Protocol uint64 }

// Package statemachine implements the replicated state machine of a tier: releases and their permits, drains of nodes, connection
// policies and leases, and the agreed node list. It applies the entries of the raft log in order; the same entries give the same
// snapshot bytes on every broker.
//
//	            State
//	brokers     status, incarnation, release permit, connection lease, acknowledged policy; by slot
//	nodes       zone, shards, down or not, release permit, drain, connections leased; by address
//	release     the plan, its state (running, halted, done) and a state for each step
//	policies    connection budgets by node: the policy in force, the waiting one, and older ones still in use
//	sessions    results of recent proposals by proposing slot, so that a proposal sent twice takes effect once
//	fences      the leader's term, the epoch of the node list, the tier's protocol
//
// Invariants that Apply keeps, whoever proposes:
//
//   - A permit is issued only while fewer other brokers (or nodes) are out or hold a permit than the running release allows, over the tier
//     and in the zone.
//   - A permit is used at most once, and never after its release was halted or rolled back.
//   - A broker that went out or was lost counts as out until it returns under a new incarnation.
//   - A node's drain begins only if each of its shards keeps its minimum of ready replicas. The node's permit can be used only once each
//     live broker has acknowledged the drain.
//   - At each node, connections that may be held by leases and those reserved for all brokers stay within the budget.
//   - Entries that only a leader may propose have no effect under another term than that of the last LeaderElected.
//
// The state machine has no clock and does no I/O: the leader measures time and proposes MarkBrokerLost or ExpireLease. After an entry
// that this program can't read, it applies no further ones. The texts in a RejectedError's Detail are part of the state (repeated
// proposals are answered with them, and snapshots contain them), so all versions in a tier must write the same texts.
//
// A broker joins with RegisterBroker and, once it serves, ReturnToService. A release begins with ReleasePlan. Each step is IssuePermit,
// UsePermit (the broker may go out only after it has seen this entry applied without an error), RegisterBroker under a new incarnation,
// and ReturnToService. A node's permit also begins its drain; its UsePermit is accepted once every live broker has acknowledged that.
//
//	s := statemachine.New()
//	id := statemachine.ProposalID{Slot: 3, Incarnation: 1, Sequence: 1}
//	r := s.Apply(index, statemachine.Encode(id, &statemachine.RegisterBroker{Slot: 3, ...}))
//	if r.Err != nil { ... }           // *RejectedError, *UnknownEntryError, *MalformedEntryError, *AlreadyAppliedError
//	p, ok := s.BrokerPermit(3)        // p.Number is the fencing token
//	same, err := statemachine.Restore(s.Snapshot())
//
// Concurrency: the package takes no locks and starts no goroutines; a State must be used by one goroutine at a time.
package statemachine

import "flaxfront/internal/decision"

// State is the state machine. It is not safe for concurrent use. The caller may change what queries return, unless their comment says
// otherwise.
type State struct {
	index            uint64
	stoppedBy        *UnknownEntryError
	term             uint64
	leader           Slot
	tierProtocol     uint64
	epoch            uint64
	minReadyReplicas uint32
	brokers          []*brokerRecord // sorted by slot
	nodes            []*nodeRecord   // sorted by address and port
	sessions         []*session      // sorted by slot
	release          *Release
	policies         []*ConnectionPolicy // those whose reserves brokers may still use, oldest first
	policyVersion    uint64              // of the policy in force; one with a higher version waits
	previousPolicy   *ConnectionPolicy   // in force before that one
}

// Result is the outcome of applying an entry.
type Result struct {
	Number    uint64 // of what the entry sets or names, such as a release, permit, drain, grant, epoch or term; 0: none
	Duplicate bool   // the proposal was applied before, and this is its earlier result
	Err       error
}

// New returns a state machine that has applied no entries.
func New() *State { return &State{tierProtocol: 1} }

// AppliedIndex returns the index of the last applied entry.
func (s *State) AppliedIndex() uint64 { return s.index }

// StoppedBy returns the error of the entry that this program could not read, or nil.
func (s *State) StoppedBy() *UnknownEntryError { return s.stoppedBy }

// Leader returns the slot and term of the last LeaderElected entry.
func (s *State) Leader() (leader Slot, term uint64) { return s.leader, s.term }

// TierProtocol returns the newest protocol whose entries may be proposed.
func (s *State) TierProtocol() uint64 { return s.tierProtocol }

// NodeID identifies a node.
type NodeID = decision.NodeID

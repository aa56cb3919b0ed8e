// Package statemachine is the replicated state machine of a tier: releases and their permits, drains of nodes, connection
// policies and leases, the agreed node list. Entries of the raft log are applied in their order; the same entries give the same
// bytes on every broker.
//
//	            State
//	brokers     status, incarnation, release permit, connection lease, acknowledged policy; by slot
//	nodes       zone, shards, down or not, release permit, drain, connections leased; by address
//	release     the plan, its state (running, halted, done) and a state for each step
//	policies    connection budgets by node: the one in force, the one that waits, older ones still in use
//	sessions    results of recent proposals by proposing slot, so that a proposal sent twice takes effect once
//	fences      the leader's term, the epoch of the node list, the tier's protocol
//
// Invariants, kept by Apply whoever proposes:
//
//   - At most as many brokers (or nodes) are out or hold an unused permit as the running release allows, over the tier and in a zone.
//   - A permit is used at most once, and never after its release was halted or rolled back.
//   - A broker that went out or was lost counts as out until it returns under a new incarnation.
//   - A node leaves only when each shard keeps its minimum of ready replicas and each live broker has acknowledged the drain.
//   - At each node, connections that may be held by leases and those reserved for all brokers stay within the budget.
//   - Entries that only a leader may propose have no effect under another term than that of the last LeaderElected.
//
// The machine has no clock and does no I/O: the leader measures time, and proposes MarkBrokerLost or ExpireLease. After an entry
// that this program can't read it applies nothing more. Texts in a RejectedError's Detail are part of the state (a repeated
// proposal is answered with them, and snapshots hold them), so all versions in a tier must write the same ones.
//
// A broker comes with RegisterBroker and, once it serves, ReturnToService. A release begins with ReleasePlan; each step is
// IssuePermit, UsePermit (only who saw it applied without an error may go), RegisterBroker under a new incarnation,
// ReturnToService. A node's permit is a drain at once; its UsePermit is accepted when every live broker has acknowledged.
//
//	s := statemachine.New()
//	id := statemachine.ProposalID{Slot: 3, Incarnation: 1, Sequence: 1}
//	r := s.Apply(index, statemachine.Encode(id, &statemachine.RegisterBroker{Slot: 3, ...}))
//	if r.Err != nil { ... }           // *RejectedError, *UnknownEntryError, *MalformedEntryError, *AlreadyAppliedError
//	p, ok := s.BrokerPermit(3)        // p.Number fences it; p.Used
//	same, err := statemachine.Restore(s.Snapshot())
//
// Concurrency: nothing here locks or starts a goroutine; a State is used by one goroutine at a time.
package statemachine

import "flaxfront/internal/decision"

// State is the machine. It is not safe for use by several goroutines; what queries return is the caller's own unless they say so.
type State struct {
	index            uint64
	stoppedBy        *UnknownEntryError
	term             uint64
	leader           Slot
	tierProtocol     uint64
	epoch            uint64
	minReadyReplicas uint32
	brokers          []*brokerRecord // by slot
	nodes            []*nodeRecord   // by node
	sessions         []*session      // by slot
	release          *Release
	policies         []*ConnectionPolicy // those whose reserves brokers may still use, oldest first
	policyVersion    uint64              // version of the policy in force; a newer one waits
	previousPolicy   *ConnectionPolicy   // the one in force before it
}

// Result is what became of an entry.
type Result struct {
	Number    uint64 // of the release, permit, drain or grant; else 0
	Duplicate bool   // the proposal had been applied before: this is the result it had
	Err       error
}

// New is a machine that has applied nothing.
func New() *State { return &State{tierProtocol: 1} }

// AppliedIndex is the index of the last entry applied.
func (s *State) AppliedIndex() uint64 { return s.index }

// StoppedBy is the entry that this program could not read, or nil.
func (s *State) StoppedBy() *UnknownEntryError { return s.stoppedBy }

// Leader is who proposed the last LeaderElected, and its term.
func (s *State) Leader() (leader Slot, term uint64) { return s.leader, s.term }

// TierProtocol is the newest protocol whose entries may be proposed.
func (s *State) TierProtocol() uint64 { return s.tierProtocol }

// NodeID names a node.
type NodeID = decision.NodeID

// Package statemachine is what the brokers of a tier agree on: a deterministic state machine of releases and their permits, drains of
// nodes, grants of a node's units, policies and epochs of the list. Entries come in the agreed order; the same entries give the
// same bytes on every broker. It has no clock: whoever leads measures, and proposes Lost or Expire. The limits are kept in Apply,
// so that no leader, however mistaken or late, can break them. It must never do I/O, read a clock or go on after an entry that it
// can't read.
//
// A broker comes with Register and, once it serves, Return. A release begins with Plan; each step is a Permit, the holder's Use
// (only who saw its Use applied without an error may go), Register under a new incarnation, Return. A node's permit is a drain at
// once; its Use is accepted when every living broker has acknowledged. Halt makes unused permits void. A broker's units are what
// it may still hold and what it is granted, row by row the greater, until it acknowledges the newest grant or Expire comes.
//
//	s := ledger.New()
//	r := s.Apply(index, ledger.Encode(ledger.ID{Slot: 3, Incarnation: 1, Seq: 1}, &ledger.Register{Slot: 3, ...}))
//	if r.Err != nil { ... }           // *Refused, *Unknown, *Malformed, *Replayed
//	p, ok := s.Permit(3)              // p.Number fences it; p.Used
//	same, err := ledger.Restore(s.Snapshot())
//
// Depends on decision. Concurrency: nothing here locks or starts a goroutine; a value is used by one
// goroutine at a time.
package statemachine

import "flaxfront/internal/decision"

// State is the machine. It is not safe for use by several goroutines; what queries return is the caller's own unless they say so.
type State struct {
	index    uint64
	stopped  *UnknownEntryError
	term     uint64
	leader   Slot
	gate     uint64
	epoch    uint64
	least    uint32
	brokers  []*member // by slot
	nodes    []*node   // by node
	sessions []*session
	release  *Release
	policies []*ConnectionPolicy // what brokers may still keep the floors of, oldest first
	current  uint64              // version of the policy in force; a newer one waits
	before   *ConnectionPolicy   // the one in force before it
}

// Result is what became of an entry.
type Result struct {
	Number    uint64 // of the release, permit, drain or grant; else 0
	Duplicate bool   // the proposal had been applied before: this is the result it had
	Err       error
}

// New is a machine that has applied nothing.
func New() *State { return &State{gate: 1} }

// AppliedIndex is the last entry applied.
func (s *State) AppliedIndex() uint64 { return s.index }

// StoppedBy is the entry that this program could not read, or nil.
func (s *State) StoppedBy() *UnknownEntryError { return s.stopped }

// Leader is who proposed the last Lead, and its term.
func (s *State) Leader() (Slot, uint64) { return s.leader, s.term }

// TierProtocol is the newest protocol that may be proposed.
func (s *State) TierProtocol() uint64 { return s.gate }

// NodeID names a node.
type NodeID = decision.NodeID

// Package consensus brings 1, 3 or 5 voters to one sequence of entries: Raft, by go.etcd.io/raft, driven from outside. It adds the
// rules of time (elections, the leader's lease, what a process does that was stopped and wakes up), the order of saving and sending,
// and limits on what is in progress. It has no goroutine, clock, socket or file of its own, so that the same code runs in virtual time.
//
// # A turn
//
// The caller hands in what happened, any number of calls, and then calls ProcessReady once; these calls share one fsync:
//
//	Step         a message of another voter  --+
//	Propose      an entry to be committed      |
//	ReadIndex    a linearizable read           +-->  ProcessReady:  1. Storage.Save: entries, hard state, a leader's snapshot
//	Tick         the time                    --+                   2. messages into the outbox
//	                                                               3. StateMachine.Apply of what is committed
//	                                                               4. a snapshot, where enough was applied
//	                                                               returns the outbox; then CompletedReads has answers
//
// No message leaves before what it vouches for is durable. A voter whose storage fails, or whose state contradicts what it is told,
// stops for good; the process around it goes on (Node.Err says why). Errors are types with a remedy.
//
// What is stored and read at a start is described in package raftlog. A Node is for one goroutine.
package consensus

import (
	"math"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Storage keeps what a voter may not forget.
type Storage interface {
	// Load is called once, before Save. hard and snap may be nil.
	Load() (hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, err error)
	// Save returns nil once everything that it was given is durable; once it has failed it fails for ever. hard and snap may be
	// nil. entries follow on each other, and replace what was stored from the first one's index on. A snapshot comes before the
	// entries of the same call: entries up to its index are dropped, and those after it too, unless the log agrees with the
	// snapshot at its index.
	Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error
}

// StateMachine is what the entries are for. After a restart it is restored from the last snapshot and gets the entries after it again.
// The same entries must lead to the same bytes of Snapshot on all voters.
type StateMachine interface {
	Apply(index uint64, data []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Packet is a message for another voter. Any may be lost, doubled or late.
type Packet struct {
	To   uint64
	Data []byte
}

// Never is the time of nothing that is due.
const Never = time.Duration(math.MaxInt64)

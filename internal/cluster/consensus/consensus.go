// Package consensus lets 1, 3 or 5 voters agree on one sequence of log entries. It drives the Raft implementation of go.etcd.io/raft
// and adds timing (elections, the leader's lease, resuming after the process was paused), the order of saving and sending, and limits
// on work in progress. It has no goroutine, clock, socket or file of its own, so that tests run the same code in virtual time.
//
// # Processing
//
// The caller hands in inputs by any number of calls, then calls ProcessReady once. All inputs before one ProcessReady share an fsync:
//
//	Step         message of another voter    --+
//	Propose      entry to be committed         |
//	ReadIndex    linearizable read             +-->  ProcessReady:  1. Storage.Save: entries, hard state, a leader's snapshot
//	Tick         current time                --+                   2. puts messages into the outbox
//	                                                               3. StateMachine.Apply of committed entries
//	                                                               4. takes a snapshot, if enough was applied since the last
//	                                                               returns the outbox; CompletedReads then returns answers
//
// No message is sent before the state that it acknowledges is durable. A voter whose storage fails, or whose state contradicts what
// other voters send, stops permanently; the rest of the process goes on (Node.Err returns the cause). Each error type has a Remedy.
//
// Package raftlog describes what is stored, and what is read at a start. A Node must be used by one goroutine only.
package consensus

import (
	"math"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Storage keeps the state that a voter must not lose.
type Storage interface {
	// Load returns the stored state. It is called once, before Save. hard and snap may be nil.
	Load() (hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, err error)
	// Save returns nil once everything that it was given is durable. After a failure all later calls fail too. hard and snap may
	// be nil. entries have consecutive indexes and replace all stored entries from the first one's index on. The snapshot is
	// applied before the entries of the same call: it drops the entries up to its index, and also those after it unless the
	// log holds the entry that the snapshot ends with.
	Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error
}

// StateMachine is the replicated state machine that committed entries are applied to. After a restart it is restored from the last
// snapshot, and the entries after that snapshot are applied again. The same entries must produce the same Snapshot bytes on all voters.
type StateMachine interface {
	Apply(index uint64, data []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Packet is a message, or a chunk of one, for another voter. Packets may be lost, duplicated or delayed.
type Packet struct {
	To   uint64
	Data []byte
}

// Never is returned as the next time to call Tick where nothing is due.
const Never = time.Duration(math.MaxInt64)

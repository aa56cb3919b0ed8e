package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// readTimeoutElections is how many election timeouts a read may take.
const readTimeoutElections = 2

// ReadResult is the answer to a ReadIndex: StateMachine may be read now, unless Err tells that it could not be confirmed.
type ReadResult struct {
	RequestContext []byte // as it was given
	Index          uint64 // that StateMachine has applied at least
	Err            error
}

// reads are the linearizable reads in progress. A read is answered with an index that was committed when it was requested, confirmed
// by a majority since, and applied here.
type reads struct {
	voterID   uint64
	startID   uint64        // tells the reads of this start from those before, whose answers may still be on the way
	sequence  uint64        // of the last read
	pending   []pendingRead // oldest first
	completed []ReadResult
}

type pendingRead struct {
	key       string // for raft
	context   []byte
	deadline  time.Duration
	confirmed bool
	index     uint64 // where it is confirmed
}

func newReads(voterID, startID uint64) reads { return reads{voterID: voterID, startID: startID} }

// nextDeadline is when the oldest read expires.
func (r *reads) nextDeadline() time.Duration {
	if len(r.pending) == 0 {
		return Never
	}
	return r.pending[0].deadline
}

// ReadIndex requests a linearizable read, on any voter; requestContext comes back in CompletedReads, within two election timeouts. It
// returns *StoppedError, *NotLeaderError where no leader is known, or *BusyError.
func (n *Node) ReadIndex(requestContext []byte) error {
	switch {
	case n.state != running:
		return &StoppedError{Cause: n.failure}
	case n.Leader() == 0:
		return &NotLeaderError{}
	case len(n.reads.pending) >= n.config.MaxPendingReads:
		return &BusyError{Limit: n.config.MaxPendingReads}
	}
	defer n.recoverPanic()
	key := n.reads.add(requestContext, n.now+readTimeoutElections*n.config.ElectionTimeout)
	n.raft.ReadIndex(key)
	return nil
}

// CompletedReads returns what was answered since the last call. Call it after ProcessReady.
func (n *Node) CompletedReads() []ReadResult {
	completed := n.reads.completed
	n.reads.completed = nil
	return completed
}

// add returns the key under which raft answers a read.
func (r *reads) add(requestContext []byte, deadline time.Duration) (key []byte) {
	r.sequence++
	key = binary.BigEndian.AppendUint64(key, r.voterID)
	key = binary.BigEndian.AppendUint64(key, r.startID)
	key = binary.BigEndian.AppendUint64(key, r.sequence)
	r.pending = append(r.pending, pendingRead{key: string(key), context: requestContext, deadline: deadline})
	return key
}

// confirm records what a majority has confirmed.
func (r *reads) confirm(states []raft.ReadState) {
	for _, s := range states {
		i := slices.IndexFunc(r.pending, func(p pendingRead) bool { return p.key == string(s.RequestCtx) })
		if i >= 0 {
			r.pending[i].confirmed = true
			r.pending[i].index = s.Index
		}
	}
}

// complete answers what is confirmed and applied.
func (r *reads) complete(appliedIndex uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(p pendingRead) bool {
		ready := p.confirmed && p.index <= appliedIndex
		if ready {
			r.completed = append(r.completed, ReadResult{RequestContext: p.context, Index: p.index})
		}
		return ready
	})
}

// expire answers what has waited too long.
func (r *reads) expire(now time.Duration) {
	for len(r.pending) > 0 && r.pending[0].deadline <= now {
		r.completed = append(r.completed, ReadResult{RequestContext: r.pending[0].context, Err: &ReadTimeoutError{}})
		r.pending = r.pending[1:]
	}
}

// failAll answers all reads with an error.
func (r *reads) failAll(err error) {
	for _, p := range r.pending {
		r.completed = append(r.completed, ReadResult{RequestContext: p.context, Err: err})
	}
	r.pending = nil
}

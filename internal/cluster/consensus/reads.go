package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// readTimeoutElections is the time limit of a read, in election timeouts.
const readTimeoutElections = 2

// ReadResult is the answer to a ReadIndex call. If Err is nil, StateMachine can be read now.
type ReadResult struct {
	RequestContext []byte // as passed to ReadIndex
	Index          uint64 // StateMachine has applied the log at least up to this index
	Err            error
}

// reads holds the linearizable reads in progress. A read is answered with an index that was committed when the read was requested,
// that a majority has confirmed since, and that is applied here.
type reads struct {
	voterID   uint64
	startID   uint64        // distinguishes reads of this start from earlier ones, whose answers may still arrive
	sequence  uint64        // of the last read
	pending   []pendingRead // oldest first
	completed []ReadResult
}

type pendingRead struct {
	key       string // identifies the read in raft
	context   []byte
	deadline  time.Duration
	confirmed bool
	index     uint64 // set if confirmed
}

func newReads(voterID, startID uint64) reads { return reads{voterID: voterID, startID: startID} }

// nextDeadline returns when the oldest read expires.
func (r *reads) nextDeadline() time.Duration {
	if len(r.pending) == 0 {
		return Never
	}
	return r.pending[0].deadline
}

// ReadIndex requests a linearizable read, on any voter. CompletedReads returns the result with requestContext within two election
// timeouts. ReadIndex returns *StoppedError, *NotLeaderError if no leader is known, or *BusyError.
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

// CompletedReads returns the reads completed since the last call. Call it after ProcessReady.
func (n *Node) CompletedReads() []ReadResult {
	completed := n.reads.completed
	n.reads.completed = nil
	return completed
}

// add registers a read and returns the key that identifies it in raft.
func (r *reads) add(requestContext []byte, deadline time.Duration) (key []byte) {
	r.sequence++
	key = binary.BigEndian.AppendUint64(key, r.voterID)
	key = binary.BigEndian.AppendUint64(key, r.startID)
	key = binary.BigEndian.AppendUint64(key, r.sequence)
	r.pending = append(r.pending, pendingRead{key: string(key), context: requestContext, deadline: deadline})
	return key
}

// confirm records the reads that a majority has confirmed.
func (r *reads) confirm(states []raft.ReadState) {
	for _, s := range states {
		i := slices.IndexFunc(r.pending, func(p pendingRead) bool { return p.key == string(s.RequestCtx) })
		if i >= 0 {
			r.pending[i].confirmed = true
			r.pending[i].index = s.Index
		}
	}
}

// complete answers the reads that are confirmed and whose index is applied.
func (r *reads) complete(appliedIndex uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(p pendingRead) bool {
		ready := p.confirmed && p.index <= appliedIndex
		if ready {
			r.completed = append(r.completed, ReadResult{RequestContext: p.context, Index: p.index})
		}
		return ready
	})
}

// expire fails the reads whose deadline has passed.
func (r *reads) expire(now time.Duration) {
	for len(r.pending) > 0 && r.pending[0].deadline <= now {
		r.completed = append(r.completed, ReadResult{RequestContext: r.pending[0].context, Err: &ReadTimeoutError{}})
		r.pending = r.pending[1:]
	}
}

// failAll fails all pending reads with err.
func (r *reads) failAll(err error) {
	for _, p := range r.pending {
		r.completed = append(r.completed, ReadResult{RequestContext: p.context, Err: err})
	}
	r.pending = nil
}

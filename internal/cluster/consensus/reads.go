package consensus

// This file owns linearizable reads: an index that was committed when the read was asked, confirmed by a majority since,
// and applied here.

import (
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// ReadResult is the answer to a ReadIndex: Machine may be read now, unless Err tells that it could not be confirmed.
type ReadResult struct {
	RequestContext []byte
	Index          uint64
	Err            error
}

type reads struct {
	id, birth, seq uint64
	asked          []askedRead // oldest first
	done           []ReadResult
}

type askedRead struct {
	key       string
	ctx       []byte
	until     time.Duration
	confirmed bool
	index     uint64
}

// start sets what tells this start's reads from those of an earlier one: its answers may still be on the way.
func (r *reads) start(id, birth uint64) { r.id, r.birth = id, birth }

func (r *reads) due() time.Duration {
	if len(r.asked) == 0 {
		return Never
	}
	return r.asked[0].until
}

// ReadIndex asks for a linearizable read, on any voter; ctx comes back in Reads, within two Elections.
func (n *Node) ReadIndex(ctx []byte) error {
	switch {
	case n.failed != nil || n.stopped:
		return &StoppedError{n.failed}
	case n.Leader() == 0:
		return &NotLeaderError{}
	case len(n.reads.asked) >= n.cfg.MaxPendingReads:
		return &BusyError{n.cfg.MaxPendingReads}
	}
	defer n.guard()
	r := &n.reads
	r.seq++
	var key []byte
	for _, part := range []uint64{r.id, r.birth, r.seq} {
		key = binary.BigEndian.AppendUint64(key, part)
	}
	r.asked = append(r.asked, askedRead{key: string(key), ctx: ctx, until: n.now + 2*n.cfg.ElectionTimeout})
	n.raft.ReadIndex(key)
	return nil
}

// CompletedReads returns what was answered since the last call. Call it after Out.
func (n *Node) CompletedReads() []ReadResult {
	done := n.reads.done
	n.reads.done = nil
	return done
}

func (r *reads) confirm(states []raft.ReadState) {
	for _, s := range states {
		i := slices.IndexFunc(r.asked, func(a askedRead) bool { return a.key == string(s.RequestCtx) })
		if i >= 0 {
			r.asked[i].confirmed, r.asked[i].index = true, s.Index
		}
	}
}

// applied answers what is confirmed and applied.
func (r *reads) applied(index uint64) {
	r.asked = slices.DeleteFunc(r.asked, func(a askedRead) bool {
		ready := a.confirmed && a.index <= index
		if ready {
			r.done = append(r.done, ReadResult{RequestContext: a.ctx, Index: a.index})
		}
		return ready
	})
}

func (r *reads) expire(now time.Duration) {
	for len(r.asked) > 0 && r.asked[0].until <= now {
		r.done = append(r.done, ReadResult{RequestContext: r.asked[0].ctx, Err: &ReadTimeoutError{}})
		r.asked = r.asked[1:]
	}
}

func (r *reads) close(err error) {
	for _, a := range r.asked {
		r.done = append(r.done, ReadResult{RequestContext: a.ctx, Err: err})
	}
	r.asked = nil
}

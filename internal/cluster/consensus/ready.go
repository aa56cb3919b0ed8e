package consensus

// This file owns the order of things: save, then send and apply.

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var stable = proto.MarshalOptions{Deterministic: true}

// accepted are the messages that voters send each other. Proposals come through Propose only, and what raft sends itself
// never comes from outside.
var accepted = []pb.MessageType{pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp,
	pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgSnap, pb.MsgReadIndex, pb.MsgReadIndexResp, pb.MsgTimeoutNow}

// Step takes a message of another voter; from is who the link says it is. An error means that it was dropped.
func (n *Node) Step(from uint64, msg []byte, now time.Duration) error {
	n.advance(now)
	if n.failed != nil || n.stopped {
		return &StoppedError{n.failed}
	}
	m := &pb.Message{}
	if !slices.Contains(n.cfg.Voters, from) {
		n.RejectedMessages++
		return &InvalidMessageError{From: from, Err: errors.New("it is no voter")}
	}
	data, err := n.parts.whole(from, msg)
	if err == nil && data == nil {
		return nil
	}
	if err == nil {
		err = proto.Unmarshal(data, m)
	}
	switch {
	case err != nil:
	case m.GetFrom() != from || m.GetTo() != n.cfg.ID || from == n.cfg.ID:
		err = fmt.Errorf("from %d to %d by the link of %d", m.GetFrom(), m.GetTo(), from)
	case !slices.Contains(accepted, m.GetType()):
		err = fmt.Errorf("of type %v", m.GetType())
	case m.GetType() == pb.MsgSnap && !slices.Equal(m.GetSnapshot().GetMetadata().GetConfState().GetVoters(), n.cfg.Voters):
		err = fmt.Errorf("a snapshot of voters %v", m.GetSnapshot().GetMetadata().GetConfState().GetVoters())
	}
	if err != nil {
		n.RejectedMessages++
		return &InvalidMessageError{From: from, Err: err}
	}
	defer n.guard()
	if err := n.raft.Step(m); err != nil {
		return &InvalidMessageError{From: from, Err: err}
	}
	n.turn()
	n.heardOf(m)
	return nil
}

// ProcessReady saves, applies what is committed and returns what is to be sent. After Step, Propose, Tick and ReadIndex it must be
// called before the caller waits.
func (n *Node) ProcessReady() []Packet {
	n.work()
	out := n.out
	n.out, n.outBytes = nil, 0
	if n.failed != nil || n.stopped {
		return nil
	}
	return out
}

func (n *Node) work() {
	defer n.guard()
	for n.failed == nil && !n.stopped && n.raft.HasReady() {
		rd := n.raft.Ready()
		if err := n.save(rd); err != nil {
			n.fail(err)
			return
		}
		for _, m := range rd.Messages {
			n.send(m)
		}
		n.apply(rd.CommittedEntries)
		n.reads.confirm(rd.ReadStates)
		n.raft.Advance(rd)
		n.turn()
	}
	n.reads.applied(n.applied)
	n.compact()
}

// save makes last what this step's messages vouch for. A commit index alone isn't saved: raft finds it again from the
// leader, and to save it would double the fsyncs. An error stops the voter for good: what a failed fsync left on disk is not
// known, so to vote or acknowledge after it could take back what was promised before.
func (n *Node) save(rd raft.Ready) error {
	if !raft.IsEmptyHardState(rd.HardState) {
		n.hard = rd.HardState
	}
	snap := rd.Snapshot
	if raft.IsEmptySnap(snap) {
		snap = nil
	}
	if snap == nil && len(rd.Entries) == 0 && !rd.MustSync {
		return nil
	}
	if err := n.cfg.Storage.Save(n.hard, rd.Entries, snap); err != nil {
		return &StorageError{err}
	}
	if snap != nil {
		if err := n.log.ApplySnapshot(snap); err != nil {
			return &InconsistentStateError{err.Error()}
		}
		if err := n.cfg.StateMachine.Restore(snap.GetData()); err != nil {
			return &InconsistentStateError{fmt.Sprintf("the leader's snapshot can't be restored: %v", err)}
		}
		n.applied, n.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	}
	n.added = 0
	n.log.SetHardState(n.hard)
	return n.log.Append(rd.Entries)
}

func (n *Node) send(m *pb.Message) {
	data, err := stable.MarshalAppend([]byte{letterWhole}, m)
	if err != nil {
		return // as if lost on the way
	}
	if m.GetType() == pb.MsgSnap {
		n.snapSent[m.GetTo()] = n.now
		if len(data) > n.cfg.SnapshotChunkBytes && len(data) <= mostWhole {
			n.parts.out[m.GetTo()] = &outgoing{number: n.rnd.Uint64(), data: data[1:]}
			return
		}
	}
	n.put(Packet{m.GetTo(), data})
}

// put drops what would exceed the limit, as a network may.
func (n *Node) put(p Packet) {
	if n.outBytes+len(p.Data) > n.cfg.MaxOutboxBytes && len(n.out) > 0 {
		return
	}
	n.out = append(n.out, p)
	n.outBytes += len(p.Data)
}

func (n *Node) apply(entries []*pb.Entry) {
	for _, e := range entries {
		if e.GetType() != pb.EntryNormal {
			panic(fmt.Sprintf("entry %d of type %v, which no voter writes", e.GetIndex(), e.GetType()))
		}
		if len(e.GetData()) > 0 {
			n.cfg.StateMachine.Apply(e.GetIndex(), e.GetData())
		}
		n.applied, n.appliedTerm = e.GetIndex(), e.GetTerm()
		n.bytes += len(e.GetData())
	}
}

// compact replaces the older part of the log by a snapshot.
func (n *Node) compact() {
	if n.failed != nil || n.stopped || n.applied == n.snapped ||
		n.applied-n.snapped < n.cfg.SnapshotEntries && n.bytes < n.cfg.SnapshotBytes {
		return
	}
	defer n.guard()
	snap, err := n.log.CreateSnapshot(n.applied, n.conf, n.cfg.StateMachine.Snapshot())
	if err == nil {
		err = n.cfg.Storage.Save(n.hard, nil, snap)
	}
	if err != nil {
		n.fail(&StorageError{err})
		return
	}
	n.snapped, n.bytes = n.applied, 0
	first, _ := n.log.FirstIndex()
	if n.applied > first+n.cfg.TrailingEntries {
		n.log.Compact(n.applied - n.cfg.TrailingEntries)
	}
}

// fail stops this voter for good.
func (n *Node) fail(err error) {
	if n.failed == nil {
		n.failed, n.lead, n.out = err, false, nil
		n.reads.close(&StoppedError{err})
	}
}

// guard turns a panic of raft into the end of this voter. raft panics where its state contradicts what a peer says, such as
// after a voter's directory was lost; the broker around it must go on serving. It also covers faults of Machine, which must
// not go on applying either.
func (n *Node) guard() {
	if p := recover(); p != nil {
		n.fail(&InconsistentStateError{fmt.Sprint(p)})
	}
}

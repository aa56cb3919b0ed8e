package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// ProcessReady saves new state, applies committed entries and returns the packets to send. After Step, Propose, Tick or ReadIndex it
// must be called before the caller waits for further input.
func (n *Node) ProcessReady() []Packet {
	n.processAll()
	packets := n.outbox
	n.outbox = nil
	n.outboxBytes = 0
	if n.state != running {
		return nil
	}
	return packets
}

func (n *Node) processAll() {
	defer n.recoverPanic()
	for n.state == running && n.raft.HasReady() {
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
		n.updateRole()
	}
	n.reads.complete(n.appliedIndex)
	n.compact()
}

// save makes durable the state that the messages of rd acknowledge. A change of the commit index alone isn't saved: raft learns it again
// from the leader, and saving it would double the fsyncs. An error stops the voter permanently: it is unknown what a failed fsync left
// on disk, so a later vote or acknowledgement could contradict an earlier one.
func (n *Node) save(rd raft.Ready) error {
	if !raft.IsEmptyHardState(rd.HardState) {
		n.hardState = rd.HardState
	}
	snap := rd.Snapshot
	if raft.IsEmptySnap(snap) {
		snap = nil
	}
	if snap == nil && len(rd.Entries) == 0 && !rd.MustSync {
		return nil
	}
	if err := n.config.Storage.Save(n.hardState, rd.Entries, snap); err != nil {
		return &StorageError{Err: err}
	}
	if snap != nil {
		if err := n.installSnapshot(snap); err != nil {
			return err
		}
	}
	n.unsavedProposals = 0
	n.log.SetHardState(n.hardState)
	return n.log.Append(rd.Entries)
}

// installSnapshot replaces log and state by a leader's snapshot, which is already saved.
func (n *Node) installSnapshot(snap *pb.Snapshot) error {
	if err := n.log.ApplySnapshot(snap); err != nil {
		return &InconsistentStateError{Detail: err.Error()}
	}
	if err := n.config.StateMachine.Restore(snap.GetData()); err != nil {
		return &InconsistentStateError{Detail: fmt.Sprintf("restoring the leader's snapshot failed: %v", err)}
	}
	index := snap.GetMetadata().GetIndex()
	n.appliedIndex = index
	n.snapshotIndex = index
	return nil
}

// apply passes committed entries to the state machine, except the empty ones that raft adds.
func (n *Node) apply(entries []*pb.Entry) {
	for _, e := range entries {
		if e.GetType() != pb.EntryNormal {
			panic(fmt.Sprintf("entry %d has type %v, which no voter writes", e.GetIndex(), e.GetType()))
		}
		if len(e.GetData()) > 0 {
			n.config.StateMachine.Apply(e.GetIndex(), e.GetData())
		}
		n.appliedIndex = e.GetIndex()
		n.appliedTerm = e.GetTerm()
		n.bytesSinceSnapshot += len(e.GetData())
	}
}

// compact replaces the older part of the log by a snapshot if enough entries were applied since the last one.
func (n *Node) compact() {
	applied := n.appliedIndex - n.snapshotIndex
	due := applied >= n.config.SnapshotEntries || n.bytesSinceSnapshot >= n.config.SnapshotBytes
	if n.state != running || applied == 0 || !due {
		return
	}
	defer n.recoverPanic()
	snap, err := n.log.CreateSnapshot(n.appliedIndex, n.confState, n.config.StateMachine.Snapshot())
	if err == nil {
		err = n.config.Storage.Save(n.hardState, nil, snap)
	}
	if err != nil {
		n.fail(&StorageError{Err: err})
		return
	}
	n.snapshotIndex = n.appliedIndex
	n.bytesSinceSnapshot = 0
	first, _ := n.log.FirstIndex()
	if n.appliedIndex > first+n.config.TrailingEntries {
		n.log.Compact(n.appliedIndex - n.config.TrailingEntries)
	}
}

package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// nodeState is the life of a Node: it runs until it fails or is stopped, and never runs again.
type nodeState uint8

const (
	running nodeState = iota
	failed
	stopped
)

// role is a voter's part in a term, as it was after the last call.
type role uint8

const (
	follower role = iota // or candidate
	leader
)

// Node is one voter.
type Node struct {
	RejectedMessages uint64 // dropped by Step

	config    Config
	raft      *raft.RawNode
	log       *raft.MemoryStorage // what Storage holds, for raft to read
	confState *pb.ConfState
	random    *rand.Rand

	state   nodeState
	failure error // of failed
	role    role

	// Times on the caller's clock.
	now           time.Duration // of the last call
	leaderContact time.Duration // last message of the leader
	campaignAt    time.Duration // of a follower
	nextHeartbeat time.Duration // of a leader
	leaderSince   time.Duration
	resignations  uint64 // as leader, after oversleeping

	hardState          *pb.HardState
	unsavedProposals   uint64 // proposed since the last save
	appliedIndex       uint64
	appliedTerm        uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int // applied

	outbox         []Packet
	outboxBytes    int
	snapshotSentAt map[uint64]time.Duration // last part of a snapshot that the voter has not confirmed
	chunks         chunks
	reads          reads
}

// New makes a voter of what Storage holds. now is any clock that doesn't run backwards; the same one is used in all calls.
func New(config Config, now time.Duration) (*Node, error) {
	config.Voters = slices.Sorted(slices.Values(config.Voters))
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		config:         config,
		log:            raft.NewMemoryStorage(),
		confState:      &pb.ConfState{Voters: config.Voters},
		random:         rand.New(rand.NewPCG(config.Seed, config.ID)),
		now:            now,
		snapshotSentAt: map[uint64]time.Duration{},
		chunks:         newChunks(),
	}
	if err := n.load(); err != nil {
		return nil, err
	}
	n.reads = newReads(config.ID, n.random.Uint64())
	var err error
	n.raft, err = newRaft(config.raftConfig(n.log))
	if err != nil {
		return nil, err
	}
	n.campaignAt = now + n.randomElectionTimeout()
	return n, nil
}

// newRaft turns raft's panic over a log that contradicts itself into an error.
func newRaft(c *raft.Config) (r *raft.RawNode, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &InconsistentStateError{Detail: fmt.Sprint(p)}
		}
	}()
	return raft.NewRawNode(c)
}

// load fills memory and state machine with what the storage holds.
func (n *Node) load() error {
	hard, entries, snap, err := n.config.Storage.Load()
	if err != nil {
		return err
	}
	snap, err = n.restoreStored(snap)
	if err != nil {
		return err
	}
	index := snap.GetMetadata().GetIndex()
	n.appliedIndex = index
	n.snapshotIndex = index
	if err := n.log.ApplySnapshot(snap); err != nil {
		return &InconsistentStateError{Detail: err.Error()}
	}
	if err := n.log.Append(entries); err != nil {
		return &InconsistentStateError{Detail: err.Error()}
	}
	if hard == nil {
		hard = &pb.HardState{}
	}
	// The commit index is not saved by itself, so that it may lag behind the snapshot.
	hard.Commit = new(max(hard.GetCommit(), index))
	n.hardState = hard
	if raft.IsEmptyHardState(hard) {
		return nil
	}
	return n.log.SetHardState(hard)
}

// restoreStored restores the state machine from the stored snapshot, and returns it; an empty one where there is none.
func (n *Node) restoreStored(snap *pb.Snapshot) (*pb.Snapshot, error) {
	if raft.IsEmptySnap(snap) {
		return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: n.confState}}, nil
	}
	if stored := snap.GetMetadata().GetConfState().GetVoters(); !slices.Equal(stored, n.config.Voters) {
		return nil, &VotersMismatchError{Configured: n.config.Voters, Stored: stored}
	}
	if err := n.config.StateMachine.Restore(snap.GetData()); err != nil {
		return nil, &InconsistentStateError{Detail: fmt.Sprintf("the snapshot on disk can't be restored: %v", err)}
	}
	return snap, nil
}

// Propose asks for an entry to be committed. nil promises nothing: the entry is committed once StateMachine has applied it. It may be
// applied too where the proposer never learns of it, so entries carry what tells a repetition. It returns *StoppedError,
// *NotLeaderError, *EntrySizeError or *BusyError.
func (n *Node) Propose(data []byte, now time.Duration) error {
	n.advance(now)
	commit := n.raft.BasicStatus().GetCommit()
	last, _ := n.log.LastIndex()
	uncommitted := last + n.unsavedProposals - commit
	switch {
	case n.state != running:
		return &StoppedError{Cause: n.failure}
	case n.role != leader:
		return &NotLeaderError{Leader: n.Leader()}
	case len(data) == 0 || len(data) > n.config.MaxEntryBytes:
		return &EntrySizeError{Bytes: len(data), Max: n.config.MaxEntryBytes}
	case uncommitted >= uint64(n.config.MaxUncommittedEntries):
		return &BusyError{Limit: n.config.MaxUncommittedEntries}
	}
	err := n.raft.Propose(data)
	if errors.Is(err, raft.ErrProposalDropped) { // by bytes, or while leadership is being transferred
		return &BusyError{Limit: n.config.MaxUncommittedEntries}
	}
	n.unsavedProposals++
	return err
}

// Leader is the voter that leads as far as this one knows; 0 where it knows none.
func (n *Node) Leader() uint64 {
	if n.state != running {
		return 0
	}
	return n.raft.BasicStatus().Lead
}

// IsLeader tells whether this voter leads as far as it knows. Another may already lead a later term: what must not be done twice goes
// through an entry, what must not be stale through ReadIndex.
func (n *Node) IsLeader() bool { return n.role == leader && n.state == running }

// IsCaughtUpLeader tells whether this voter leads and has applied all that earlier leaders committed. Only then does its StateMachine
// say what was committed before; a leader decides nothing by it earlier.
func (n *Node) IsCaughtUpLeader() bool { return n.IsLeader() && n.appliedTerm == n.Term() }

// LeaderSince is when this voter became leader by its own clock; a leader counts timeouts from then on, not from before.
func (n *Node) LeaderSince() time.Duration { return n.leaderSince }

// Term is the present term: a fencing number that only grows.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().GetTerm() }

// AppliedIndex is the index of the last entry applied; empty entries of raft's own count.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Err tells why this voter has stopped for good; nil while it runs, and after Stop.
func (n *Node) Err() error { return n.failure }

// Stop ends this voter as planned. Nothing is sent or saved any more.
func (n *Node) Stop() {
	if n.state == running {
		n.state = stopped
	}
	n.reads.failAll(&StoppedError{})
}

// fail stops this voter for good.
func (n *Node) fail(err error) {
	if n.state == failed {
		return
	}
	n.state = failed
	n.failure = err
	n.role = follower
	n.outbox = nil
	n.reads.failAll(&StoppedError{Cause: err})
}

// recoverPanic turns a panic of raft into the end of this voter, when deferred. raft panics where its state contradicts what a peer says, such
// as after a voter's directory was lost; the broker around it must go on serving. It also covers faults of StateMachine, which must not
// go on applying either.
func (n *Node) recoverPanic() {
	if p := recover(); p != nil {
		n.fail(&InconsistentStateError{Detail: fmt.Sprint(p)})
	}
}

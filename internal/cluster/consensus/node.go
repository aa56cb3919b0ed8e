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

// nodeState is the state of a Node. A node that has failed or was stopped never runs again.
type nodeState uint8

const (
	running nodeState = iota
	failed
	stopped
)

// role is a voter's role in the current term, as of the last call.
type role uint8

const (
	follower role = iota // or candidate
	leader
)

// Node is one voter.
type Node struct {
	RejectedMessages uint64 // messages that Step dropped as invalid before they reached raft

	config    Config
	raft      *raft.RawNode
	log       *raft.MemoryStorage // copy of what Storage holds, read by raft
	confState *pb.ConfState
	random    *rand.Rand

	state   nodeState
	failure error // set if state is failed
	role    role

	// Times on the caller's clock.
	now           time.Duration // of the last call
	leaderContact time.Duration // of the last message of the leader
	campaignAt    time.Duration // if a follower
	nextHeartbeat time.Duration // if the leader
	leaderSince   time.Duration
	resignations  uint64 // times that this leader resigned after a pause of the process

	hardState          *pb.HardState
	unsavedProposals   uint64 // proposed since the last save
	appliedIndex       uint64
	appliedTerm        uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int // of entries applied

	outbox         []Packet
	outboxBytes    int
	snapshotSentAt map[uint64]time.Duration // by voter: when the last part of an unconfirmed snapshot was sent
	chunks         chunks
	reads          reads
}

// New returns a voter that resumes from what Storage holds. now is the time on any clock that doesn't run backwards; all calls must use
// the same clock.
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

// newRaft returns a new node of the raft library. It turns the library's panic over an inconsistent log into an error.
func newRaft(c *raft.Config) (r *raft.RawNode, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &InconsistentStateError{Detail: fmt.Sprint(p)}
		}
	}()
	return raft.NewRawNode(c)
}

// load restores the in-memory log and the state machine from Storage.
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
	// A change of the commit index alone is not saved, so the stored one may be lower than the snapshot's index.
	hard.Commit = new(max(hard.GetCommit(), index))
	n.hardState = hard
	if raft.IsEmptyHardState(hard) {
		return nil
	}
	return n.log.SetHardState(hard)
}

// restoreStored restores the state machine from the stored snapshot and returns the snapshot, or an empty one if there is none.
func (n *Node) restoreStored(snap *pb.Snapshot) (*pb.Snapshot, error) {
	if raft.IsEmptySnap(snap) {
		return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: n.confState}}, nil
	}
	if stored := snap.GetMetadata().GetConfState().GetVoters(); !slices.Equal(stored, n.config.Voters) {
		return nil, &VotersMismatchError{Configured: n.config.Voters, Stored: stored}
	}
	if err := n.config.StateMachine.Restore(snap.GetData()); err != nil {
		return nil, &InconsistentStateError{Detail: fmt.Sprintf("restoring the stored snapshot failed: %v", err)}
	}
	return snap, nil
}

// Propose requests that an entry be committed. A nil error does not mean that it will be: it is committed once StateMachine has applied
// it. It may also be applied without the proposer learning of it, so entries must contain an identifier by which a repeated entry
// is recognized. Propose returns *StoppedError, *NotLeaderError, *EntrySizeError or *BusyError.
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
	if errors.Is(err, raft.ErrProposalDropped) { // more than maxUncommittedBytes, or leadership is being transferred
		return &BusyError{Limit: n.config.MaxUncommittedEntries}
	}
	n.unsavedProposals++
	return err
}

// Leader returns the ID of the leader as far as this voter knows; 0 if it knows none.
func (n *Node) Leader() uint64 {
	if n.state != running {
		return 0
	}
	return n.raft.BasicStatus().Lead
}

// IsLeader reports whether this voter is the leader as far as it knows. Another may already lead a later term: an action that must not
// be done twice needs an entry, and a read that must not be stale needs ReadIndex.
func (n *Node) IsLeader() bool { return n.role == leader && n.state == running }

// IsCaughtUpLeader reports whether this voter is the leader and has applied all entries that earlier leaders committed. Before that, a
// leader must not base decisions on its StateMachine.
func (n *Node) IsCaughtUpLeader() bool { return n.IsLeader() && n.appliedTerm == n.Term() }

// LeaderSince returns when this voter became leader, on the caller's clock. A leader must not count timeouts from before this time.
func (n *Node) LeaderSince() time.Duration { return n.leaderSince }

// Term returns the current term. It never decreases, so it serves as a fencing token.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().GetTerm() }

// AppliedIndex returns the index of the last applied entry, including the empty entries that raft adds.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Err returns the error that stopped this voter permanently; nil while it runs and after Stop.
func (n *Node) Err() error { return n.failure }

// Stop stops this voter as planned. Afterwards nothing is sent or saved.
func (n *Node) Stop() {
	if n.state == running {
		n.state = stopped
	}
	n.reads.failAll(&StoppedError{})
}

// fail stops this voter permanently.
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

// recoverPanic, when deferred, turns a panic of raft into a failure of this voter only, so that the broker goes on serving. raft panics
// if its state contradicts a message of another voter, such as after a voter's directory was lost. recoverPanic also handles panics of
// StateMachine, which must not apply any further entries either.
func (n *Node) recoverPanic() {
	if p := recover(); p != nil {
		n.fail(&InconsistentStateError{Detail: fmt.Sprint(p)})
	}
}

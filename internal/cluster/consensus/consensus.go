// Package consensus brings a few voters to one sequence of entries: Raft, by go.etcd.io/raft, driven from outside. It owns the
// rules of time around it (elections, the leader's lease, what a process does that was stopped and wakes up), the order
// of saving and sending, and the limits on what is under way. It has no goroutine, clock, socket or file of its own, so that
// the same code runs in virtual time. It must never let a message leave before what it vouches for is on disk, and never
// go on after the disk failed.
//
// The caller hands in what arrives (Step), what is to be agreed (Propose) and the time (Tick), then calls Out, which saves,
// applies and returns what is to be sent. Several calls before one Out share one fsync. A Node is for one goroutine.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package consensus

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Storage keeps what a voter may not forget. Load is called once, before Save. What Save was given lasts when it returns nil;
// once it has failed it fails for ever. hard and snap may be nil. entries follow on each other, and replace from the first
// one's index on what stood there. A snapshot comes before the entries of the same call: entries up to its index go, and
// those after it too, unless the log agrees with the snapshot at its index.
type Storage interface {
	Load() (hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, err error)
	Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error
}

// StateMachine is what the entries are for. After a restart it is restored from the last snapshot and gets the entries after it
// again. The same entries must lead to the same bytes of Snapshot on all voters.
type StateMachine interface {
	Apply(index uint64, data []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Config says who agrees, and how. Voters, Election and Heartbeat must be the same on all voters.
type Config struct {
	ID                                 uint64
	Voters                             []uint64
	ElectionTimeout, HeartbeatInterval time.Duration // silence that ends a leader's lease; Election is 3 Heartbeat at least
	Seed                               uint64        // another one at each start: it tells the reads of this start from those before
	Storage                            Storage
	StateMachine                       StateMachine

	// Limits; 0 takes what stands behind.
	SnapshotEntries       uint64 // entries applied between two snapshots: 4096
	SnapshotBytes         int    // or so many bytes of them: 16 MiB
	TrailingEntries       uint64 // entries kept in memory behind a snapshot, for followers that lag: 1024
	MaxUncommittedEntries int    // entries proposed and not committed: 1024
	MaxEntryBytes         int    // bytes of one: 256 KiB
	MaxPendingReads       int    // reads not answered: 1024
	MaxOutboxBytes        int    // bytes that wait for Out: 64 MiB
	SnapshotChunkBytes    int    // of a snapshot, sent to a voter at a heartbeat: 512 KiB; no packet is larger than that and MaxEntry
}

// Packet is a message for another voter. Any may be lost, doubled or late.
type Packet struct {
	To   uint64
	Data []byte
}

// Never is the time of nothing that is due.
const Never = time.Duration(math.MaxInt64)

// Node is one voter.
type Node struct {
	cfg   Config
	raft  *raft.RawNode
	log   *raft.MemoryStorage // what Disk holds, for raft to read
	conf  *pb.ConfState
	rnd   *rand.Rand
	ticks int // of Heartbeat, that make up Election

	now, heard, electAt, nextTick time.Duration
	lead                          bool
	appliedTerm                   uint64
	since                         time.Duration
	resigned                      uint64 // times that it gave up the lead for having slept

	hard             *pb.HardState
	added            uint64 // proposed since the last Out
	applied          uint64
	snapped          uint64
	bytes            int // applied since the snapshot
	snapSent         map[uint64]time.Duration
	parts            parts
	out              []Packet
	outBytes         int
	reads            reads
	failed           error
	stopped          bool
	RejectedMessages uint64 // messages refused by Step
}

// New makes a voter of what Disk holds. now is any clock that doesn't run backwards; the same one is used in all calls.
func New(cfg Config, now time.Duration) (*Node, error) {
	cfg.Voters = slices.Sorted(slices.Values(cfg.Voters))
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: raft.NewMemoryStorage(), conf: &pb.ConfState{Voters: cfg.Voters}, now: now,
		rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), ticks: int((cfg.ElectionTimeout + cfg.HeartbeatInterval - 1) / cfg.HeartbeatInterval),
		snapSent: map[uint64]time.Duration{}, parts: newParts()}
	if err := n.load(); err != nil {
		return nil, err
	}
	n.reads.start(cfg.ID, n.rnd.Uint64())
	var err error
	n.raft, err = newRaft(&raft.Config{ID: cfg.ID, ElectionTick: n.ticks, HeartbeatTick: 1, Storage: n.log,
		MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 16 << 20,
		MaxInflightMsgs: 64, MaxInflightBytes: 4 << 20, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		return nil, err
	}
	n.electAt = now + n.chance()
	return n, nil
}

// newRaft turns raft's panic over a log that contradicts itself into an error.
func newRaft(c *raft.Config) (r *raft.RawNode, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &InconsistentStateError{fmt.Sprint(p)}
		}
	}()
	return raft.NewRawNode(c)
}

func (c *Config) check() error {
	limit(&c.SnapshotEntries, 4096)
	limit(&c.SnapshotBytes, 16<<20)
	limit(&c.TrailingEntries, 1024)
	limit(&c.MaxUncommittedEntries, 1024)
	limit(&c.MaxEntryBytes, 256<<10)
	limit(&c.MaxPendingReads, 1024)
	limit(&c.MaxOutboxBytes, 64<<20)
	limit(&c.SnapshotChunkBytes, 512<<10)
	switch n := len(c.Voters); {
	case c.Storage == nil || c.StateMachine == nil:
		return &ConfigError{"no disk or no machine"}
	case n != 1 && n != 3 && n != 5:
		return &ConfigError{fmt.Sprintf("%d voters", n)}
	case slices.Contains(c.Voters, 0) || len(slices.Compact(slices.Clone(c.Voters))) != n:
		return &ConfigError{"a voter of number 0 or one named twice"}
	case !slices.Contains(c.Voters, c.ID):
		return &ConfigError{fmt.Sprintf("%d is not one of the voters", c.ID)}
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout < 3*c.HeartbeatInterval:
		return &ConfigError{fmt.Sprintf("election %v, heartbeat %v", c.ElectionTimeout, c.HeartbeatInterval)}
	}
	return nil
}

func limit[T uint64 | int](v *T, usual T) {
	if *v <= 0 {
		*v = usual
	}
}

// load fills memory and machine with what the disk holds.
func (n *Node) load() error {
	hard, entries, snap, err := n.cfg.Storage.Load()
	if err != nil {
		return err
	}
	meta := pb.EnsureSnapshot(snap).GetMetadata()
	if raft.IsEmptySnap(snap) {
		snap = &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: n.conf}}
	} else if !slices.Equal(meta.GetConfState().GetVoters(), n.cfg.Voters) {
		return &VotersMismatchError{Configured: n.cfg.Voters, Stored: meta.GetConfState().GetVoters()}
	} else if err := n.cfg.StateMachine.Restore(snap.GetData()); err != nil {
		return &InconsistentStateError{fmt.Sprintf("the snapshot on disk can't be restored: %v", err)}
	}
	n.applied, n.snapped = meta.GetIndex(), meta.GetIndex()
	if err := n.log.ApplySnapshot(snap); err != nil {
		return &InconsistentStateError{err.Error()}
	}
	if err := n.log.Append(entries); err != nil {
		return &InconsistentStateError{err.Error()}
	}
	if hard == nil {
		hard = &pb.HardState{}
	}
	// Only terms, votes and entries are saved each time, so that what is known as committed may lag behind the snapshot.
	hard.Commit = new(max(hard.GetCommit(), meta.GetIndex()))
	n.hard = hard
	if raft.IsEmptyHardState(hard) {
		return nil
	}
	return n.log.SetHardState(hard)
}

// Propose asks for an entry to be agreed. nil promises nothing: the entry is agreed once Machine has applied it. It may be
// applied too where the proposer never learns of it, so entries carry what tells a repetition.
func (n *Node) Propose(data []byte, now time.Duration) error {
	n.advance(now)
	commit := n.raft.BasicStatus().GetCommit()
	last, _ := n.log.LastIndex()
	switch {
	case n.failed != nil || n.stopped:
		return &StoppedError{n.failed}
	case !n.lead:
		return &NotLeaderError{Leader: n.Leader()}
	case len(data) == 0 || len(data) > n.cfg.MaxEntryBytes:
		return &EntrySizeError{Bytes: len(data), Max: n.cfg.MaxEntryBytes}
	case last+n.added-commit >= uint64(n.cfg.MaxUncommittedEntries):
		return &BusyError{n.cfg.MaxUncommittedEntries}
	}
	err := n.raft.Propose(data)
	if errors.Is(err, raft.ErrProposalDropped) {
		return &BusyError{n.cfg.MaxUncommittedEntries} // by bytes, or while the lead is being handed over
	}
	n.added++
	return err
}

// Leader is the voter that leads as far as this one knows; 0 where it knows none.
func (n *Node) Leader() uint64 {
	if n.failed != nil || n.stopped {
		return 0
	}
	return n.raft.BasicStatus().Lead
}

// IsLeader tells whether this voter leads as far as it knows. Another may already lead a later term: what must not be done twice
// goes through an entry, what must not be stale through ReadIndex.
func (n *Node) IsLeader() bool { return n.lead && n.failed == nil && !n.stopped }

// IsCaughtUpLeader tells whether this voter leads and has applied all that earlier leaders committed. Only then does its Machine say
// what was agreed before; a leader decides nothing by it earlier.
func (n *Node) IsCaughtUpLeader() bool { return n.IsLeader() && n.appliedTerm == n.Term() }

// LeaderSince is when this voter became leader by its own clock; a leader counts time-outs from then on, not from before.
func (n *Node) LeaderSince() time.Duration { return n.since }

// Term is the present term: a fencing number that only grows.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().GetTerm() }

// AppliedIndex is the index of the last entry applied; empty entries of raft's own count.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// Err tells why this voter has stopped for good; nil while it goes on.
func (n *Node) Err() error { return n.failed }

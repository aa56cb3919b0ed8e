// Package raftlog keeps on disk what a voter of package agree may not forget: entries, hard state and the last snapshot. It
// owns the files of one directory. It must never say that something is kept before the disk has said so (fsync of the file,
// and of the directory where a name changed), take a file of another cluster or voter for its own, pass over a damaged
// place, or write again after a write or an fsync failed.
//
//	raft-00000007.log   a generation: what was there when it began, then one frame a Save
//	raft.new            the next generation, until it lasts
//	lock                held by the one process that votes from here
//
// A generation begins at each start and with each snapshot: it is written whole under another name, fsynced, renamed, and
// the directory fsynced. So a start finds one file that is whole up to its last frames, and of those only the last, that no
// Save has vouched for, may be torn.
//
// Depends on discovery/nodelist. Concurrency: nothing here locks or starts a goroutine; a value is used by
// one goroutine at a time.
package raftlog

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gofrs/flock"
	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/discovery/nodelist"
)

// FS is the way to the disk, so that tests can cut it off at every step.
type FS = nodelist.FS

// Options say whose log it is.
type Options struct {
	Directory string
	Cluster   string   // name of the cluster
	VoterID   uint64   // of this voter
	Voters    []uint64 // all of them
	// Create begins a log where there is none. Danger: a voter whose directory was lost and that begins anew may vote a second
	// time in a term, or no longer know what it acknowledged. Only the first start of a cluster may set it.
	Create   bool
	FS       FS // nil is the machine's
	Unlocked bool
}

// Log is an open directory. It is for one goroutine.
type Log struct {
	opts    Options
	disk    FS
	lock    *flock.Flock
	gen     uint64
	file    nodelist.File
	chain   uint32
	buf     []byte
	failed  error
	hard    *pb.HardState
	snap    *pb.Snapshot
	entries []*pb.Entry // after snap
}

func name(gen uint64) string { return fmt.Sprintf("raft-%08d.log", gen) }

// Open reads a directory, refuses what it can't trust and begins a new generation there.
func Open(o Options) (*Log, error) {
	l := &Log{opts: o, disk: o.FS}
	l.opts.Voters = slices.Sorted(slices.Values(o.Voters))
	if l.disk == nil {
		l.disk = nodelist.Disk{}
	}
	err := l.open()
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) open() error {
	if err := l.disk.MkdirAll(l.opts.Directory); err != nil {
		return &IOError{"directory", err}
	}
	if !l.opts.Unlocked {
		l.lock = flock.New(filepath.Join(l.opts.Directory, "lock"))
		if ok, err := l.lock.TryLock(); err != nil {
			return &IOError{"lock", err}
		} else if !ok {
			return &LockedError{l.opts.Directory}
		}
	}
	names, err := l.disk.ReadDir(l.opts.Directory)
	if err != nil {
		return &IOError{"directory", err}
	}
	gens := generations(names)
	if len(gens) == 0 {
		if !l.opts.Create {
			return &MissingError{l.opts.Directory}
		}
		return l.begin()
	}
	l.gen = gens[len(gens)-1]
	cut, err := l.read(filepath.Join(l.opts.Directory, name(l.gen)))
	if err != nil {
		return err
	}
	if cut > 0 {
		slog.Warn("the end of a voter's log was torn, as a crash leaves it; what no Save had vouched for is cut off",
			"dir", l.opts.Directory, "file", name(l.gen), "bytes", cut)
	}
	return l.begin()
}

func generations(names []string) (gens []uint64) {
	for _, n := range names {
		var gen uint64
		if k, _ := fmt.Sscanf(n, "raft-%08d.log", &gen); k == 1 && n == name(gen) {
			gens = append(gens, gen)
		}
	}
	slices.Sort(gens)
	return gens
}

// Load returns what the directory held when it was opened.
func (l *Log) Load() (*pb.HardState, []*pb.Entry, *pb.Snapshot, error) {
	return l.hard, slices.Clone(l.entries), l.snap, l.failed
}

// Close gives the directory free.
func (l *Log) Close() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	if l.lock != nil {
		l.lock.Unlock()
		l.lock.Close()
	}
}

func (o *Options) who() string {
	return fmt.Sprintf("cluster %q, voter %d of %s", o.Cluster, o.VoterID, strings.Trim(fmt.Sprint(o.Voters), "[]"))
}

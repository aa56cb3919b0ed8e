// Package raftlog stores on disk what a voter of package consensus may not forget: log entries, hard state (term, vote, commit
// index) and the last snapshot.
//
// # Files
//
// A directory belongs to one voter of one cluster:
//
//	raft-00000007.log   generation 7, the only one between a start and the next snapshot:
//
//	                    +--------+----------------------+---------+------+------+ -
//	                    | header | hard state, snapshot | entries | Save | Save | ...
//	                    +--------+----------------------+---------+------+------+ -
//	                    '------ written at once, renamed ---------' '- appended -'
//
//	raft.new            the next generation while it is being written
//	lock                locked (flock) by the process that votes from here
//
// Each box is a frame with a checksum that continues the one before it. The header frame names cluster, voter and voters, and counts
// the frames that were written at once.
//
//	when                       what is written
//	Save of entries or state   one frame, then fsync
//	Save of a snapshot         a new generation: raft.new, fsync, rename, fsync of the directory; then older ones are removed
//	Open                       a new generation, of what was read
//
// # After a crash
//
// Whatever a Save that returned nil was given is there. Of the Save under way all of it is there or nothing. Open reads the newest
// generation whole, and cuts off a last frame that a crash left short or with sectors unwritten. Anything else that does not fit is
// damage to what was acknowledged: Open refuses it, since a voter that goes on without it could vote twice or lose a committed entry.
//
// Open is called at the start of a broker that votes, and by `flaxfront fleet begin`, which alone may begin a log; package consensus
// then calls Load once and Save before each message that vouches for what is saved. A Log is for one goroutine.
package raftlog

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gofrs/flock"
	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/filesystem"
)

const lockName = "lock"

// Options say whose log it is, and where.
type Options struct {
	Directory string
	Cluster   string   // its name
	VoterID   uint64   // of this voter
	Voters    []uint64 // all voters of the cluster, in any order
	// Create lets Open begin a log in a directory that holds none. Only the first start of a cluster may set it: a voter that begins
	// anew after its directory was lost may vote a second time in a term, or lack entries that it has acknowledged.
	Create   bool
	FS       filesystem.FS // nil: the machine's
	Unlocked bool          // no lock is taken, as on a file system in memory
}

// describe names cluster, voter and voters for an error.
func (o *Options) describe() string {
	voters := strings.Trim(fmt.Sprint(o.Voters), "[]")
	return fmt.Sprintf("cluster %q, voter %d of %s", o.Cluster, o.VoterID, voters)
}

// logState is the life of a Log: open, then closed, or failed for good.
type logState uint8

const (
	logOpen logState = iota
	logFailed
	logClosed
)

// Log is an open directory.
type Log struct {
	options Options
	fs      filesystem.FS
	lock    *flock.Flock

	state   logState
	failure error // of logFailed

	generation uint64          // that is written; 0: none yet
	file       filesystem.File // of this generation
	checksum   uint32          // of the last frame
	buffer     []byte          // for the next frame
	contents   contents
}

// Open reads a directory and begins a new generation in it. It returns *MissingError, *DamagedError, *MismatchError,
// *NewerVersionError or *LockedError for a directory that this voter can't go on from, and *IOError where the disk failed.
func Open(o Options) (*Log, error) {
	l := &Log{options: o, fs: o.FS}
	l.options.Voters = slices.Sorted(slices.Values(o.Voters))
	if l.fs == nil {
		l.fs = filesystem.Local{}
	}
	if err := l.open(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) open() error {
	directory := l.options.Directory
	if err := l.fs.MkdirAll(directory); err != nil {
		return l.ioError("make the directory", err)
	}
	if err := l.acquireLock(); err != nil {
		return err
	}
	names, err := l.fs.ReadDir(directory)
	if err != nil {
		return l.ioError("list the directory", err)
	}
	generations := generationsOf(names)
	switch {
	case len(generations) > 0:
		l.generation = generations[len(generations)-1]
		err = l.load()
	case !l.options.Create:
		err = &MissingError{Directory: directory}
	}
	if err != nil {
		return err
	}
	return l.beginGeneration()
}

// acquireLock keeps other processes from voting from this directory.
func (l *Log) acquireLock() error {
	if l.options.Unlocked {
		return nil
	}
	l.lock = flock.New(l.path(lockName))
	acquired, err := l.lock.TryLock()
	switch {
	case err != nil:
		return l.ioError("lock the directory", err)
	case !acquired:
		return &LockedError{Directory: l.options.Directory}
	}
	return nil
}

// load reads the newest generation.
func (l *Log) load() error {
	name := generationName(l.generation)
	tornBytes, err := l.readGeneration(l.path(name))
	if err != nil {
		return err
	}
	if tornBytes > 0 { // a crash leaves it so; no Save has vouched for it
		slog.Warn("torn end of voter's log discarded", "component", "consensus", "directory", l.options.Directory, "file", name,
			"bytes", tornBytes)
	}
	return nil
}

func (l *Log) ioError(operation string, err error) error {
	return &IOError{Operation: operation, Directory: l.options.Directory, Err: err}
}

func (l *Log) path(name string) string { return filepath.Join(l.options.Directory, name) }

// Load returns what the directory held when it was opened, or why the log has failed since.
func (l *Log) Load() (*pb.HardState, []*pb.Entry, *pb.Snapshot, error) {
	return l.contents.hardState, slices.Clone(l.contents.entries), l.contents.snapshot, l.failure
}

// fail ends the log: after a failed fsync the system may have dropped what was to be written and call the next fsync a success.
func (l *Log) fail(err error) {
	l.state = logFailed
	l.failure = err
}

// Close releases the directory. Save must not be called after it.
func (l *Log) Close() {
	l.closeFile()
	if l.lock != nil {
		l.lock.Unlock()
		l.lock.Close()
	}
	if l.state == logOpen {
		l.state = logClosed
	}
}

func (l *Log) closeFile() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}

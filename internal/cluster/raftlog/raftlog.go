// Package raftlog stores on disk the state that a voter of package consensus must not lose: log entries, hard state (term, vote,
// commit index) and the last snapshot.
//
// # Files
//
// A directory belongs to one voter of one cluster:
//
//	raft-00000007.log   generation 7; each Open and each saved snapshot begins a new generation:
//
//	                    +--------+----------------------+---------+------+------+ -
//	                    | header | hard state, snapshot | entries | Save | Save | ...
//	                    +--------+----------------------+---------+------+------+ -
//	                    '--- written to raft.new, then renamed ---' '- appended -'
//
//	raft.new            the next generation while it is being written
//	lock                locked (flock) by the process that uses this directory
//
// Each box is a frame, whose checksum also covers the frames before it. The header frame has the cluster, this voter's ID, the voters
// and the number of frames written together with the header.
//
//	call                       effect
//	Save of entries or state   appends one frame, then fsync
//	Save of a snapshot         new generation: write raft.new, fsync, rename, fsync of the directory; then remove older generations
//	Open                       new generation with the content that was read
//
// # After a crash
//
// Everything passed to a Save that returned nil is there. A Save in progress is there completely or not at all. Open reads the newest
// generation and discards a last frame that a crash left truncated or with unwritten sectors. Any other mismatch is damage to
// acknowledged data: Open returns an error, since a voter that goes on without the data could vote twice or lose a committed entry.
//
// Open is called when a broker that is a voter starts, and by `flaxfront fleet begin`, which alone may create a log. Package consensus
// then calls Load once, and Save before each message that acknowledges the saved state. A Log must be used by one goroutine only.
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

// Options identify the log's owner and directory.
type Options struct {
	Directory string
	Cluster   string   // its name
	VoterID   uint64   // of this voter
	Voters    []uint64 // all voters of the cluster, in any order
	// Create lets Open create a log in a directory that holds none. Only the first start of a cluster may set it: a voter that starts
	// with an empty log after its directory was lost may vote a second time in a term, or lack entries that it has acknowledged.
	Create   bool
	FS       filesystem.FS // nil: the machine's file system
	Unlocked bool          // take no lock, for a file system in memory
}

// describe returns cluster, voter and voters as text for an error message.
func (o *Options) describe() string {
	voters := strings.Trim(fmt.Sprint(o.Voters), "[]")
	return fmt.Sprintf("cluster %q, voter %d of %s", o.Cluster, o.VoterID, voters)
}

// logState is the state of a Log: open, then closed or permanently failed.
type logState uint8

const (
	logOpen logState = iota
	logFailed
	logClosed
)

// Log is a voter's log, opened from its directory.
type Log struct {
	options Options
	fs      filesystem.FS
	lock    *flock.Flock

	state   logState
	failure error // set if state is logFailed

	generation uint64          // the one being written; 0: none yet
	file       filesystem.File // of this generation
	checksum   uint32          // of the last frame
	buffer     []byte          // reused to encode the next frame
	contents   contents
}

// Open reads the log in a directory and begins a new generation there. It returns *MissingError, *DamagedError, *MismatchError,
// *NewerVersionError or *LockedError for a directory that this voter can't use, and *IOError if a disk operation failed.
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
		return l.ioError("create the directory", err)
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

// acquireLock locks the directory against other processes.
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
	if tornBytes > 0 { // left by a crash; not part of any acknowledged Save
		slog.Warn("torn end of voter's log discarded", "component", "consensus", "directory", l.options.Directory, "file", name,
			"bytes", tornBytes)
	}
	return nil
}

func (l *Log) ioError(operation string, err error) error {
	return &IOError{Operation: operation, Directory: l.options.Directory, Err: err}
}

func (l *Log) path(name string) string { return filepath.Join(l.options.Directory, name) }

// Load returns the content of the log, or the error if the log has failed. It is meant to be called before the first Save.
func (l *Log) Load() (*pb.HardState, []*pb.Entry, *pb.Snapshot, error) {
	return l.contents.hardState, slices.Clone(l.contents.entries), l.contents.snapshot, l.failure
}

// fail ends the log permanently: after a failed fsync the kernel may have dropped the unwritten data and report success for the next
// fsync.
func (l *Log) fail(err error) {
	l.state = logFailed
	l.failure = err
}

// Close closes the file and releases the lock. Save must not be called afterwards.
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

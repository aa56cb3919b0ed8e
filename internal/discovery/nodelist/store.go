package nodelist

import (
	"context"
	"log/slog"
	"maps"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/gofrs/flock"

	"flaxfront/internal/config/remedy"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/filesystem"
)

const (
	component = "cached-list" // in log lines

	defaultMinJournalBytes = 256 << 10
	initialRetryDelay      = time.Second
	maxRetryDelay          = time.Minute
	requestPollInterval    = time.Second
)

// Options say where and how a list is stored.
type Options struct {
	Directory       string
	Deployment      string        // fingerprint of the settings that the list belongs to
	WriteInterval   time.Duration // minimum time between two writes
	FS              filesystem.FS // nil: the local file system
	Unlocked        bool          // take no lock, as on a file system in memory
	MinJournalBytes int           // length that a journal may always reach before a new generation; 0: 256 KiB
}

// Counters count writes. They may be read from any goroutine.
type Counters struct {
	Writes    atomic.Uint64 // frames appended to journals
	Snapshots atomic.Uint64
	Bytes     atomic.Uint64 // written in frames and snapshots
	Failed    atomic.Uint64 // writes that failed
	Saving    atomic.Bool   // the last write succeeded
}

// storeState decides what the next write does.
type storeState uint8

const (
	// storeWithoutLock: the lock is not held. The next write tries to acquire it.
	storeWithoutLock storeState = iota
	// storeSnapshotDue: no journal is open. The next write begins a generation.
	storeSnapshotDue
	// storeAppending: the next write appends to the journal, or begins a generation if the journal has become too long.
	storeAppending
)

// Store writes a list to its directory.
type Store struct {
	Counters Counters

	options Options
	fs      filesystem.FS
	lock    *flock.Flock
	queue   queue

	// The fields below belong to the goroutine that writes.
	state         storeState
	head          cachedlist.Head
	entries       map[string]cachedlist.Entry // by name, including changes about to be written
	generation    uint64                      // of the last snapshot
	snapshotBytes int
	journal       filesystem.File // open in storeAppending only
	journalBytes  int
	buffer        []byte // for the next frame
	loggedFault   string // the fault logged last; empty: the last write succeeded
}

// Open reads a directory and prepares to write to it. It never fails: faults are logged, and Run retries. It returns what could be read;
// the caller owns that content.
func Open(o Options) (*Store, *Content) {
	s := &Store{options: o, fs: o.FS, queue: newQueue()}
	if s.fs == nil {
		s.fs = filesystem.Local{}
	}
	if s.options.MinJournalBytes == 0 {
		s.options.MinJournalBytes = defaultMinJournalBytes
	}
	if err := s.fs.MkdirAll(o.Directory); err != nil {
		s.logFault("cached endpoint list not saved", s.storageError("create the directory", err))
	}
	if err := s.acquireLock(); err != nil {
		s.logFault("cached endpoint list not saved", err)
	}
	c, err := Read(s.fs, o.Directory, o.Deployment)
	if err != nil {
		s.logFault("cached endpoint list not read", s.storageError("list the files", err))
	}
	s.handleFileErrors(c.FileErrors)
	s.generation = c.generation
	s.head = c.Head
	s.head.Deployment = o.Deployment
	s.entries = maps.Clone(c.Entries)
	return s, c
}

// acquireLock takes the directory's lock if it is not held yet, as two brokers that wrote to one directory would overwrite each other's
// generations. A broker without the lock still serves, and retries with each write.
func (s *Store) acquireLock() error {
	if s.state != storeWithoutLock {
		return nil
	}
	if !s.options.Unlocked {
		if err := s.tryLock(); err != nil {
			return err
		}
	}
	s.state = storeSnapshotDue
	return nil
}

func (s *Store) tryLock() error {
	if s.lock == nil {
		s.lock = flock.New(filepath.Join(s.options.Directory, lockName))
	}
	acquired, err := s.lock.TryLock()
	if err != nil {
		return s.storageError("lock the directory", err)
	}
	if !acquired {
		return &LockedError{Directory: s.options.Directory}
	}
	return nil
}

// HoldsLock reports whether this process may write to the directory.
func (s *Store) HoldsLock() bool { return s.state != storeWithoutLock }

// closeJournal closes the journal, if one is open, so that the next write begins a generation.
func (s *Store) closeJournal() {
	if s.state != storeAppending {
		return
	}
	s.journal.Close()
	s.journal = nil
	s.state = storeSnapshotDue
}

// Close closes the journal and releases the directory's lock.
func (s *Store) Close() {
	s.closeJournal()
	if s.lock != nil {
		s.lock.Unlock()
		s.lock.Close()
	}
	s.state = storeWithoutLock
}

// Enqueue adds changes to be written, and never blocks. All changes added before the next write are merged, so that at most one state of
// each entry waits. The store owns the changes from then on.
func (s *Store) Enqueue(c cachedlist.Changes) { s.queue.add(c) }

// Run writes enqueued changes until ctx ends, and then those that still wait. It calls deliver with each operator's request, and
// returns nil.
func (s *Store) Run(ctx context.Context, deliver func(OperatorRequest)) error {
	defer s.Close()
	requests := time.NewTicker(requestPollInterval)
	defer requests.Stop()
	delay := initialRetryDelay
	var retry <-chan time.Time // nil: the last write succeeded
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return nil
		case <-requests.C:
			if s.HoldsLock() {
				s.deliverRequests(deliver)
			}
			continue
		case <-s.queue.added:
			if retry != nil {
				continue // the retry writes it too
			}
		case <-retry:
		}
		if err := s.Flush(); err != nil {
			retry = time.After(delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		retry = nil
		delay = initialRetryDelay
		select { // changes that are added meanwhile are written together
		case <-time.After(s.options.WriteInterval):
		case <-ctx.Done():
		}
	}
}

// logFault logs a fault, unless it is the one logged last and has not ended since.
func (s *Store) logFault(message string, err error) {
	fault := message + err.Error()
	if fault != s.loggedFault {
		slog.Warn(message, "component", component, "directory", s.options.Directory, "error", err, "remedy", remedy.Of(err))
	}
	s.loggedFault = fault
}

// logRecovery logs that a fault has ended.
func (s *Store) logRecovery() {
	if s.loggedFault != "" {
		slog.Info("cached endpoint list saved again", "component", component, "directory", s.options.Directory)
	}
	s.loggedFault = ""
}

func (s *Store) storageError(operation string, err error) error {
	return &StorageError{Operation: operation, Directory: s.options.Directory, Err: err}
}

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

// Options say where a list is stored and how.
type Options struct {
	Directory       string
	Deployment      string        // a fingerprint of the settings that the list belongs to
	WriteInterval   time.Duration // between two writes, at least
	FS              filesystem.FS // nil: the machine's
	Unlocked        bool          // no lock is taken, as on a file system in memory
	MinJournalBytes int           // of a journal before a new generation is begun; 0: 256 KiB
}

// Counters tell what was written. They may be read from any goroutine.
type Counters struct {
	Writes    atomic.Uint64 // frames of journals
	Snapshots atomic.Uint64
	Bytes     atomic.Uint64 // of both
	Failed    atomic.Uint64 // writes that failed
	Saving    atomic.Bool   // the last write succeeded
}

// storeState says what the next write does.
type storeState uint8

const (
	// storeWithoutLock: the lock is not held. The next write tries to acquire it.
	storeWithoutLock storeState = iota
	// storeSnapshotDue: no journal is open. The next write begins a generation.
	storeSnapshotDue
	// storeAppending: the next write appends to the journal, or begins a generation if that has become long.
	storeAppending
)

// Store writes a list.
type Store struct {
	Counters Counters

	options Options
	fs      filesystem.FS
	lock    *flock.Flock
	queue   queue

	// Of the goroutine that writes.
	state         storeState
	head          cachedlist.Head
	entries       map[string]cachedlist.Entry // by name, as written or about to be
	generation    uint64                      // of the last snapshot
	snapshotBytes int
	journal       filesystem.File // of storeAppending
	journalBytes  int
	buffer        []byte // for the next frame
	loggedFault   string // empty: the last write succeeded
}

// Open reads a directory and prepares to write to it. It does not fail: what is wrong is logged, and Run tries again. The content is
// what could be read; it is the caller's.
func Open(o Options) (*Store, *Content) {
	s := &Store{options: o, fs: o.FS, queue: newQueue()}
	if s.fs == nil {
		s.fs = filesystem.Local{}
	}
	if s.options.MinJournalBytes == 0 {
		s.options.MinJournalBytes = defaultMinJournalBytes
	}
	if err := s.fs.MkdirAll(o.Directory); err != nil {
		s.logFault("cached endpoint list not saved", s.storageError("make the directory", err))
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

// acquireLock takes the lock, if it is not held: two brokers that write to one directory would each end what the other began. A
// broker without it serves all the same, and tries again at each write.
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

// HoldsLock tells whether this process is the one that writes.
func (s *Store) HoldsLock() bool { return s.state != storeWithoutLock }

// closeJournal has the next write begin a generation.
func (s *Store) closeJournal() {
	if s.state != storeAppending {
		return
	}
	s.journal.Close()
	s.journal = nil
	s.state = storeSnapshotDue
}

// Close releases the directory.
func (s *Store) Close() {
	s.closeJournal()
	if s.lock != nil {
		s.lock.Unlock()
		s.lock.Close()
	}
	s.state = storeWithoutLock
}

// Enqueue leaves changes to be written, and never waits. What comes before the next write is written with it, so that no more than
// one state of each entry waits. The changes are the store's from then on.
func (s *Store) Enqueue(c cachedlist.Changes) { s.queue.add(c) }

// Run writes until ctx ends, and then what still waits. deliver is called with each request of an operator.
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
		select { // what comes meanwhile is written together
		case <-time.After(s.options.WriteInterval):
		case <-ctx.Done():
		}
	}
}

// logFault logs what is wrong, once until it changes or ends.
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

package nodelist

// This file owns the writing. One goroutine writes; whoever has something to keep leaves it in Put and goes on.

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofrs/flock"

	"flaxfront/internal/decision/cachedlist"
)

const (
	logLeast   = 256 << 10 // bytes of a journal before a new snapshot is thought of
	logFactor  = 2         // times the snapshot: then a new one is written
	retryFirst = time.Second
	retryMost  = time.Minute
	asksEvery  = time.Second
)

var errLocked = errors.New("another process writes there")

// Options say where a list is kept and how.
type Options struct {
	Directory       string
	Deployment      string        // a fingerprint of the settings that the list belongs to
	WriteInterval   time.Duration // least time between two writes
	FS              FS            // nil: that of the machine
	Unlocked        bool          // no lock is taken: tests on a file system of their own
	MinJournalBytes int           // bytes of a journal before a new snapshot is thought of; 0: 256 KiB
}

// Counters tell what was written; they may be read from any goroutine.
type Counters struct {
	Writes, Snapshots, Bytes, Failed atomic.Uint64
	Saving                           atomic.Bool // the last write went well
}

// Store writes a list.
type Store struct {
	Counters Counters
	opts     Options
	disk     FS
	lock     *flock.Flock
	held     bool

	mu      sync.Mutex
	pending cachedlist.Changes
	waiting map[string]*cachedlist.Entry // what Pending holds, by name; nil: removed
	any     bool
	wake    chan struct{}

	// of the writer
	head    cachedlist.Head
	entries map[string]cachedlist.Entry
	gen     uint64
	log     File
	logged  int // bytes in the journal
	snapped int // bytes in the snapshot
	said    string
	buf     []byte
}

// Open reads a directory and gets ready to write there. It never fails: what is wrong is logged, and Run tries again. The
// content is what could be read; it is the caller's.
func Open(o Options) (*Store, *Content) {
	s := &Store{opts: o, disk: o.FS, waiting: map[string]*cachedlist.Entry{}, wake: make(chan struct{}, 1),
		entries: map[string]cachedlist.Entry{}}
	if s.disk == nil {
		s.disk = Disk{}
	}
	if s.opts.MinJournalBytes == 0 {
		s.opts.MinJournalBytes = logLeast
	}
	if err := s.disk.MkdirAll(o.Directory); err != nil {
		s.say("node list is not kept", err)
	}
	s.acquire()
	c, err := Read(s.disk, o.Directory, o.Deployment)
	if err != nil {
		s.say("saved node list not read", err)
	}
	s.gen = c.gen
	if s.held {
		for _, line := range setAside(s.disk, o.Directory, c.Faults) {
			slog.Warn("saved node list", "dir", o.Directory, "fault", line)
		}
	} else {
		for _, f := range c.Faults {
			slog.Warn("saved node list", "dir", o.Directory, "file", f.File, "not_used", f.Err)
		}
	}
	s.head = c.Head
	s.head.Deployment = o.Deployment
	s.entries = maps.Clone(c.Entries)
	return s, c
}

// acquire takes the lock. Danger: two brokers in one directory would each end what the other wrote. One that does not
// get it serves all the same; while the other one stops, as in a restart, it tries again.
func (s *Store) acquire() error {
	if s.held || s.opts.Unlocked {
		s.held = true
		return nil
	}
	if s.lock == nil {
		s.lock = flock.New(filepath.Join(s.opts.Directory, "lock"))
	}
	ok, err := s.lock.TryLock()
	if err == nil && !ok {
		err = errLocked
	}
	if err != nil {
		s.say("node list is not kept", err)
		return err
	}
	s.held = true
	return nil
}

// say logs a fault once until it changes or ends.
func (s *Store) say(what string, err error) {
	text := ""
	if err != nil {
		text = what + err.Error()
		if text != s.said {
			slog.Warn(what, "dir", s.opts.Directory, "error", err)
		}
	} else if s.said != "" {
		slog.Info(what, "dir", s.opts.Directory)
	}
	s.said = text
}

// Enqueue leaves changes to be written. It never waits; what comes before the next write goes with it, so that what waits is
// no more than one state of each entry.
func (s *Store) Enqueue(c cachedlist.Changes) {
	s.mu.Lock()
	s.pending.Head, s.any = c.Head, true
	for i := range c.Put {
		s.waiting[c.Put[i].Name] = &c.Put[i]
	}
	for _, name := range c.Removed {
		s.waiting[name] = nil
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// absorb moves what waits into the writer's own copy.
func (s *Store) absorb() (c change, any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.any {
		return c, false
	}
	s.any = false
	s.head = s.pending.Head
	s.head.Deployment = s.opts.Deployment
	c.Head = diskHead(s.head)
	for name, e := range s.waiting {
		if e == nil {
			delete(s.entries, name)
			c.Removed = append(c.Removed, name)
		} else {
			s.entries[name] = *e
			c.Put = append(c.Put, diskEntry(*e))
		}
	}
	clear(s.waiting)
	return c, true
}

// Run writes until ctx ends, and then what still waits. deliver gets what operators ask of a broker that runs.
func (s *Store) Run(ctx context.Context, deliver func(OperatorRequest)) error {
	defer s.Close()
	retry, failing := retryFirst, false
	asks := time.NewTicker(asksEvery)
	defer asks.Stop()
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return nil
		case <-asks.C:
			if s.held {
				s.takeAsks(deliver)
			}
			continue
		case <-s.wake:
			if failing {
				continue // its time comes
			}
		case <-again:
		}
		again = nil
		if err := s.Flush(); err != nil {
			failing, again = true, time.After(retry)
			retry = min(2*retry, retryMost)
			continue
		}
		failing, retry = false, retryFirst
		select { // what comes faster is written together
		case <-time.After(s.opts.WriteInterval):
		case <-ctx.Done():
		}
	}
}

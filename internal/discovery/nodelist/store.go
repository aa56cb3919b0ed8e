package nodelist

// This file owns the writing. One goroutine writes; whoever has something to keep leaves it in Put and goes on.

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofrs/flock"

	"flaxfront/internal/decision/trust"
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
	Dir        string
	Deployment string        // a fingerprint of the settings that the list belongs to
	Every      time.Duration // least time between two writes
	Disk       FS            // nil: that of the machine
	Unlocked   bool          // no lock is taken: tests on a file system of their own
	Journal    int           // bytes of a journal before a new snapshot is thought of; 0: 256 KiB
}

// Counts tell what was written; they may be read from any goroutine.
type Counts struct {
	Writes, Snapshots, Bytes, Failed atomic.Uint64
	Saving                           atomic.Bool // the last write went well
}

// Store writes a list.
type Store struct {
	Counts Counts
	opts   Options
	disk   FS
	lock   *flock.Flock
	held   bool

	mu      sync.Mutex
	pending trust.Changes
	waiting map[string]*trust.Entry // what Pending holds, by name; nil: removed
	any     bool
	wake    chan struct{}

	// of the writer
	head    trust.Head
	entries map[string]trust.Entry
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
	s := &Store{opts: o, disk: o.Disk, waiting: map[string]*trust.Entry{}, wake: make(chan struct{}, 1),
		entries: map[string]trust.Entry{}}
	if s.disk == nil {
		s.disk = Disk{}
	}
	if s.opts.Journal == 0 {
		s.opts.Journal = logLeast
	}
	if err := s.disk.MkdirAll(o.Dir); err != nil {
		s.say("node list is not kept", err)
	}
	s.acquire()
	c, err := Read(s.disk, o.Dir, o.Deployment)
	if err != nil {
		s.say("saved node list not read", err)
	}
	s.gen = c.gen
	if s.held {
		for _, line := range setAside(s.disk, o.Dir, c.Faults) {
			slog.Warn("saved node list", "dir", o.Dir, "fault", line)
		}
	} else {
		for _, f := range c.Faults {
			slog.Warn("saved node list", "dir", o.Dir, "file", f.File, "not_used", f.Err)
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
		s.lock = flock.New(filepath.Join(s.opts.Dir, "lock"))
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
			slog.Warn(what, "dir", s.opts.Dir, "error", err)
		}
	} else if s.said != "" {
		slog.Info(what, "dir", s.opts.Dir)
	}
	s.said = text
}

// Put leaves changes to be written. It never waits; what comes before the next write goes with it, so that what waits is
// no more than one state of each entry.
func (s *Store) Put(c trust.Changes) {
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
func (s *Store) Run(ctx context.Context, deliver func(Ask)) error {
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
		case <-time.After(s.opts.Every):
		case <-ctx.Done():
		}
	}
}

// Flush writes what waits now. After a fault the journal may end in half a frame, so that a new generation begins.
func (s *Store) Flush() error {
	c, any := s.absorb()
	if !any && (s.log != nil || s.Counts.Failed.Load() == 0) {
		return nil
	}
	err := s.acquire()
	if err == nil {
		err = s.write(c)
	}
	if err != nil {
		s.Counts.Failed.Add(1)
		s.Counts.Saving.Store(false)
		s.drop()
		s.say("node list is not kept", err)
		return err
	}
	s.Counts.Saving.Store(true)
	s.say("node list is kept again", nil)
	return nil
}

func (s *Store) drop() {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
}

func (s *Store) write(c change) error {
	if s.log == nil || s.logged > max(s.opts.Journal, logFactor*s.snapped) {
		return s.snapshot()
	}
	frame, err := appendFrame(s.buf[:0], c)
	if err != nil { // too much for one frame
		return s.snapshot()
	}
	s.buf = frame[:0]
	if _, err := s.log.Write(frame); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	s.logged += len(frame)
	s.Counts.Writes.Add(1)
	s.Counts.Bytes.Add(uint64(len(frame)))
	return nil
}

// snapshot begins a generation: all entries under another name, renamed once they last, then an empty journal. Until the
// rename lasts, the generation before is what a start reads; it is kept until the one after.
func (s *Store) snapshot() error {
	s.drop()
	gen := s.gen + 1
	b := append(s.buf[:0], magic...)
	b, err := appendFrame(b, opening{version, s.opts.Deployment, diskHead(s.head), len(s.entries)})
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(s.entries))
	for part := range slices.Chunk(names, batch) {
		put := make([]diskEntry, len(part))
		for i, name := range part {
			put[i] = diskEntry(s.entries[name])
		}
		if b, err = appendFrame(b, put); err != nil {
			return err
		}
	}
	temp, snap := filepath.Join(s.opts.Dir, "list.new"), filepath.Join(s.opts.Dir, snapName(gen))
	f, err := s.create(temp, b)
	if err != nil {
		return err
	}
	f.Close()
	if err := s.disk.Rename(temp, snap); err != nil {
		return err
	}
	s.gen, s.snapped = gen, len(b)
	head, err := appendFrame([]byte(magic), opening{Version: version, Deployment: s.opts.Deployment})
	if err != nil {
		return err
	}
	if s.log, err = s.create(filepath.Join(s.opts.Dir, logName(gen)), head); err != nil {
		return err
	}
	if err := s.disk.SyncDir(s.opts.Dir); err != nil {
		return err
	}
	s.logged = len(head)
	s.Counts.Snapshots.Add(1)
	s.Counts.Bytes.Add(uint64(len(b)))
	s.buf = nil // a snapshot may be large
	s.tidy()
	return nil
}

// create writes a file whole, so that it lasts.
func (s *Store) create(name string, b []byte) (File, error) {
	f, err := s.disk.Create(name)
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// tidy removes generations older than the one before. What it can't remove costs room only.
func (s *Store) tidy() {
	names, _ := s.disk.ReadDir(s.opts.Dir)
	for _, gen := range generations(names) {
		if gen+1 < s.gen {
			s.disk.Remove(filepath.Join(s.opts.Dir, snapName(gen)))
			s.disk.Remove(filepath.Join(s.opts.Dir, logName(gen)))
		}
	}
}

// Close gives the directory free.
func (s *Store) Close() {
	s.drop()
	if s.lock != nil {
		s.lock.Unlock()
		s.lock.Close()
	}
	s.held = false
}

// Held tells whether this process is the one that writes.
func (s *Store) Held() bool { return s.held }

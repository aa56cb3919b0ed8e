package nodelist

// This file owns what reaches the disk and when. It must never leave a state that could not be read.

import (
	"maps"
	"path/filepath"
	"slices"
)

// Flush writes what waits now. After a fault the journal may end in half a frame, so that a new generation begins.
func (s *Store) Flush() error {
	c, any := s.absorb()
	if !any && (s.log != nil || s.Counters.Failed.Load() == 0) {
		return nil
	}
	err := s.acquire()
	if err == nil {
		err = s.write(c)
	}
	if err != nil {
		s.Counters.Failed.Add(1)
		s.Counters.Saving.Store(false)
		s.drop()
		s.say("node list is not kept", err)
		return err
	}
	s.Counters.Saving.Store(true)
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
	if s.log == nil || s.logged > max(s.opts.MinJournalBytes, logFactor*s.snapped) {
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
	s.Counters.Writes.Add(1)
	s.Counters.Bytes.Add(uint64(len(frame)))
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
	temp, snap := filepath.Join(s.opts.Directory, "list.new"), filepath.Join(s.opts.Directory, snapName(gen))
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
	if s.log, err = s.create(filepath.Join(s.opts.Directory, logName(gen)), head); err != nil {
		return err
	}
	if err := s.disk.SyncDir(s.opts.Directory); err != nil {
		return err
	}
	s.logged = len(head)
	s.Counters.Snapshots.Add(1)
	s.Counters.Bytes.Add(uint64(len(b)))
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
	names, _ := s.disk.ReadDir(s.opts.Directory)
	for _, gen := range generations(names) {
		if gen+1 < s.gen {
			s.disk.Remove(filepath.Join(s.opts.Directory, snapName(gen)))
			s.disk.Remove(filepath.Join(s.opts.Directory, logName(gen)))
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

// HoldsLock tells whether this process is the one that writes.
func (s *Store) HoldsLock() bool { return s.held }

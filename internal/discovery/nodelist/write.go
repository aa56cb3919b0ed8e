package nodelist

import (
	"maps"
	"path/filepath"
	"slices"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/filesystem"
)

const (
	journalFactor = 2   // a journal longer than this many snapshots ends its generation
	batchEntries  = 512 // entries in a frame of a snapshot
)

// Flush writes the changes that wait, and returns once they are durable. After a fault it writes all entries, even if no changes wait.
func (s *Store) Flush() error {
	change, changed := s.mergeChanges()
	if !changed && (s.state == storeAppending || s.Counters.Failed.Load() == 0) {
		return nil
	}
	err := s.acquireLock()
	if err == nil {
		err = s.write(change)
	}
	if err != nil {
		s.Counters.Failed.Add(1)
		s.Counters.Saving.Store(false)
		s.closeJournal() // it may end within a frame
		s.logFault("cached endpoint list not saved", err)
		return err
	}
	s.Counters.Saving.Store(true)
	s.logRecovery()
	return nil
}

// mergeChanges applies the changes that wait to the entries, and returns them as a frame of the journal. changed is false if there
// are none.
func (s *Store) mergeChanges() (change storedChange, changed bool) {
	head, changed := s.queue.collect(func(name string, e *cachedlist.Entry) {
		if e == nil {
			delete(s.entries, name)
			change.Removed = append(change.Removed, name)
			return
		}
		s.entries[name] = *e
		change.Put = append(change.Put, storeEntry(e))
	})
	if !changed {
		return change, false
	}
	s.head = head
	s.head.Deployment = s.options.Deployment
	change.Head = storeHead(head)
	return change, true
}

func (s *Store) write(change storedChange) error {
	maxJournalBytes := max(s.options.MinJournalBytes, journalFactor*s.snapshotBytes)
	if s.state == storeSnapshotDue || s.journalBytes > maxJournalBytes {
		return s.beginGeneration()
	}
	frame, err := appendFrame(s.buffer[:0], change)
	if err != nil { // too large for one frame
		return s.beginGeneration()
	}
	s.buffer = frame[:0]
	return s.appendJournal(frame)
}

func (s *Store) appendJournal(frame []byte) error {
	_, err := s.journal.Write(frame)
	if err == nil {
		err = s.journal.Sync()
	}
	if err != nil {
		return s.storageError("append to the journal", err)
	}
	s.journalBytes += len(frame)
	s.Counters.Writes.Add(1)
	s.Counters.Bytes.Add(uint64(len(frame)))
	return nil
}

// beginGeneration writes a snapshot and opens an empty journal. Until the snapshot's name is durable, a start reads the previous
// generation. The previous generation is kept until the next one begins, as a start also reads it if this snapshot is damaged.
func (s *Store) beginGeneration() error {
	s.closeJournal()
	snapshot, err := s.encodeSnapshot()
	if err != nil {
		return err
	}
	if err := s.writeGeneration(s.generation+1, snapshot); err != nil {
		return s.storageError("begin a generation", err)
	}
	s.Counters.Snapshots.Add(1)
	s.Counters.Bytes.Add(uint64(len(snapshot)))
	s.buffer = nil // a snapshot may be large
	s.removeOldGenerations()
	return nil
}

func (s *Store) encodeSnapshot() ([]byte, error) {
	content := append(s.buffer[:0], fileMagic...)
	content, err := appendFrame(content, fileHeader{Version: formatVersion, Deployment: s.options.Deployment,
		Head: storeHead(s.head), Entries: len(s.entries)})
	if err != nil {
		return nil, err
	}
	names := slices.Sorted(maps.Keys(s.entries))
	for batch := range slices.Chunk(names, batchEntries) {
		entries := make([]storedEntry, len(batch))
		for i, name := range batch {
			e := s.entries[name]
			entries[i] = storeEntry(&e)
		}
		content, err = appendFrame(content, entries)
		if err != nil {
			return nil, err
		}
	}
	return content, nil
}

// writeGeneration writes the files of a generation and opens its journal.
func (s *Store) writeGeneration(generation uint64, snapshot []byte) error {
	temp := s.path(tempSnapshot)
	f, err := filesystem.CreateSynced(s.fs, temp, snapshot)
	if err != nil {
		return err
	}
	f.Close()
	if err := s.fs.Rename(temp, s.path(snapshotName(generation))); err != nil {
		return err
	}
	s.generation = generation
	s.snapshotBytes = len(snapshot)
	header, err := appendFrame([]byte(fileMagic), fileHeader{Version: formatVersion, Deployment: s.options.Deployment})
	if err != nil {
		return err
	}
	journal, err := filesystem.CreateSynced(s.fs, s.path(journalName(generation)), header)
	if err != nil {
		return err
	}
	s.openJournal(journal, len(header))
	return s.fs.SyncDir(s.options.Directory)
}

// openJournal makes the next writes append to a journal, which is bytes long.
func (s *Store) openJournal(journal filesystem.File, bytes int) {
	s.journal = journal
	s.journalBytes = bytes
	s.state = storeAppending
}

// removeOldGenerations removes the files older than the previous generation. Errors are ignored: a file that stays only takes disk space.
func (s *Store) removeOldGenerations() {
	names, _ := s.fs.ReadDir(s.options.Directory)
	for _, generation := range generationsOf(names) {
		if generation+1 < s.generation {
			s.fs.Remove(s.path(snapshotName(generation)))
			s.fs.Remove(s.path(journalName(generation)))
		}
	}
}

func (s *Store) path(name string) string { return filepath.Join(s.options.Directory, name) }

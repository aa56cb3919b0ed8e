package raftlog

import (
	"fmt"
	"os"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const maxBufferBytes = 1 << 20 // a larger frame buffer is not kept for the next frame

// Save implements consensus.Storage. After a failure, all later calls return the same error.
func (l *Log) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	switch l.state {
	case logFailed:
		return l.failure
	case logClosed:
		return l.ioError("append a record", os.ErrClosed)
	}
	if err := l.save(record{hardState: hard, entries: entries, snapshot: snap}); err != nil {
		l.fail(err)
		return err
	}
	return nil
}

func (l *Log) save(r record) error {
	if err := l.contents.apply(r); err != nil {
		return &RecordError{Err: err}
	}
	if !raft.IsEmptySnap(r.snapshot) {
		return l.beginGeneration()
	}
	return l.append(r)
}

// append writes one frame at the end of this generation's file and syncs it.
func (l *Log) append(r record) error {
	frame, checksum, err := appendRecord(l.buffer[:0], l.checksum, r)
	if err != nil {
		return &RecordError{Err: err}
	}
	if cap(frame) <= maxBufferBytes {
		l.buffer = frame[:0]
	}
	if _, err := l.file.Write(frame); err != nil {
		return l.ioError("append a record", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.ioError("append a record", err)
	}
	l.checksum = checksum
	return nil
}

// contents is the content of a log, in memory.
type contents struct {
	hardState *pb.HardState
	snapshot  *pb.Snapshot
	entries   []*pb.Entry // after the snapshot, without gaps
}

// apply applies the changes of a record. If it returns an error, some of them may have been applied.
func (c *contents) apply(r record) error {
	if r.hardState != nil {
		c.hardState = r.hardState
	}
	if !raft.IsEmptySnap(r.snapshot) {
		c.applySnapshot(r.snapshot)
	}
	return c.appendEntries(r.entries)
}

// applySnapshot stores the snapshot and drops the entries up to its index, and also those after it unless the log has the entry that the
// snapshot ends with.
func (c *contents) applySnapshot(snap *pb.Snapshot) {
	last := snap.GetMetadata()
	replaced := len(c.entries)
	for i, e := range c.entries {
		if e.GetIndex() == last.GetIndex() && e.GetTerm() == last.GetTerm() {
			replaced = i + 1
		}
	}
	c.snapshot = snap
	c.entries = slices.Clone(c.entries[replaced:])
}

// appendEntries replaces all entries from the first new one's index on.
func (c *contents) appendEntries(entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	start := entries[0].GetIndex()
	minIndex := c.snapshot.GetMetadata().GetIndex() + 1
	maxIndex := minIndex + uint64(len(c.entries))
	for i, e := range entries {
		if e.GetIndex() != start+uint64(i) || start < minIndex || start > maxIndex {
			return fmt.Errorf("%w: entry %d; the first one must have an index from %d to %d", errEntryOrder, e.GetIndex(), minIndex, maxIndex)
		}
	}
	c.entries = append(c.entries[:start-minIndex], entries...)
	return nil
}

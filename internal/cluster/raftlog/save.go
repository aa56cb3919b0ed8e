package raftlog

// This file owns what is written, and when it counts as kept.

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Save keeps what agree.Disk says. Once it has failed it fails for ever: after a failed fsync the system may have dropped the
// pages and call the next one a success.
func (l *Log) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if l.file == nil {
		return &IOError{"file", errors.New("closed")}
	}
	l.failed = l.save(record{Hard: hard, Entries: entries, Snap: snap})
	return l.failed
}

func (l *Log) save(r record) error {
	if err := l.take(r); err != nil {
		return &IOError{"order", err}
	}
	if !raft.IsEmptySnap(r.Snap) {
		return l.begin()
	}
	b, chain, err := appendRecord(l.buf[:0], l.chain, r)
	if err != nil {
		return &IOError{"form", err}
	}
	if cap(b) <= 1<<20 {
		l.buf = b[:0]
	}
	if _, err := l.file.Write(b); err != nil {
		return &IOError{"write", err}
	}
	if err := l.file.Sync(); err != nil {
		return &IOError{"fsync", err}
	}
	l.chain = chain
	return nil
}

// take changes what is held as a record says.
func (l *Log) take(r record) error {
	if r.Hard != nil {
		l.hard = r.Hard
	}
	if !raft.IsEmptySnap(r.Snap) {
		meta := r.Snap.GetMetadata()
		keep := len(l.entries)
		for i, e := range l.entries {
			if e.GetIndex() == meta.GetIndex() && e.GetTerm() == meta.GetTerm() {
				keep = i + 1
			}
		}
		l.snap, l.entries = r.Snap, slices.Clone(l.entries[keep:])
	}
	if len(r.Entries) == 0 {
		return nil
	}
	first, at := l.snap.GetMetadata().GetIndex()+1, r.Entries[0].GetIndex()
	for i, e := range r.Entries {
		if e.GetIndex() != at+uint64(i) || at < first || at > first+uint64(len(l.entries)) {
			return fmt.Errorf("entry %d where %d to %d is held", e.GetIndex(), first, first+uint64(len(l.entries)))
		}
	}
	l.entries = append(l.entries[:at-first], r.Entries...)
	return nil
}

// begin writes a generation of what is held, and removes those before it once it lasts.
func (l *Log) begin() error {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	records := []record{{Hard: l.hard, Snap: l.snap}}
	bytes := 0
	for _, e := range l.entries {
		if bytes == 0 {
			records = append(records, record{})
		}
		last := &records[len(records)-1]
		last.Entries = append(last.Entries, e)
		if bytes += len(e.GetData()) + 32; bytes > 1<<20 {
			bytes = 0
		}
	}
	b, chain, err := appendOpening(nil, opening{Version: version, Cluster: l.opts.Cluster, ID: l.opts.VoterID, Voters: l.opts.Voters,
		Head: len(records)})
	for i := 0; err == nil && i < len(records); i++ {
		b, chain, err = appendRecord(b, chain, records[i])
	}
	if err != nil {
		return &IOError{"form", err}
	}
	next, temp := l.gen+1, filepath.Join(l.opts.Directory, "raft.new")
	f, err := l.disk.Create(temp)
	if err != nil {
		return &IOError{"create", err}
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.disk.Rename(temp, filepath.Join(l.opts.Directory, name(next)))
	}
	if err == nil {
		err = l.disk.SyncDir(l.opts.Directory)
	}
	if err != nil {
		f.Close()
		return &IOError{"new generation", err}
	}
	l.gen, l.chain, l.file = next, chain, f
	names, _ := l.disk.ReadDir(l.opts.Directory)
	for _, old := range generations(names) {
		if old < l.gen {
			l.disk.Remove(filepath.Join(l.opts.Directory, name(old))) // what can't be removed costs room only
		}
	}
	return nil
}

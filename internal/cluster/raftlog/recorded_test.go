package raftlog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
)

// testdata/recorded holds directories of a voter as commit 1a4b6be wrote them: "whole" is unchanged, in "torn" the last 11 bytes of the
// file are missing, and in "damaged" a bit of byte 200 is flipped.
const recordedFile = "raft-00000003.log"

func recordedOptions(dir string) Options {
	return Options{Directory: dir, Cluster: "site-a", VoterID: 2, Voters: []uint64{3, 1, 2}}
}

func recordedEntry(term, index uint64) *pb.Entry {
	data := fmt.Sprintf("entry %d of term %d %s", index, term, strings.Repeat("x", int(index)))
	return &pb.Entry{Term: &term, Index: &index, Data: []byte(data)}
}

func recordedSnapshot() *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("state at 2"), Metadata: &pb.SnapshotMetadata{Term: new(uint64(1)), Index: new(uint64(2)),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}
}

// copyRecorded copies a recorded directory, since opening a log begins a new generation in its directory.
func copyRecorded(t *testing.T, name string) (dir string) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "recorded", name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestRecordedLogIsRead(t *testing.T) {
	for _, c := range []struct {
		name    string
		hard    *pb.HardState
		entries []*pb.Entry
	}{
		{"whole", hard(3, 1, 5), []*pb.Entry{recordedEntry(2, 3), recordedEntry(2, 4), recordedEntry(3, 5), recordedEntry(3, 6),
			recordedEntry(3, 7)}},
		{"torn", hard(3, 1, 4), []*pb.Entry{recordedEntry(2, 3), recordedEntry(2, 4), recordedEntry(3, 5)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := Open(recordedOptions(copyRecorded(t, c.name)))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			gotHard, entries, snap, err := l.Load()
			if err != nil || gotHard.String() != c.hard.String() || snap.String() != recordedSnapshot().String() {
				t.Errorf("hard state %v, snapshot %v, error %v", gotHard, snap, err)
			}
			if fmt.Sprint(entries) != fmt.Sprint(c.entries) {
				t.Errorf("entries %v, want %v", entries, c.entries)
			}
		})
	}
}

func TestRecordedDamageIsRefused(t *testing.T) {
	_, err := Open(recordedOptions(copyRecorded(t, "damaged")))
	var damaged *DamagedError
	if !errors.As(err, &damaged) {
		t.Error(err)
	}
}

// The same saves produce the same bytes as the recorded ones.
func TestRecordedLogIsWritten(t *testing.T) {
	o := recordedOptions(t.TempDir())
	o.Create = true
	runs := [][]record{
		{
			{hardState: hard(1, 2, 0)},
			{hardState: hard(1, 2, 0), entries: []*pb.Entry{recordedEntry(1, 1), recordedEntry(1, 2), recordedEntry(1, 3)}},
			{hardState: hard(2, 3, 2), entries: []*pb.Entry{recordedEntry(2, 3), recordedEntry(2, 4)}},
			{hardState: hard(2, 3, 3), snapshot: recordedSnapshot()},
		},
		{
			{hardState: hard(3, 1, 4), entries: []*pb.Entry{recordedEntry(3, 5)}},
			{hardState: hard(3, 1, 5), entries: []*pb.Entry{recordedEntry(3, 6), recordedEntry(3, 7)}},
		},
	}
	for _, run := range runs {
		l, err := Open(o)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range run {
			if err := l.Save(r.hardState, r.entries, r.snapshot); err != nil {
				t.Fatal(err)
			}
		}
		l.Close()
	}
	want, err := os.ReadFile(filepath.Join("testdata", "recorded", "whole", recordedFile))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(filepath.Join(o.Directory, recordedFile)); err != nil || !bytes.Equal(got, want) {
		t.Errorf("wrote %x, error %v, want %x", got, err, want)
	}
}

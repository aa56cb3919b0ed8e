package raftlog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/filesystem"
	"flaxfront/internal/filesystem/crashfs"
)

func testOptions(d filesystem.FS) Options {
	return Options{Directory: "d", Cluster: "c", VoterID: 1, Voters: []uint64{3, 1, 2}, Create: true, FS: d, Unlocked: true}
}

func entry(term, index uint64) *pb.Entry {
	data := fmt.Sprintf("%d/%d %s", term, index, strings.Repeat("x", int(index*37%900)))
	return &pb.Entry{Term: &term, Index: &index, Data: []byte(data)}
}

func hard(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func snapshot(term, index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte(fmt.Sprint("state ", index)), Metadata: &pb.SnapshotMetadata{Term: &term, Index: &index,
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}
}

// saves are the saves of a voter: appended entries, votes, replaced entries, a snapshot of its own and one of a leader.
var saves = []record{
	{hardState: hard(1, 1, 0)},
	{hardState: hard(1, 1, 0), entries: []*pb.Entry{entry(1, 1), entry(1, 2), entry(1, 3)}},
	{hardState: hard(1, 1, 2), entries: []*pb.Entry{entry(1, 4)}},
	{hardState: hard(2, 3, 2)},
	{hardState: hard(2, 3, 3), entries: []*pb.Entry{entry(2, 4), entry(2, 5)}}, // replaces entry 4
	{hardState: hard(2, 3, 5), snapshot: snapshot(2, 4)},                       // own snapshot: entry 5 stays
	{hardState: hard(2, 3, 5), entries: []*pb.Entry{entry(2, 6)}},
	{hardState: hard(4, 0, 20), snapshot: snapshot(4, 20), entries: []*pb.Entry{entry(4, 21)}}, // leader's snapshot
	{hardState: hard(4, 0, 21), entries: []*pb.Entry{entry(4, 22), entry(4, 23)}},
}

// stateText returns the content of a log as text.
func stateText(l *Log) string {
	h, es, s, err := l.Load()
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprint(h, s)
	for _, e := range es {
		text += fmt.Sprint(" ", e.GetIndex(), string(e.GetData()))
	}
	return text
}

// expectedStates returns the content of a log before the first and after each of the saves.
func expectedStates(t *testing.T) (all []string) {
	t.Helper()
	l, err := Open(testOptions(crashfs.New(1)))
	if err != nil {
		t.Fatal(err)
	}
	all = append(all, stateText(l))
	for _, r := range saves {
		if err := l.Save(r.hardState, r.entries, r.snapshot); err != nil {
			t.Fatal(err)
		}
		all = append(all, stateText(l))
	}
	return all
}

// runSaves performs the saves and returns how many were acknowledged. Once a save has failed, all later ones must fail.
func runSaves(t *testing.T, d filesystem.FS) (acknowledged int) {
	t.Helper()
	l, err := Open(testOptions(d))
	if err != nil {
		return 0
	}
	failed := false
	for _, r := range saves {
		err := l.Save(r.hardState, r.entries, r.snapshot)
		if err == nil && failed {
			t.Fatal("a save was acknowledged after an earlier one had failed")
		}
		failed = err != nil
		if !failed {
			acknowledged++
		}
	}
	return acknowledged
}

// checkReopened opens a log after a crash and returns an error unless its content is what was acknowledged, with or without the save that
// was in progress.
func checkReopened(d filesystem.FS, want []string, acknowledged int) error {
	l, err := Open(testOptions(d))
	if err != nil {
		return err
	}
	if got := stateText(l); got != want[acknowledged] && (acknowledged+1 == len(want) || got != want[acknowledged+1]) {
		return fmt.Errorf("the log holds %.80q, want %.80q", got, want[acknowledged])
	}
	return nil
}

func TestCrashAtEveryStep(t *testing.T) {
	want := expectedStates(t)
	faultFree := crashfs.New(1)
	if acknowledged := runSaves(t, faultFree); acknowledged != len(saves) {
		t.Fatal(acknowledged)
	}
	totalAcknowledged := 0
	for step := 1; step <= faultFree.Steps+1; step++ {
		for seed := range uint64(40) {
			d := crashfs.New(seed)
			d.CrashAt = step
			acknowledged := runSaves(t, d)
			after := d.Crash()
			if err := checkReopened(after, want, acknowledged); err != nil {
				t.Fatalf("step %d, seed %d: after %d acknowledged saves: %v", step, seed, acknowledged, err)
			}
			again := after.Crash() // what Open has written must be durable too
			if err := checkReopened(again, want, acknowledged); err != nil {
				t.Fatalf("step %d, seed %d: second start: %v", step, seed, err)
			}
			totalAcknowledged += acknowledged
		}
	}
	if totalAcknowledged == 0 {
		t.Fatal("no save was ever acknowledged")
	}
}

// The check of TestCrashAtEveryStep detects a log that acknowledges saves without an fsync.
func TestMissingFsyncIsDetected(t *testing.T) {
	want := expectedStates(t)
	for seed := range uint64(40) {
		d := crashfs.New(seed)
		l, err := Open(testOptions(d))
		if err != nil {
			t.Fatal(err)
		}
		acknowledged := 0
		for _, r := range saves[:5] {
			l.contents.apply(r)
			frame, checksum, _ := appendRecord(nil, l.checksum, r)
			l.file.Write(frame) // and no Sync
			l.checksum = checksum
			acknowledged++
		}
		if checkReopened(d.Crash(), want, acknowledged) != nil {
			return
		}
	}
	t.Fatal("the check found no lost save in 40 crashes without an fsync")
}

func TestDamageIsRefused(t *testing.T) {
	first := crashfs.New(1)
	runSaves(t, first)
	size := len(first.Bytes(first.Names()[0]))
	for at := 0; at < size; at++ {
		d := crashfs.New(1)
		runSaves(t, d)
		d.Bytes(d.Names()[0])[at] ^= 1 << (at % 8)
		_, err := Open(testOptions(d))
		var damaged *DamagedError
		if !errors.As(err, &damaged) || damaged.Remedy() == "" {
			t.Fatalf("a flipped bit at byte %d of %d: error %v, want a DamagedError with a remedy", at, size, err)
		}
	}
}

func TestFailingDisk(t *testing.T) {
	want := expectedStates(t)
	for name, breakDisk := range map[string]func(*crashfs.FS){
		"fsync": func(d *crashfs.FS) { d.FailSync = true },
		"full":  func(d *crashfs.FS) { d.Full = true },
	} {
		d := crashfs.New(2)
		l, err := Open(testOptions(d))
		if err != nil {
			t.Fatal(err)
		}
		for i, r := range saves {
			if i == 2 {
				breakDisk(d)
			}
			err := l.Save(r.hardState, r.entries, r.snapshot)
			var failed *IOError
			if (i >= 2) != errors.As(err, &failed) {
				t.Fatalf("%s: save %d: unexpected result: %v", name, i, err)
			}
			d.FailSync, d.Full = false, false // the disk works again, but the log must not go on
		}
		l.Close()
		if err := checkReopened(d.Crash(), want, 2); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

func TestMismatchedLogIsRefused(t *testing.T) {
	d := crashfs.New(1)
	runSaves(t, d)
	for name, change := range map[string]func(*Options){
		"cluster": func(o *Options) { o.Cluster = "b" },
		"voter":   func(o *Options) { o.VoterID = 2 },
		"voters":  func(o *Options) { o.Voters = []uint64{1, 2, 4} },
	} {
		o := testOptions(d)
		change(&o)
		var other *MismatchError
		if _, err := Open(o); !errors.As(err, &other) || other.Remedy() == "" {
			t.Errorf("another %s: error %v, want a MismatchError with a remedy", name, err)
		}
	}
	o := testOptions(crashfs.New(1))
	o.Create = false
	var missing *MissingError
	if _, err := Open(o); !errors.As(err, &missing) || missing.Remedy() == "" {
		t.Error(err)
	}
}

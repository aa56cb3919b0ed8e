package raftlog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/cluster/raftlog/crashfs"
)

func options(d FS) Options {
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

// saves is a voter's life: appends, votes, entries taken back, snapshots of its own and a leader's.
var saves = []record{
	{Hard: hard(1, 1, 0)},
	{Hard: hard(1, 1, 0), Entries: []*pb.Entry{entry(1, 1), entry(1, 2), entry(1, 3)}},
	{Hard: hard(1, 1, 2), Entries: []*pb.Entry{entry(1, 4)}},
	{Hard: hard(2, 3, 2)},
	{Hard: hard(2, 3, 3), Entries: []*pb.Entry{entry(2, 4), entry(2, 5)}}, // takes 4 back
	{Hard: hard(2, 3, 5), Snap: snapshot(2, 4)},                           // of its own: 5 stays
	{Hard: hard(2, 3, 5), Entries: []*pb.Entry{entry(2, 6)}},
	{Hard: hard(4, 0, 20), Snap: snapshot(4, 20), Entries: []*pb.Entry{entry(4, 21)}}, // a leader's
	{Hard: hard(4, 0, 21), Entries: []*pb.Entry{entry(4, 22), entry(4, 23)}},
}

// state is what a log holds, as text.
func state(l *Log) string {
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

// states are what a log holds before and after each save.
func states(t *testing.T) (all []string) {
	l, err := Open(options(crashfs.New(1)))
	if err != nil {
		t.Fatal(err)
	}
	all = append(all, state(l))
	for _, r := range saves {
		if err := l.Save(r.Hard, r.Entries, r.Snap); err != nil {
			t.Fatal(err)
		}
		all = append(all, state(l))
	}
	return all
}

// play saves until the disk fails and tells how many saves were acknowledged.
func play(t *testing.T, d FS) (kept int) {
	l, err := Open(options(d))
	if err != nil {
		return 0
	}
	failed := false
	for _, r := range saves {
		err := l.Save(r.Hard, r.Entries, r.Snap)
		if err == nil && failed {
			t.Fatal("a save was acknowledged after one had failed")
		}
		if failed = err != nil; !failed {
			kept++
		}
	}
	return kept
}

// holds opens what a crash left and tells whether it is what was acknowledged, or that and the save under way.
func holds(d FS, want []string, kept int) error {
	l, err := Open(options(d))
	if err != nil {
		return err
	}
	if got := state(l); got != want[kept] && (kept+1 == len(want) || got != want[kept+1]) {
		return fmt.Errorf("holds %.80q, not %.80q", got, want[kept])
	}
	return nil
}

func TestCrashAtEveryStep(t *testing.T) {
	want, whole := states(t), crashfs.New(1)
	if kept := play(t, whole); kept != len(saves) {
		t.Fatal(kept)
	}
	tails := 0
	for step := 1; step <= whole.Steps+1; step++ {
		for seed := range uint64(40) {
			d := crashfs.New(seed)
			d.CrashAt = step
			kept := play(t, d)
			after := d.Crash()
			if err := holds(after, want, kept); err != nil {
				t.Fatalf("step %d, seed %d: after %d saves: %v", step, seed, kept, err)
			}
			again := after.Crash() // what a start has written lasts too
			if err := holds(again, want, kept); err != nil {
				t.Fatalf("step %d, seed %d: second start: %v", step, seed, err)
			}
			tails += kept
		}
	}
	if tails == 0 {
		t.Fatal("nothing was ever kept")
	}
}

// A log that acknowledges without an fsync is found by what the test above checks.
func TestCrashFindsAMissingFsync(t *testing.T) {
	want := states(t)
	for seed := range uint64(40) {
		d := crashfs.New(seed)
		l, err := Open(options(d))
		if err != nil {
			t.Fatal(err)
		}
		kept := 0
		for _, r := range saves[:5] {
			l.take(r)
			b, chain, _ := appendRecord(nil, l.chain, r)
			l.file.Write(b) // and no Sync
			l.chain = chain
			kept++
		}
		if holds(d.Crash(), want, kept) != nil {
			return
		}
	}
	t.Fatal("40 crashes without an fsync lost nothing")
}

func TestDamageIsRefused(t *testing.T) {
	first := crashfs.New(1)
	play(t, first)
	size := len(first.Bytes(first.Names()[0]))
	for at := 0; at < size; at++ {
		d := crashfs.New(1)
		play(t, d)
		d.Bytes(d.Names()[0])[at] ^= 1 << (at % 8)
		_, err := Open(options(d))
		var damaged *DamagedError
		if !errors.As(err, &damaged) || damaged.Remedy() == "" {
			t.Fatalf("a bit turned at byte %d of %d: %v", at, size, err)
		}
	}
}

func TestFailingDisk(t *testing.T) {
	want := states(t)
	for name, spoil := range map[string]func(*crashfs.FS){
		"fsync": func(d *crashfs.FS) { d.FailSync = true },
		"full":  func(d *crashfs.FS) { d.Full = true },
	} {
		d := crashfs.New(2)
		l, err := Open(options(d))
		if err != nil {
			t.Fatal(err)
		}
		for i, r := range saves {
			if i == 2 {
				spoil(d)
			}
			err := l.Save(r.Hard, r.Entries, r.Snap)
			var failed *IOError
			if (i >= 2) != errors.As(err, &failed) {
				t.Fatalf("%s: save %d: %v", name, i, err)
			}
			d.FailSync, d.Full = false, false // the disk is well again; the log must not go on
		}
		l.Close()
		if err := holds(d.Crash(), want, 2); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

func TestOthersAreRefused(t *testing.T) {
	d := crashfs.New(1)
	play(t, d)
	for name, change := range map[string]func(*Options){
		"cluster": func(o *Options) { o.Cluster = "b" },
		"voter":   func(o *Options) { o.VoterID = 2 },
		"voters":  func(o *Options) { o.Voters = []uint64{1, 2, 4} },
	} {
		o := options(d)
		change(&o)
		var other *MismatchError
		if _, err := Open(o); !errors.As(err, &other) || other.Remedy() == "" {
			t.Errorf("another %s: %v", name, err)
		}
	}
	o := options(crashfs.New(1))
	o.Create = false
	var missing *MissingError
	if _, err := Open(o); !errors.As(err, &missing) || missing.Remedy() == "" {
		t.Error(err)
	}
}

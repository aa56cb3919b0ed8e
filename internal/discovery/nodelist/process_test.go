package nodelist

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/filesystem"
	"flaxfront/internal/filesystem/crashfs"
)

// Of two brokers in one directory the second only reads, and it writes once the first has released the lock.
func TestLocked(t *testing.T) {
	dir := t.TempDir()
	first, _ := Open(Options{Directory: dir, Deployment: "x"})
	first.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{entry(1)}})
	if err := first.Flush(); err != nil {
		t.Fatal(err)
	}
	second, c := Open(Options{Directory: dir, Deployment: "x"})
	second.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{entry(2)}})
	var locked *LockedError
	if err := second.Flush(); !errors.As(err, &locked) || second.HoldsLock() || len(c.Entries) != 1 {
		t.Fatalf("%v, %+v", err, c.Entries)
	}
	if err := SubmitRequest(filesystem.Local{}, dir, "x", OperatorRequest{Forget: []string{"node-1"}, Import: []cachedlist.Entry{entry(3)}}, time.Unix(5, 0)); err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(dir, requestsDirectory, "6.ask"), []byte("no ask"), 0o600)
	var got []OperatorRequest
	first.deliverRequests(func(a OperatorRequest) { got = append(got, a) })
	first.deliverRequests(func(a OperatorRequest) { got = append(got, a) })
	if len(got) != 1 || got[0].Forget[0] != "node-1" || got[0].Import[0] != entry(3) {
		t.Errorf("requests delivered: %+v", got)
	}
	first.Close()
	if err := second.Flush(); err != nil {
		t.Error(err)
	}
	second.Close()
}

// A directory that can't be created is no obstacle to Open; writes return an error.
func TestNoDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	s, c := Open(Options{Directory: filepath.Join(file, "below"), Deployment: "x"})
	s.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{entry(1)}})
	if err := s.Flush(); err == nil || c.Found {
		t.Errorf("%v, %+v", err, c)
	}
	s.Close()
}

// runChild writes states until the process is killed, and prints the number of each on standard output once it is durable.
func runChild(dir string) {
	s, _ := Open(Options{Directory: dir, Deployment: "x", MinJournalBytes: 2000})
	for i := range 1 << 20 {
		e := entry(i % 20)
		e.StateSince = cachedlist.Timestamp(i)
		s.Enqueue(cachedlist.Changes{Head: cachedlist.Head{Generation: uint64(i)}, Put: []cachedlist.Entry{e}})
		if s.Flush() != nil {
			os.Exit(1)
		}
		fmt.Println(i)
	}
}

// A process that is killed leaves at least the last state that it printed as durable, and the lock is free.
func TestKilledProcess(t *testing.T) {
	for round := range 5 {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "NODELIST_CHILD="+dir)
		out, err := cmd.StdoutPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		confirmed, last := 0, -1
		for confirmed < 20+30*round {
			if _, err := fmt.Fscan(out, &last); err != nil {
				t.Fatal(err)
			}
			confirmed++
		}
		cmd.Process.Kill()
		for {
			if _, err := fmt.Fscan(out, &last); err != nil {
				break
			}
		}
		cmd.Wait()
		s, c := Open(Options{Directory: dir, Deployment: "x"})
		if got := int(c.Head.Generation); got != last && got != last+1 || !s.HoldsLock() {
			t.Errorf("read generation %d, last printed %d, lock held %v, faults %v", got, last, s.HoldsLock(), c.FileErrors)
		}
		s.Close()
	}
}

func FuzzRead(f *testing.F) {
	disk := crashfs.New(1)
	s, _ := Open(options(disk))
	writeRandomChanges(s, rand.New(rand.NewPCG(5, 5)), nil, 3)
	snapshotPath := filepath.Join("d", snapshotName(1))
	journalPath := filepath.Join("d", journalName(1))
	f.Add(disk.Bytes(snapshotPath), disk.Bytes(journalPath))
	f.Fuzz(func(t *testing.T, snapshot, journal []byte) {
		disk := crashfs.New(1)
		for path, content := range map[string][]byte{snapshotPath: snapshot, journalPath: journal} {
			if _, err := filesystem.CreateSynced(disk, path, content); err != nil {
				t.Fatal(err)
			}
		}
		c, _ := Read(disk, "d", "")
		for name, e := range c.Entries {
			if name != e.Name || name == "" || e.Cell < 0 || e.State > cachedlist.Ended {
				t.Errorf("read %+v", e)
			}
		}
	})
}

func manyEntries(n int) (c cachedlist.Changes) {
	for i := range n {
		e := entry(i % 250)
		e.Name = fmt.Sprintf("node-%08x", i)
		c.Put = append(c.Put, e)
	}
	return c
}

func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{16, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			s, _ := Open(Options{Directory: dir, Deployment: "x"})
			s.Enqueue(manyEntries(n))
			if err := s.Flush(); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if c, err := Read(filesystem.Local{}, dir, "x"); err != nil || len(c.Entries) != n {
					b.Fatal(err, len(c.Entries))
				}
			}
			b.ReportMetric(float64(s.snapshotBytes), "bytes")
			s.Close()
		})
	}
}

// If no broker carries out requests, only a limited number are accepted.
func TestPendingRequests(t *testing.T) {
	disk := crashfs.New(1)
	request := OperatorRequest{Forget: []string{"node-1"}}
	for i := range maxPendingRequests {
		if err := SubmitRequest(disk, "d", "x", request, time.Unix(0, int64(i))); err != nil {
			t.Fatal(err)
		}
	}
	var pending *RequestsPendingError
	err := SubmitRequest(disk, "d", "x", request, time.Unix(1, 0))
	if !errors.As(err, &pending) || pending.Pending != maxPendingRequests || pending.Remedy() == "" {
		t.Error(err)
	}
	disk.Full = true
	var failed *StorageError
	err = SubmitRequest(disk, "other", "x", request, time.Unix(1, 0))
	if !errors.As(err, &failed) || !errors.Is(err, syscall.ENOSPC) || failed.Remedy() == "" {
		t.Error(err)
	}
}

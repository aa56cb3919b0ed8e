package nodelist

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/filesystem"
	"flaxfront/internal/filesystem/crashfs"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if dir := os.Getenv("NODELIST_CHILD"); dir != "" {
		runChild(dir)
	}
	os.Exit(m.Run())
}

func entry(i int) cachedlist.Entry {
	return cachedlist.Entry{Name: fmt.Sprintf("node-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		Zone: "a", Cell: i % 4, ConfirmedAt: cachedlist.Timestamp(1000 + i), StateSince: 7, Generation: 3}
}

func options(d *crashfs.FS) Options {
	return Options{Directory: "d", Deployment: "x", FS: d, Unlocked: true, MinJournalBytes: 400}
}

// writeRandomChanges enqueues and flushes random changes, one after the other, until the disk fails. states[i] is the list after i changes;
// acknowledged is how many of them the store reported as durable.
func writeRandomChanges(s *Store, rnd *rand.Rand, first map[string]cachedlist.Entry, changes int) (states []map[string]cachedlist.Entry, acknowledged int) {
	current := map[string]cachedlist.Entry{}
	maps.Copy(current, first)
	states = append(states, maps.Clone(current))
	for i := range changes {
		var c cachedlist.Changes
		c.Head.Generation = uint64(i)
		for range 1 + rnd.IntN(3) {
			e := entry(rnd.IntN(12))
			if rnd.IntN(4) == 0 {
				c.Removed = append(c.Removed, e.Name)
				delete(current, e.Name)
			} else {
				e.StateSince = cachedlist.Timestamp(100 + i)
				c.Put = append(c.Put, e)
				current[e.Name] = e
			}
		}
		// Within one call, the store applies removals after puts.
		for _, name := range c.Removed {
			delete(current, name)
		}
		states = append(states, maps.Clone(current))
		s.Enqueue(c)
		if s.Flush() != nil {
			return states, acknowledged
		}
		acknowledged = i + 1
	}
	return states, acknowledged
}

// After a crash at any step, the disk holds the last acknowledged state or the one that was being written, and the next start continues
// from it.
func TestCrashAtEveryStep(t *testing.T) {
	for name, damage := range map[string]crashfs.Damage{"flipped bit": crashfs.FlippedBit, "unwritten sector": crashfs.UnwrittenSector} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				for step := 1; crashAtStep(t, seed, step, damage); step++ {
				}
			}
		})
	}
}

// crashAtStep simulates a crash at a step of the disk. It returns false if the writes ended before that step.
func crashAtStep(t *testing.T, seed uint64, step int, damage crashfs.Damage) bool {
	t.Helper()
	disk := crashfs.New(seed*1000 + uint64(step-1))
	disk.CrashAt = step
	disk.Damage = damage
	random := rand.New(rand.NewPCG(seed, 9))
	s, _ := Open(options(disk))
	states, acknowledged := writeRandomChanges(s, random, nil, 40)
	after := disk.Crash()
	s, c := Open(options(after))
	found := slices.ContainsFunc(states[acknowledged:], func(state map[string]cachedlist.Entry) bool {
		return maps.Equal(c.Entries, state)
	})
	if !found {
		t.Fatalf("seed %d, step %d: %d changes acknowledged; read %d entries, of no later state; faults %v",
			seed, step, acknowledged, len(c.Entries), c.FileErrors)
	}
	more, acknowledged := writeRandomChanges(s, random, c.Entries, 5)
	if acknowledged != 5 {
		t.Fatalf("seed %d, step %d: writes failed after the restart", seed, step)
	}
	if c, _ := Read(after, "d", "x"); !maps.Equal(c.Entries, more[5]) {
		t.Fatalf("seed %d, step %d: read %v after the restart, faults %v", seed, step, c.Entries, c.FileErrors)
	}
	return disk.Steps >= step
}

// No change is lost while the disk is full: it is written once there is space again.
func TestDiskFull(t *testing.T) {
	disk := crashfs.New(1)
	s, _ := Open(options(disk))
	states, _ := writeRandomChanges(s, rand.New(rand.NewPCG(1, 1)), nil, 10)
	disk.Full = true
	s.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{entry(50)}})
	for range 3 {
		if err := s.Flush(); !errors.Is(err, syscall.ENOSPC) {
			t.Fatal(err)
		}
		if c, _ := Read(disk, "d", "x"); !maps.Equal(c.Entries, states[10]) {
			t.Fatalf("read while the disk is full: %v, faults %v", c.Entries, c.FileErrors)
		}
	}
	disk.Full = false
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
	states[10][entry(50).Name] = entry(50)
	if c, _ := Read(disk, "d", "x"); !maps.Equal(c.Entries, states[10]) || !s.Counters.Saving.Load() {
		t.Fatalf("read once there is space: %v, faults %v", c.Entries, c.FileErrors)
	}
}

// If any one byte of any file is changed, Read returns a state that was acknowledged or none, and never panics.
func TestFlippedBytes(t *testing.T) {
	disk := crashfs.New(1)
	s, _ := Open(options(disk))
	states, _ := writeRandomChanges(s, rand.New(rand.NewPCG(5, 5)), nil, 12)
	for _, name := range disk.Names() {
		data := disk.Bytes(name)
		for i := range data {
			data[i] ^= 0x41
			c, err := Read(disk, "d", "x")
			found := !c.Found
			for _, s := range states {
				found = found || maps.Equal(c.Entries, s)
			}
			if err != nil || !found {
				t.Fatalf("%s, byte %d changed: error %v, read %v", name, i, err, c.Entries)
			}
			if len(c.FileErrors) == 0 && !strings.HasSuffix(name, snapshotName(s.generation-1)) && !strings.HasSuffix(name, journalName(s.generation-1)) {
				t.Fatalf("%s, byte %d changed: no file error", name, i)
			}
			data[i] ^= 0x41
		}
	}
}

// A file that can't be used is set aside with a suffix that says why, and the store works without it.
func TestSetAside(t *testing.T) {
	for suffix, c := range map[string]struct {
		deployment string
		spoil      func(b []byte) []byte
	}{
		".other-deployment": {"y", func(b []byte) []byte { return b }},
		".damaged":          {"x", func(b []byte) []byte { b[len(b)-1] ^= 1; return b }},
		".later-version": {"x", func([]byte) []byte {
			b, _ := appendFrame([]byte(fileMagic), fileHeader{Version: 9, Deployment: "x"})
			return append(b, "whatever later versions hold"...)
		}},
	} {
		dir := t.TempDir()
		s, _ := Open(Options{Directory: dir, Deployment: "x"})
		s.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{entry(1)}})
		if err := s.Flush(); err != nil {
			t.Fatal(err)
		}
		s.Close()
		path := filepath.Join(dir, snapshotName(1))
		b, _ := os.ReadFile(path)
		os.WriteFile(path, c.spoil(b), 0o600)
		s, content := Open(Options{Directory: dir, Deployment: c.deployment})
		if _, err := os.Stat(path + suffix); err != nil || content.Found || len(content.Entries) > 0 {
			t.Errorf("%s: %v, %+v", suffix, err, content)
		}
		s.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{entry(2)}})
		if err := s.Flush(); err != nil {
			t.Errorf("%s: %v", suffix, err)
		}
		s.Close()
		if content, _ := Read(filesystem.Local{}, dir, c.deployment); len(content.Entries) != 1 || content.Entries["node-2"] != entry(2) {
			t.Errorf("%s: after a new write read %+v", suffix, content)
		}
	}
}

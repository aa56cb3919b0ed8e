package crashfs

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"syscall"
	"testing"

	"flaxfront/internal/filesystem"
)

const (
	synced   = "synced and "
	unsynced = "written after it"
)

// diskWithUnsyncedData returns a disk with a durable file that has unsynced bytes at its end, and a synced file whose name is not durable.
func diskWithUnsyncedData(t *testing.T, seed uint64) *FS {
	t.Helper()
	d := New(seed)
	f, err := filesystem.CreateSynced(d, "dir/old", []byte(synced))
	if err == nil {
		err = d.SyncDir("dir")
	}
	if err == nil {
		_, err = f.Write([]byte(unsynced))
	}
	if err == nil {
		_, err = filesystem.CreateSynced(d, "dir/new", []byte(synced))
	}
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Synced data is there after each crash. For the rest, each outcome that the package comment lists occurs with some seed.
func TestCrash(t *testing.T) {
	for name, damage := range map[string]Damage{"unwritten sector": UnwrittenSector, "flipped bit": FlippedBit} {
		t.Run(name, func(t *testing.T) {
			seen := map[string]bool{}
			for seed := range uint64(200) {
				d := diskWithUnsyncedData(t, seed)
				d.Damage = damage
				after := d.Crash()
				data := after.Bytes("dir/old")
				if !bytes.HasPrefix(data, []byte(synced)) {
					t.Fatalf("seed %d: synced data was lost; the file has %q", seed, data)
				}
				rest := data[len(synced):]
				seen["nothing of the rest"] = seen["nothing of the rest"] || len(rest) == 0
				seen["all of the rest"] = seen["all of the rest"] || string(rest) == unsynced
				seen["damaged"] = seen["damaged"] || string(rest) != unsynced[:len(rest)]
				seen["name lost"] = seen["name lost"] || !slices.Contains(after.Names(), "dir/new")
				seen["name there"] = seen["name there"] || slices.Contains(after.Names(), "dir/new")
				if again := after.Crash(); !bytes.Equal(again.Bytes("dir/old"), data) {
					t.Fatalf("seed %d: a second crash changed the content that the first one left", seed)
				}
			}
			for _, outcome := range []string{"nothing of the rest", "all of the rest", "damaged", "name lost", "name there"} {
				if !seen[outcome] {
					t.Errorf("occurred with no seed: %s", outcome)
				}
			}
		})
	}
}

// From step CrashAt on, each call fails.
func TestCrashAt(t *testing.T) {
	faultFree := diskWithUnsyncedData(t, 1)
	for step := 1; step <= faultFree.Steps; step++ {
		d := New(1)
		d.CrashAt = step
		f, err := filesystem.CreateSynced(d, "dir/old", []byte(synced))
		if err == nil {
			err = d.SyncDir("dir")
		}
		if err == nil {
			_, err = f.Write([]byte(unsynced))
		}
		if err == nil {
			_, err = filesystem.CreateSynced(d, "dir/new", []byte(synced))
		}
		if !errors.Is(err, ErrCrash) || d.MkdirAll("dir") == nil || d.Remove("dir/old") == nil || d.Rename("dir/old", "dir/x") == nil {
			t.Errorf("step %d: not all calls failed, or the error is not ErrCrash: %v", step, err)
		}
	}
}

func TestFullAndFailingSync(t *testing.T) {
	d := New(1)
	f, err := d.Create("dir/file")
	if err != nil {
		t.Fatal(err)
	}
	d.Full = true
	if n, err := f.Write([]byte("1234")); n != 2 || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("write to a full disk: %d bytes, error %v, want 2 bytes and ENOSPC", n, err)
	}
	d.FailSync = true
	if err := f.Sync(); !errors.Is(err, syscall.EIO) {
		t.Errorf("sync with FailSync: error %v, want EIO", err)
	}
	r, err := d.Open("dir/file")
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(r); string(got) != "12" {
		t.Errorf("read %q, want \"12\"", got)
	}
}

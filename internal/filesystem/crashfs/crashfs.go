// Package crashfs is an in-memory file system for tests of stores. It simulates faults of a disk:
//
//   - It crashes at a step that the test chooses (FS.CrashAt): that call and all later ones fail, a write possibly halfway.
//   - After a crash (FS.Crash), data that was synced is there, and a random part of the rest, damaged as FS.Damage says.
//   - It is full (FS.Full), or fails to sync (FS.FailSync).
//
// A test runs a program with each CrashAt from 1 to one more than FS.Steps of a run without faults, opens the store on the file system
// that Crash returns, and compares its content with what the program acknowledged:
//
//	for step := 1; step <= faultFree.Steps+1; step++ {
//		disk := crashfs.New(seed)
//		disk.CrashAt = step
//		acknowledged := run(disk)
//		check(disk.Crash(), acknowledged)
//	}
//
// The same seed and calls produce the same files. An FS must be used by one goroutine only. Only tests may import this package.
package crashfs

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"flaxfront/internal/filesystem"
)

// ErrCrash is returned by the call that crashes and by each later one.
var ErrCrash = errors.New("crashed")

// Damage is how a crash may damage bytes that were written and not synced, besides truncating them.
type Damage uint8

const (
	// UnwrittenSector zeroes the unsynced bytes of one sector, as if it did not reach the disk.
	UnwrittenSector Damage = iota
	// FlippedBit flips a bit of the last byte that is left.
	FlippedBit
)

// FS is a simulated disk. Use New: the zero value is not usable.
type FS struct {
	Steps    int    // calls so far, not counting Open of a missing file, writes while Full, and Close
	CrashAt  int    // first step that fails; all later ones fail too; 0: none
	FailSync bool   // each Sync of a file fails, and a crash may lose the data that it should have made durable
	Full     bool   // each write writes half of its bytes and fails with ENOSPC
	Damage   Damage // caused by Crash

	random  *rand.Rand
	files   fileTable
	durable fileTable    // files as of the last SyncDir
	changes []nameChange // name changes since then
}

var _ filesystem.FS = (*FS)(nil)

// fileTable maps paths to files.
type fileTable map[string]*file

// nameChange creates, renames or removes a file in a table.
type nameChange func(fileTable)

// file is the content of a file, independent of its name.
type file struct {
	data        []byte
	syncedBytes int // number of bytes at the start of data that are durable
}

// New returns an empty disk. The seed determines what crashes leave.
func New(seed uint64) *FS {
	return &FS{random: rand.New(rand.NewPCG(seed, 7)), files: fileTable{}, durable: fileTable{}}
}

// Crash returns the disk as it is after a crash: with the synced names and content, some of the later name changes, and some of the later
// written bytes. The returned disk has the same Damage, and no other faults set. The old one must not be used afterwards.
func (d *FS) Crash() *FS {
	next := New(d.random.Uint64())
	next.Damage = d.Damage
	keptChanges := d.random.IntN(len(d.changes) + 1)
	for _, change := range d.changes[:keptChanges] {
		change(d.durable)
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		data := d.afterCrash(d.durable[name])
		f := &file{data: data, syncedBytes: len(data)}
		next.files[name] = f
		next.durable[name] = f
	}
	return next
}

// Bytes returns a file's content, which a test may change in place. It panics if there is no such file.
func (d *FS) Bytes(name string) []byte { return d.files[name].data }

// Names returns the paths of all files, sorted.
func (d *FS) Names() []string { return slices.Sorted(maps.Keys(d.files)) }

// step counts a call, and returns ErrCrash from step CrashAt on.
func (d *FS) step() error {
	d.Steps++
	if d.CrashAt > 0 && d.Steps >= d.CrashAt {
		return ErrCrash
	}
	return nil
}

// applyNameChange applies a change that the next SyncDir makes durable.
func (d *FS) applyNameChange(change nameChange) error {
	if err := d.step(); err != nil {
		return err
	}
	change(d.files)
	d.changes = append(d.changes, change)
	return nil
}

// MkdirAll only counts a step: a directory exists as soon as it contains a file.
func (d *FS) MkdirAll(string) error { return d.step() }

// ReadDir returns the names of the files in a directory.
func (d *FS) ReadDir(dir string) (names []string, err error) {
	for name := range d.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, d.step()
}

// Open opens a file for reading.
func (d *FS) Open(name string) (io.ReadCloser, error) {
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(f.data)), d.step()
}

// Create creates an empty file, replacing any file of that name.
func (d *FS) Create(name string) (filesystem.File, error) {
	f := &file{}
	err := d.applyNameChange(func(t fileTable) { t[name] = f })
	if err != nil {
		return nil, err
	}
	return &handle{disk: d, file: f}, nil
}

// Rename renames a file, replacing any file with the new name. It returns no error if there is no file to rename.
func (d *FS) Rename(from, to string) error {
	return d.applyNameChange(func(t fileTable) {
		if f := t[from]; f != nil {
			t[to] = f
			delete(t, from)
		}
	})
}

// Remove removes a file. It returns no error if there is no such file.
func (d *FS) Remove(name string) error {
	return d.applyNameChange(func(t fileTable) { delete(t, name) })
}

// SyncDir makes the names of all directories durable.
func (d *FS) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.files)
	d.changes = nil
	return nil
}

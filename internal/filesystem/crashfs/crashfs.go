// Package crashfs is a file system in memory for tests of stores. It does what a disk may do to a program:
//
//   - it crashes at the step that the test names (FS.CrashAt): that call and all after it fail, a write perhaps halfway;
//   - what a start finds after a crash (FS.Crash) is what was synced, and of the rest a random part, damaged as FS.Damage says;
//   - it runs full (FS.Full), or fails to sync (FS.FailSync).
//
// A test plays a program with CrashAt from 1 up to FS.Steps of an undisturbed run, opens the store on what Crash returns, and
// compares with what the program had acknowledged:
//
//	for step := 1; step <= undisturbed.Steps+1; step++ {
//		disk := crashfs.New(seed)
//		disk.CrashAt = step
//		acknowledged := run(disk)
//		check(disk.Crash(), acknowledged)
//	}
//
// The same seed and calls lead to the same files. An FS is for one goroutine. Nothing but tests may import this package.
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

// ErrCrash is returned by the call that crashes, and by each one after it.
var ErrCrash = errors.New("crashed")

// Damage says what a crash does to bytes that were written and not synced, besides cutting them off.
type Damage uint8

const (
	// UnwrittenSector leaves some of them zero: a sector that did not reach the disk.
	UnwrittenSector Damage = iota
	// FlippedBit turns a bit of the last byte that is left.
	FlippedBit
)

// FS is a disk. The zero value is not usable: New makes one.
type FS struct {
	Steps    int    // calls made so far, without those to Open for a missing file and to Close
	CrashAt  int    // the step that fails, and all after it; 0: none
	FailSync bool   // each Sync of a file fails, and what it should have made durable may be lost
	Full     bool   // each write ends halfway, with ENOSPC
	Damage   Damage // of a crash

	random  *rand.Rand
	files   fileTable
	durable fileTable    // as of the last SyncDir
	changes []nameChange // of names since then
}

var _ filesystem.FS = (*FS)(nil)

// fileTable has the files by their paths.
type fileTable map[string]*file

// nameChange creates, renames or removes a file in a table.
type nameChange func(fileTable)

// file is the content of a file, whatever its name.
type file struct {
	data        []byte
	syncedBytes int // from its start on, durable
}

// New returns an empty disk. The seed decides what crashes leave.
func New(seed uint64) *FS {
	return &FS{random: rand.New(rand.NewPCG(seed, 7)), files: fileTable{}, durable: fileTable{}}
}

// Crash returns the disk that a start after a crash finds: names and content that were synced, some of the changes to names since,
// and some of the bytes written since. It has no faults set, and damages as this one. This disk must not be used after it.
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

// Bytes is a file's content. A test may change it in place. It panics where there is no such file.
func (d *FS) Bytes(name string) []byte { return d.files[name].data }

// Names lists the paths of all files, sorted.
func (d *FS) Names() []string { return slices.Sorted(maps.Keys(d.files)) }

// step counts a call, and fails from the chosen one on.
func (d *FS) step() error {
	d.Steps++
	if d.CrashAt > 0 && d.Steps >= d.CrashAt {
		return ErrCrash
	}
	return nil
}

// applyNameChange makes a change that becomes durable with SyncDir.
func (d *FS) applyNameChange(change nameChange) error {
	if err := d.step(); err != nil {
		return err
	}
	change(d.files)
	d.changes = append(d.changes, change)
	return nil
}

// MkdirAll does nothing: directories are there as soon as a file is in them.
func (d *FS) MkdirAll(string) error { return d.step() }

// ReadDir lists the files of a directory.
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

// Create makes an empty file.
func (d *FS) Create(name string) (filesystem.File, error) {
	f := &file{}
	err := d.applyNameChange(func(t fileTable) { t[name] = f })
	if err != nil {
		return nil, err
	}
	return &handle{disk: d, file: f}, nil
}

// Rename moves a file over another; one that is not there is no error.
func (d *FS) Rename(from, to string) error {
	return d.applyNameChange(func(t fileTable) {
		if f := t[from]; f != nil {
			t[to] = f
			delete(t, from)
		}
	})
}

// Remove removes a file; one that is not there is no error.
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

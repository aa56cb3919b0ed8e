// Package crashfs is a file system in memory for tests: it forgets in a crash what was not fsynced, fails at a step that the
// test names, and fills up. It owns nothing outside memory and must never be used but in tests.
//
// Depends on discovery/nodelist. Concurrency: nothing here locks or starts a goroutine; a value is used by
// one goroutine at a time.
package crashfs

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"syscall"

	"flaxfront/internal/discovery/nodelist"
)

// ErrCrash is what each step returns after the one that the test named.
var ErrCrash = errors.New("crashed")

// FS is a disk.
type FS struct {
	Steps    int  // steps done
	CrashAt  int  // the step that fails, and all after it; 0 is none
	FailSync bool // each fsync of a file fails, and what it should have kept may be lost
	Full     bool // a write ends in its midst

	rnd     *rand.Rand
	files   map[string]*file
	lasting map[string]*file
	names   []func(map[string]*file) // since the directory was synced
}

type file struct {
	data   []byte
	synced int
}

// New is an empty disk.
func New(seed uint64) *FS {
	return &FS{rnd: rand.New(rand.NewPCG(seed, 7)), files: map[string]*file{}, lasting: map[string]*file{}}
}

// Crash returns the disk that the next start finds: what was synced, and of the rest a part, whole sectors of it perhaps
// unwritten.
func (d *FS) Crash() *FS {
	n := New(d.rnd.Uint64())
	for _, op := range d.names[:d.rnd.IntN(len(d.names)+1)] {
		op(d.lasting)
	}
	for name, f := range d.lasting {
		data := bytes.Clone(f.data[:f.synced])
		if rest := len(f.data) - f.synced; rest > 0 {
			data = append(data, f.data[f.synced:f.synced+d.rnd.IntN(rest+1)]...)
			if d.rnd.IntN(2) == 0 && len(data) > f.synced {
				from := f.synced + d.rnd.IntN(len(data)-f.synced)
				from -= from % 512
				clear(data[max(from, f.synced):min(from+512, len(data))])
			}
		}
		n.files[name] = &file{data, len(data)}
		n.lasting[name] = n.files[name]
	}
	return n
}

// Bytes is a file's content, for tests that spoil it.
func (d *FS) Bytes(name string) []byte { return d.files[name].data }

// Names lists all files.
func (d *FS) Names() (names []string) {
	for name := range d.files {
		names = append(names, name)
	}
	return names
}

func (d *FS) step() error {
	if d.Steps++; d.CrashAt > 0 && d.Steps >= d.CrashAt {
		return ErrCrash
	}
	return nil
}

func (d *FS) change(op func(map[string]*file)) error {
	if err := d.step(); err != nil {
		return err
	}
	op(d.files)
	d.names = append(d.names, op)
	return nil
}

func (d *FS) MkdirAll(string) error { return d.step() }

func (d *FS) ReadDir(dir string) (names []string, err error) {
	for name := range d.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, d.step()
}

func (d *FS) Open(name string) (io.ReadCloser, error) {
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(f.data)), d.step()
}

func (d *FS) Create(name string) (nodelist.File, error) {
	f := &file{}
	if err := d.change(func(m map[string]*file) { m[name] = f }); err != nil {
		return nil, err
	}
	return &handle{d, f}, nil
}

func (d *FS) Rename(from, to string) error {
	return d.change(func(m map[string]*file) {
		if f := m[from]; f != nil {
			m[to] = f
			delete(m, from)
		}
	})
}

func (d *FS) Remove(name string) error {
	return d.change(func(m map[string]*file) { delete(m, name) })
}

func (d *FS) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.lasting, d.names = maps.Clone(d.files), nil
	return nil
}

type handle struct {
	d *FS
	f *file
}

func (h *handle) Write(b []byte) (int, error) {
	if h.d.Full {
		n := len(b) / 2
		h.f.data = append(h.f.data, b[:n]...)
		return n, syscall.ENOSPC
	}
	if err := h.d.step(); err != nil {
		n := h.d.rnd.IntN(len(b) + 1)
		h.f.data = append(h.f.data, b[:n]...)
		return n, err
	}
	h.f.data = append(h.f.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.d.step(); err != nil {
		return err
	}
	if h.d.FailSync {
		return syscall.EIO
	}
	h.f.synced = len(h.f.data)
	return nil
}

func (h *handle) Close() error { return nil }

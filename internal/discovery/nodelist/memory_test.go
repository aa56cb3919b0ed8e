package nodelist

// This file owns a file system in memory that forgets in a crash what was not synced.

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"syscall"
)

var errCrash = errors.New("crashed")

// memory is a file system that loses what was not synced. After so many steps it fails for ever, in the midst of a write.
type memory struct {
	rnd     *rand.Rand
	left    int // steps until the crash
	full    bool
	files   map[string]*memFile
	lasting map[string]*memFile
	dirOps  []func(map[string]*memFile)
}

type memFile struct{ data, synced []byte }

func newMemory(seed uint64, steps int) *memory {
	return &memory{rnd: rand.New(rand.NewPCG(seed, 3)), left: steps, files: map[string]*memFile{}, lasting: map[string]*memFile{}}
}

func (m *memory) step() error {
	if m.left--; m.left < 0 {
		return errCrash
	}
	return nil
}

func (m *memory) dirOp(op func(map[string]*memFile)) {
	op(m.files)
	m.dirOps = append(m.dirOps, op)
}

// crash is what a start finds: what was synced, some of the rest, the last bytes of it perhaps spoilt.
func (m *memory) crash() *memory {
	n := newMemory(m.rnd.Uint64(), 1<<30)
	for _, op := range m.dirOps[:m.rnd.IntN(len(m.dirOps)+1)] {
		op(m.lasting)
	}
	for name, f := range m.lasting {
		data := bytes.Clone(f.synced)
		if rest := f.data[len(f.synced):]; len(rest) > 0 {
			some := bytes.Clone(rest[:m.rnd.IntN(len(rest)+1)])
			if len(some) > 0 && m.rnd.IntN(2) == 0 {
				some[len(some)-1] ^= 1 << m.rnd.IntN(8)
			}
			data = append(data, some...)
		}
		n.files[name] = &memFile{data, data}
		n.lasting[name] = n.files[name]
	}
	return n
}

func (m *memory) MkdirAll(string) error { return m.step() }

func (m *memory) ReadDir(dir string) (names []string, err error) {
	for name := range m.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, m.step()
}

func (m *memory) Open(name string) (io.ReadCloser, error) {
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(f.data)), m.step()
}

func (m *memory) Create(name string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.dirOp(func(d map[string]*memFile) { d[name] = f })
	return &memHandle{m, f}, nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.dirOp(func(d map[string]*memFile) {
		if f := d[from]; f != nil {
			d[to] = f
			delete(d, from)
		}
	})
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.dirOp(func(d map[string]*memFile) { delete(d, name) })
	return nil
}

func (m *memory) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.lasting, m.dirOps = maps.Clone(m.files), nil
	return nil
}

type memHandle struct {
	m *memory
	f *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if h.m.full {
		n := len(b) / 2
		h.f.data = append(h.f.data, b[:n]...)
		return n, syscall.ENOSPC
	}
	if err := h.m.step(); err != nil {
		n := h.m.rnd.IntN(len(b) + 1)
		h.f.data = append(h.f.data, b[:n]...)
		return n, err
	}
	h.f.data = append(h.f.data, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	if err := h.m.step(); err != nil {
		return err
	}
	h.f.synced = bytes.Clone(h.f.data)
	return nil
}

func (h *memHandle) Close() error { return nil }

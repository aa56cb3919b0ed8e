package nodelist

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxfront/internal/decision/trust"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if dir := os.Getenv("NODELIST_CHILD"); dir != "" {
		child(dir)
	}
	os.Exit(m.Run())
}

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

func entry(i int) trust.Entry {
	return trust.Entry{Name: fmt.Sprintf("node-%d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		Zone: "a", Cell: i % 4, Confirmed: trust.Moment(1000 + i), Told: 7, Generation: 3}
}

func options(m *memory) Options {
	return Options{Dir: "d", Deployment: "x", Disk: m, Unlocked: true, Journal: 400}
}

// play writes one state after the other until the disk fails. states[i] is what the list held after i changes; kept is how
// many of them the store said were kept.
func play(m *memory, s *Store, rnd *rand.Rand, first map[string]trust.Entry, changes int) (states []map[string]trust.Entry, kept int) {
	now := map[string]trust.Entry{}
	maps.Copy(now, first)
	states = append(states, maps.Clone(now))
	for i := range changes {
		var c trust.Changes
		c.Head.Generation = uint64(i)
		for range 1 + rnd.IntN(3) {
			e := entry(rnd.IntN(12))
			if rnd.IntN(4) == 0 {
				c.Removed = append(c.Removed, e.Name)
				delete(now, e.Name)
			} else {
				e.Told = trust.Moment(100 + i)
				c.Put = append(c.Put, e)
				now[e.Name] = e
			}
		}
		// In one call the later word counts, as in Put: removals are taken last.
		for _, name := range c.Removed {
			delete(now, name)
		}
		states = append(states, maps.Clone(now))
		s.Put(c)
		if s.Flush() != nil {
			return states, kept
		}
		kept = i + 1
	}
	return states, kept
}

// Killed at any step, the disk holds the last state that was kept, or the one that was being written; and the next start
// goes on from there.
func TestCrashAtEveryStep(t *testing.T) {
	for seed := range uint64(3) {
		for steps := 0; ; steps++ {
			m, rnd := newMemory(seed*1000+uint64(steps), steps), rand.New(rand.NewPCG(seed, 9))
			s, _ := Open(options(m))
			states, kept := play(m, s, rnd, nil, 40)
			after := m.crash()
			s, c := Open(options(after))
			at := -1
			for i := kept; i < len(states); i++ {
				if maps.Equal(c.Entries, states[i]) {
					at = i
				}
			}
			if at < 0 {
				t.Fatalf("seed %d, step %d: %d states kept; read %d entries, faults %v", seed, steps, kept, len(c.Entries), c.Faults)
			}
			more, kept := play(after, s, rnd, c.Entries, 5)
			if kept != 5 {
				t.Fatalf("seed %d, step %d: writing did not go on", seed, steps)
			}
			if c, _ := Read(after, "d", "x"); !maps.Equal(c.Entries, more[5]) {
				t.Fatalf("seed %d, step %d: %v, faults %v", seed, steps, c.Entries, c.Faults)
			}
			if m.left >= 0 {
				break
			}
		}
	}
}

// A disk that is full and has room again loses nothing.
func TestDiskFull(t *testing.T) {
	m := newMemory(1, 1<<30)
	s, _ := Open(options(m))
	rnd := rand.New(rand.NewPCG(1, 1))
	states, _ := play(m, s, rnd, nil, 10)
	m.full = true
	s.Put(trust.Changes{Put: []trust.Entry{entry(50)}})
	for range 3 {
		if err := s.Flush(); !errors.Is(err, syscall.ENOSPC) {
			t.Fatal(err)
		}
		if c, _ := Read(m, "d", "x"); !maps.Equal(c.Entries, states[10]) {
			t.Fatalf("while it is full: %v, %v", c.Entries, c.Faults)
		}
	}
	m.full = false
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
	states[10][entry(50).Name] = entry(50)
	if c, _ := Read(m, "d", "x"); !maps.Equal(c.Entries, states[10]) || !s.Counts.Saving.Load() {
		t.Fatalf("after: %v, %v", c.Entries, c.Faults)
	}
}

// Any byte turned anywhere: what is read is some state that was kept, or nothing; never anything else, and never a panic.
func TestFlippedBytes(t *testing.T) {
	m := newMemory(1, 1<<30)
	s, _ := Open(options(m))
	states, _ := play(m, s, rand.New(rand.NewPCG(5, 5)), nil, 12)
	for name, f := range m.files {
		for i := range f.data {
			was := f.data
			f.data = bytes.Clone(was)
			f.data[i] ^= 0x41
			c, err := Read(m, "d", "x")
			found := !c.Found
			for _, s := range states {
				found = found || maps.Equal(c.Entries, s)
			}
			if err != nil || !found {
				t.Fatalf("%s, byte %d: %v, %v", name, i, err, c.Entries)
			}
			if len(c.Faults) == 0 && !strings.HasSuffix(name, snapName(s.gen-1)) && !strings.HasSuffix(name, logName(s.gen-1)) {
				t.Fatalf("%s, byte %d: not noticed", name, i)
			}
			f.data = was
		}
	}
}

// What can't be read is set aside under a name that says why; the broker goes on without it.
func TestSetAside(t *testing.T) {
	for what, c := range map[string]struct {
		deployment string
		spoil      func(b []byte) []byte
	}{
		".other-deployment": {"y", func(b []byte) []byte { return b }},
		".damaged":          {"x", func(b []byte) []byte { b[len(b)-1] ^= 1; return b }},
		".later-version": {"x", func([]byte) []byte {
			b, _ := appendFrame([]byte(magic), opening{Version: 9, Deployment: "x"})
			return append(b, "whatever later versions hold"...)
		}},
	} {
		dir := t.TempDir()
		s, _ := Open(Options{Dir: dir, Deployment: "x"})
		s.Put(trust.Changes{Put: []trust.Entry{entry(1)}})
		if err := s.Flush(); err != nil {
			t.Fatal(err)
		}
		s.Close()
		path := filepath.Join(dir, snapName(1))
		b, _ := os.ReadFile(path)
		os.WriteFile(path, c.spoil(b), 0o600)
		s, content := Open(Options{Dir: dir, Deployment: c.deployment})
		if _, err := os.Stat(path + what); err != nil || content.Found || len(content.Entries) > 0 {
			t.Errorf("%s: %v, %+v", what, err, content)
		}
		s.Put(trust.Changes{Put: []trust.Entry{entry(2)}})
		if err := s.Flush(); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		s.Close()
		if content, _ := Read(Disk{}, dir, c.deployment); len(content.Entries) != 1 || content.Entries["node-2"] != entry(2) {
			t.Errorf("%s: then read %+v", what, content)
		}
	}
}

// Two brokers in one directory: the second reads, does not write, and takes over once the first has gone.
func TestLocked(t *testing.T) {
	dir := t.TempDir()
	first, _ := Open(Options{Dir: dir, Deployment: "x"})
	first.Put(trust.Changes{Put: []trust.Entry{entry(1)}})
	if err := first.Flush(); err != nil {
		t.Fatal(err)
	}
	second, c := Open(Options{Dir: dir, Deployment: "x"})
	second.Put(trust.Changes{Put: []trust.Entry{entry(2)}})
	if err := second.Flush(); !errors.Is(err, errLocked) || second.Held() || len(c.Entries) != 1 {
		t.Fatalf("%v, %+v", err, c.Entries)
	}
	if err := Leave(Disk{}, dir, "x", Ask{Forget: []string{"node-1"}, Import: []trust.Entry{entry(3)}}, time.Unix(5, 0)); err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(dir, asksDir, "6.ask"), []byte("no ask"), 0o600)
	var got []Ask
	first.takeAsks(func(a Ask) { got = append(got, a) })
	first.takeAsks(func(a Ask) { got = append(got, a) })
	if len(got) != 1 || got[0].Forget[0] != "node-1" || got[0].Import[0] != entry(3) {
		t.Errorf("asked %+v", got)
	}
	first.Close()
	if err := second.Flush(); err != nil {
		t.Error(err)
	}
	second.Close()
}

// A directory that can't be made or written stops nothing.
func TestNoDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	s, c := Open(Options{Dir: filepath.Join(file, "below"), Deployment: "x"})
	s.Put(trust.Changes{Put: []trust.Entry{entry(1)}})
	if err := s.Flush(); err == nil || c.Found {
		t.Errorf("%v, %+v", err, c)
	}
	s.Close()
}

// child writes states until it is killed; each is told on standard output once it is kept.
func child(dir string) {
	s, _ := Open(Options{Dir: dir, Deployment: "x", Journal: 2000})
	for i := range 1 << 20 {
		e := entry(i % 20)
		e.Told = trust.Moment(i)
		s.Put(trust.Changes{Head: trust.Head{Generation: uint64(i)}, Put: []trust.Entry{e}})
		if s.Flush() != nil {
			os.Exit(1)
		}
		fmt.Println(i)
	}
}

// A process killed for real leaves at least what it was told is kept, and the lock is free.
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
		told, last := 0, -1
		for told < 20+30*round {
			if _, err := fmt.Fscan(out, &last); err != nil {
				t.Fatal(err)
			}
			told++
		}
		cmd.Process.Kill()
		for {
			if _, err := fmt.Fscan(out, &last); err != nil {
				break
			}
		}
		cmd.Wait()
		s, c := Open(Options{Dir: dir, Deployment: "x"})
		if got := int(c.Head.Generation); got != last && got != last+1 || !s.Held() {
			t.Errorf("generation %d, told %d, held %v, %v", got, last, s.Held(), c.Faults)
		}
		s.Close()
	}
}

func FuzzRead(f *testing.F) {
	m := newMemory(1, 1<<30)
	s, _ := Open(options(m))
	play(m, s, rand.New(rand.NewPCG(5, 5)), nil, 3)
	f.Add(m.files[filepath.Join("d", snapName(1))].data, m.files[filepath.Join("d", logName(1))].data)
	f.Fuzz(func(t *testing.T, snap, log []byte) {
		m := newMemory(1, 1<<30)
		m.files[filepath.Join("d", snapName(1))] = &memFile{data: snap}
		m.files[filepath.Join("d", logName(1))] = &memFile{data: log}
		c, _ := Read(m, "d", "")
		for name, e := range c.Entries {
			if name != e.Name || name == "" || e.Cell < 0 || e.State > trust.Ended {
				t.Errorf("read %+v", e)
			}
		}
	})
}

func many(n int) (c trust.Changes) {
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
			s, _ := Open(Options{Dir: dir, Deployment: "x"})
			s.Put(many(n))
			if err := s.Flush(); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if c, err := Read(Disk{}, dir, "x"); err != nil || len(c.Entries) != n {
					b.Fatal(err, len(c.Entries))
				}
			}
			b.ReportMetric(float64(s.snapped), "bytes")
			s.Close()
		})
	}
}

package controlplane

// A tier in one process, over pipes that can be cut.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"flaxfront/internal/cluster/raftlog"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/keys"
)

// wires are a network of listeners by address.
type wires struct {
	mu    sync.Mutex
	at    map[string]chan net.Conn
	apart map[[2]string]bool // cut, both ways
	conns map[[2]string][]net.Conn
}

type socket struct {
	w    *wires
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (s *socket) Accept() (net.Conn, error) {
	select {
	case c := <-s.in:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}
func (s *socket) Close() error {
	s.once.Do(func() {
		close(s.done)
		s.w.mu.Lock()
		delete(s.w.at, s.addr)
		s.w.mu.Unlock()
	})
	return nil
}
func (s *socket) Addr() net.Addr { return &net.TCPAddr{} }

func (w *wires) listen(addr string) *socket {
	s := &socket{w: w, addr: addr, in: make(chan net.Conn), done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at[addr] = s.in
	return s
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *wires) dial(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		w.mu.Lock()
		in, ok := w.at[addr]
		cut := w.apart[pair(from, addr)]
		w.mu.Unlock()
		if !ok || cut {
			return nil, io.ErrClosedPipe
		}
		mine, theirs := net.Pipe()
		select {
		case in <- theirs:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		w.mu.Lock()
		w.conns[pair(from, addr)] = append(w.conns[pair(from, addr)], mine, theirs)
		w.mu.Unlock()
		return mine, nil
	}
}

// logs go nowhere, but where a test is looked into.
func logs() io.Writer {
	if testing.Verbose() {
		return os.Stderr
	}
	return io.Discard
}

// cut parts two, or brings them together again.
func (w *wires) cut(a, b string, apart bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apart[pair(a, b)] = apart
	for _, c := range w.conns[pair(a, b)] {
		c.Close()
	}
	delete(w.conns, pair(a, b))
}

// isolate parts one from all others, or brings it back.
func (c *tier) isolate(name string, apart bool) {
	for other := range c.all {
		if other != name {
			c.w.cut(name, other, apart)
		}
	}
}

// peek looks at a broker's core.
func peek[T any](f *Participant, look func() T) T {
	got := make(chan T, 1)
	f.tasks <- func() { got <- look() }
	return <-got
}

// leader is who leads, if anybody does.
func (c *tier) leader() string {
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("b%d", i)
		if f := c.all[name]; f != nil && peek(f, func() bool { return f.raft.IsLeader() && f.leadership.established && f.session.connected }) {
			return name
		}
	}
	return ""
}

// propose has an entry agreed through a broker, within a time in which it would be agreed after any fault that tests provoke.
func (c *tier) propose(name string, e statemachine.Entry) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Second)
	defer cancel()
	return c.all[name].Propose(ctx, e)
}

type tier struct {
	mu   sync.Mutex // guards all, for who is not the test's goroutine
	t    *testing.T
	w    *wires
	dir  string
	all  map[string]*Participant
	stop map[string]func()
	most int
	set  func(*Options) // nil: nothing
}

func newTier(t *testing.T) *tier {
	slog.SetDefault(slog.New(slog.NewTextHandler(logs(), &slog.HandlerOptions{Level: slog.LevelDebug})))
	c := &tier{t: t, w: &wires{at: map[string]chan net.Conn{}, apart: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}}, dir: t.TempDir(),
		all: map[string]*Participant{}, stop: map[string]func(){}, most: 32}
	if err := keys.NewAuthority(filepath.Join(c.dir, "ca"), "test", 24*time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	return c
}

// start starts a broker; the first three vote.
func (c *tier) start(i int) *Participant {
	name := fmt.Sprintf("b%d", i)
	dir := filepath.Join(c.dir, name)
	if _, err := keys.Issue(filepath.Join(c.dir, "ca"), dir, keys.ID{Site: "s", Broker: name}, time.Hour, time.Now()); err != nil {
		c.t.Fatal(err)
	}
	ring, err := keys.Open(dir)
	if err != nil {
		c.t.Fatal(err)
	}
	o := Options{Keys: ring, Voters: []Voter{{"b1", "b1"}, {"b2", "b2"}, {"b3", "b3"}}, Listener: c.w.listen(name), ListenAddr: name,
		Dial: c.w.dial(name), Slot: statemachine.Slot(i), Incarnation: uint64(time.Now().UnixMilli()), Version: "1", Zone: "z",
		LeaseDuration: 3 * time.Second, MaxClockDrift: 0.01, ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond, MaxFollowers: c.most,
		ReportInterval: time.Second, Seed: uint64(time.Now().UnixNano())}
	var disk *raftlog.Log
	if i <= 3 {
		if disk, err = raftlog.Open(raftlog.Options{Directory: filepath.Join(dir, "log"), Cluster: "s", VoterID: uint64(i), Voters: []uint64{1, 2, 3}, Create: true}); err != nil {
			c.t.Fatal(err)
		}
		o.Storage = disk
	}
	if c.set != nil {
		c.set(&o)
	}
	f, err := New(o)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	c.mu.Lock()
	c.all[name] = f
	c.mu.Unlock()
	c.stop[name] = func() {
		cancel()
		<-ended
		if disk != nil {
			disk.Close()
		}
		c.mu.Lock()
		delete(c.all, name)
		c.mu.Unlock()
		delete(c.stop, name)
	}
	f.SetServing()
	return f
}

func (c *tier) close() {
	for _, stop := range c.stop {
		stop()
	}
}

// until waits for something, for so long at most.
func (c *tier) until(what string, most time.Duration, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(most); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for name, f := range c.all {
				c.t.Logf("%s: %+v", name, *f.View())
			}
			c.t.Fatalf("not within %v: %s", most, what)
		}
	}
}

func (c *tier) connected() bool {
	for _, f := range c.all {
		if v := f.View(); !v.LeaseValid(f.Now()) || v.Self.Status != statemachine.BrokerServing {
			return false
		}
	}
	return true
}

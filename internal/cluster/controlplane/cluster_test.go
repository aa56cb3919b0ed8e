package controlplane

// The tests of this package run a tier of brokers in one process, over pipes that can be cut.

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

// testNetwork is a network in memory, on which links between two addresses can be cut.
type testNetwork struct {
	mu          sync.Mutex
	listeners   map[string]chan net.Conn
	partitioned map[[2]string]bool // links that are cut, in both directions
	conns       map[[2]string][]net.Conn
}

type testListener struct {
	network  *testNetwork
	addr     string
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

func (s *testListener) Accept() (net.Conn, error) {
	select {
	case c := <-s.incoming:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}
func (s *testListener) Close() error {
	s.once.Do(func() {
		close(s.done)
		s.network.mu.Lock()
		delete(s.network.listeners, s.addr)
		s.network.mu.Unlock()
	})
	return nil
}
func (s *testListener) Addr() net.Addr { return &net.TCPAddr{} }

func (network *testNetwork) listen(addr string) *testListener {
	s := &testListener{network: network, addr: addr, incoming: make(chan net.Conn), done: make(chan struct{})}
	network.mu.Lock()
	defer network.mu.Unlock()
	network.listeners[addr] = s.incoming
	return s
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (network *testNetwork) dial(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		network.mu.Lock()
		in, ok := network.listeners[addr]
		cut := network.partitioned[linkKey(from, addr)]
		network.mu.Unlock()
		if !ok || cut {
			return nil, io.ErrClosedPipe
		}
		mine, theirs := net.Pipe()
		select {
		case in <- theirs:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		network.mu.Lock()
		network.conns[linkKey(from, addr)] = append(network.conns[linkKey(from, addr)], mine, theirs)
		network.mu.Unlock()
		return mine, nil
	}
}

// logWriter returns the destination of logs: stderr for verbose tests, nowhere otherwise.
func logWriter() io.Writer {
	if testing.Verbose() {
		return os.Stderr
	}
	return io.Discard
}

// setPartitioned cuts or restores the link between two addresses, and closes its open connections.
func (network *testNetwork) setPartitioned(a, b string, partitioned bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.partitioned[linkKey(a, b)] = partitioned
	for _, c := range network.conns[linkKey(a, b)] {
		c.Close()
	}
	delete(network.conns, linkKey(a, b))
}

// isolate cuts or restores the links between a broker and all others.
func (c *tier) isolate(name string, isolated bool) {
	for other := range c.participants {
		if other != name {
			c.network.setPartitioned(name, other, isolated)
		}
	}
}

// readInLoop runs read in the participant's loop, where it may use all state, and returns its result.
func readInLoop[T any](p *Participant, read func() T) T {
	result := make(chan T, 1)
	p.tasks <- func() { result <- read() }
	return <-result
}

// leader returns the name of the leader once it is established and connected, or an empty string.
func (c *tier) leader() string {
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("b%d", i)
		if p := c.participants[name]; p != nil && readInLoop(p, func() bool { return p.raft.IsLeader() && p.leadership.established && p.session.connected }) {
			return name
		}
	}
	return ""
}

// propose proposes an entry through a broker. Its timeout is longer than any fault in the tests delays a proposal.
func (c *tier) propose(name string, e statemachine.Entry) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Second)
	defer cancel()
	return c.participants[name].Propose(ctx, e)
}

type tier struct {
	mu            sync.Mutex // guards participants in goroutines other than the test's
	t             *testing.T
	network       *testNetwork
	dir           string
	participants  map[string]*Participant
	stopBroker    map[string]func()
	maxFollowers  int
	adjustOptions func(*Options) // changes the options of a broker before its start; may be nil
}

func newTier(t *testing.T) *tier {
	slog.SetDefault(slog.New(slog.NewTextHandler(logWriter(), &slog.HandlerOptions{Level: slog.LevelDebug})))
	c := &tier{t: t, network: &testNetwork{listeners: map[string]chan net.Conn{}, partitioned: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}}, dir: t.TempDir(),
		participants: map[string]*Participant{}, stopBroker: map[string]func(){}, maxFollowers: 32}
	if err := keys.NewAuthority(filepath.Join(c.dir, "ca"), "test", 24*time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	return c
}

// start starts the broker b<number>. Brokers 1 to 3 are voters.
func (c *tier) start(number int) *Participant {
	name := fmt.Sprintf("b%d", number)
	dir := filepath.Join(c.dir, name)
	if _, err := keys.Issue(filepath.Join(c.dir, "ca"), dir, keys.ID{Site: "s", Broker: name}, time.Hour, time.Now()); err != nil {
		c.t.Fatal(err)
	}
	ring, err := keys.Open(dir)
	if err != nil {
		c.t.Fatal(err)
	}
	o := Options{Keys: ring, Voters: []Voter{{"b1", "b1"}, {"b2", "b2"}, {"b3", "b3"}}, Listener: c.network.listen(name), ListenAddr: name,
		Dial: c.network.dial(name), Slot: statemachine.Slot(number), Incarnation: uint64(time.Now().UnixMilli()), Version: "1", Zone: "z",
		LeaseDuration: 3 * time.Second, MaxClockDrift: 0.01, ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond, MaxFollowers: c.maxFollowers,
		ReportInterval: time.Second, Seed: uint64(time.Now().UnixNano())}
	var disk *raftlog.Log
	if number <= 3 {
		if disk, err = raftlog.Open(raftlog.Options{Directory: filepath.Join(dir, "log"), Cluster: "s", VoterID: uint64(number), Voters: []uint64{1, 2, 3}, Create: true}); err != nil {
			c.t.Fatal(err)
		}
		o.Storage = disk
	}
	if c.adjustOptions != nil {
		c.adjustOptions(&o)
	}
	p, err := New(o)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx)
	}()
	c.mu.Lock()
	c.participants[name] = p
	c.mu.Unlock()
	c.stopBroker[name] = func() {
		cancel()
		<-ended
		if disk != nil {
			disk.Close()
		}
		c.mu.Lock()
		delete(c.participants, name)
		c.mu.Unlock()
		delete(c.stopBroker, name)
	}
	p.SetServing()
	return p
}

func (c *tier) close() {
	for _, stopBroker := range c.stopBroker {
		stopBroker()
	}
}

// waitUntil waits until a condition holds, and fails the test if it does not within the timeout.
func (c *tier) waitUntil(what string, timeout time.Duration, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(timeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for name, p := range c.participants {
				c.t.Logf("%s: %+v", name, *p.View())
			}
			c.t.Fatalf("condition not met within %v: %s", timeout, what)
		}
	}
}

// allConnected reports whether all brokers have a valid session and are in service.
func (c *tier) allConnected() bool {
	for _, p := range c.participants {
		if v := p.View(); !v.LeaseValid(p.Now()) || v.Self.Status != statemachine.BrokerServing {
			return false
		}
	}
	return true
}

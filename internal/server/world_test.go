package server

// Test fixtures for the loop: stub nodes that fail at random, and checks of each attempt that reaches them.

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// faultyCluster is a loop with stub nodes that fail at random. Writes to nodes happen in the loop's goroutine, so that a violated rule is
// detected when it is violated.
type faultyCluster struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand // for the sequence of events; a node's behaviour depends on the attempt, not on the order of attempts
	loop       *loop
	mu         sync.Mutex // guards the maps below
	dials      map[string]int
	queries    map[string]*activeQuery
	mayHaveRun map[string]bool // shard requests that may have run at some node
	values     map[string]bool // values that nodes answered with
	drainedAt  map[string]time.Duration
	nodes      []discovery.Node
}

// faultyConn is a connection to a stub node.
type faultyConn struct {
	w      *faultyCluster
	cell   int
	addr   string
	frames chan []byte
	rest   []byte
	ended  chan struct{}
	once   sync.Once
}

func (l *faultyConn) Read(b []byte) (int, error) {
	for len(l.rest) == 0 {
		select {
		case l.rest = <-l.frames:
		case <-l.ended:
			return 0, syscall.ECONNRESET
		}
	}
	n := copy(b, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

func (l *faultyConn) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *faultyConn) SetReadDeadline(time.Time) error { return nil }

// TryWrite receives one complete frame at the node, checks the rules for each attempt in it, and answers at random.
func (l *faultyConn) TryWrite(b []byte) (int, error) {
	w := l.w
	select {
	case <-l.ended:
		return 0, syscall.EPIPE
	default:
	}
	if n := int(binary.LittleEndian.Uint32(b)); n != len(b)-4 {
		w.t.Errorf("a frame of %d bytes states a length of %d", len(b)-4, n)
	}
	if b[4] != 'q' {
		return len(b), nil
	}
	parts := 0
	for rest := b[5:]; len(rest) > 0; parts++ {
		line, after, _ := bytes.Cut(rest, []byte{'\n'})
		var id string
		var shard, wait, size int
		if _, err := fmt.Sscanf(string(line), "%s %d d=%d %d", &id, &shard, &wait, &size); err != nil {
			w.t.Errorf("line %q: %v", line, err)
		}
		rest = after[size:]
		w.check(l, id, shard)
		l.answer(id)
	}
	if parts > 4 {
		w.t.Errorf("%d attempts in one call", parts)
	}
	return len(b), nil
}

func (w *faultyCluster) randFor(of string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(of))
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

func (w *faultyCluster) check(l *faultyConn, id string, shard int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.queries[id[:strings.IndexByte(id, '.')]]
	switch {
	case s.done:
		w.t.Errorf("rule 1: %s was sent after its query's result", id)
	case shard%2 != l.cell:
		w.t.Errorf("%s went to a node of cell %d", id, l.cell)
	case s.Type == 1 && w.mayHaveRun[id]:
		w.t.Errorf("rule 2: %s was sent again though it may have run", id)
	}
	if at, down := w.drainedAt[l.addr]; down && w.loop.since() > at+500*time.Millisecond {
		w.t.Errorf("rule 3: %s was sent %v after the broker was told that the node drains", id, w.loop.since()-at)
	}
	w.mayHaveRun[id] = true
}

// answer picks a node's behaviour at random; in most cases it answers correctly.
func (l *faultyConn) answer(id string) {
	w, rnd := l.w, l.w.randFor(id+l.addr)
	after := time.Duration(oneToTen(rnd)) * 10 * time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	served := fmt.Sprintf("%s served 7 -\n%s@%s", id, id, l.addr)
	text := served
	switch rnd.IntN(12) {
	case 0:
		text = id + " broke - -\n"
	case 1:
		text = id + " skipped - -\n"
		w.mayHaveRun[id] = false
	case 2:
		return // no answer
	case 3:
		time.AfterFunc(after, func() { l.Close() })
		return
	case 4:
		text = served
		after *= 20 // the attempt may have been cancelled by then
	}
	if text == served {
		w.values[id+"@"+l.addr] = true
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(1+len(text)))
	b = append(append(b, 'a'), text...)
	switch rnd.IntN(20) {
	case 0, 1:
		b = append(b, b...) // answers twice
	case 2:
		b = append(b, 0xff, 0xff, 0xff, 0xff, 'a')
	case 3:
		b[5] ^= 1 // most likely the id of no attempt
	}
	time.AfterFunc(after, func() {
		select {
		case l.frames <- b:
		case <-l.ended:
		}
	})
}

func oneToTen(r *rand.Rand) int { return 1 + r.IntN(10) }

// checkedRouter is the router, with the loop's counters checked before each step.
type checkedRouter struct {
	decision.Router
	w *faultyCluster
}

func (c checkedRouter) Snapshot() (out, shut int) { return c.Router.(inspectable).Snapshot() }

func (c checkedRouter) Step(now time.Duration, ev []decision.Event, out []decision.Action) []decision.Action {
	if t := c.w.loop.counters; t.Received != t.Answered+t.Shed+t.Failed+t.Abandoned+t.InFlight {
		c.w.t.Errorf("counters do not add up: %+v", t)
	}
	if c.w.loop.slotsUsed > 40 {
		c.w.t.Errorf("%d slots used", c.w.loop.slotsUsed)
	}
	return c.Router.Step(now, ev, out)
}

func newFaultyCluster(t *testing.T, seed uint64) *faultyCluster {
	tm := testTerms(t)
	tm.Module.Seed = seed
	w := &faultyCluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), dials: map[string]int{},
		queries: map[string]*activeQuery{}, mayHaveRun: map[string]bool{},
		values: map[string]bool{}, drainedAt: map[string]time.Duration{}}
	w.loop = newLoop(time.Now(), checkedRouter{routing.New(tm.Module), w}, &tm.Module)
	for i := range 8 {
		name := fmt.Sprint("s-", i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80)
		w.nodes = append(w.nodes, discovery.Node{Name: name, Address: addr, Endpoint: decision.Endpoint{
			Node: discovery.IDOfName(name), Cell: i % 2, Zone: i / 4, State: decision.Ready, StartedAt: decision.StartedLongAgo}})
	}
	return w
}

func (w *faultyCluster) dial(ctx context.Context, addr string, within time.Duration) (store.Conn, error) {
	cell := int(netip.MustParseAddrPort(addr).Addr().As4()[3]) % 2
	w.mu.Lock()
	w.dials[addr]++
	rnd := w.randFor(fmt.Sprint(addr, w.dials[addr]))
	w.mu.Unlock()
	switch rnd.IntN(10) {
	case 0:
		return nil, syscall.ECONNREFUSED
	case 1:
		select {
		case <-time.After(within):
			return nil, context.DeadlineExceeded
		case <-ctx.Done():
			return nil, io.EOF
		}
	}
	return &faultyConn{w: w, cell: cell, addr: addr, frames: make(chan []byte), ended: make(chan struct{})}, nil
}

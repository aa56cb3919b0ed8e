package server

// The world around a loop under test: nodes that fail by chance, and what checks each attempt that comes.

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

// world is a loop with stand-in nodes. Their writes happen in the loop's goroutine, so that a rule is checked at the
// moment at which it would be broken.
type world struct {
	t      *testing.T
	seed   uint64
	rnd    *rand.Rand // of the play; what nodes do hangs on who is asked what, not on who comes first
	loop   *loop
	mu     sync.Mutex // guards the maps
	dials  map[string]int
	asked  map[string]*activeQuery
	runs   map[string]bool // attempts that may have run at some node
	made   map[string]bool // values that nodes made, by attempt
	downAt map[string]time.Duration
	nodes  []discovery.Node
}

// nodeLink is a connection to a stand-in node.
type nodeLink struct {
	w     *world
	cell  int
	addr  string
	say   chan []byte
	rest  []byte
	ended chan struct{}
	once  sync.Once
}

func (l *nodeLink) Read(b []byte) (int, error) {
	for len(l.rest) == 0 {
		select {
		case l.rest = <-l.say:
		case <-l.ended:
			return 0, syscall.ECONNRESET
		}
	}
	n := copy(b, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

func (l *nodeLink) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *nodeLink) SetReadDeadline(time.Time) error { return nil }

// TryWrite is a node that gets one frame whole, checks the rules and answers as chance has it.
func (l *nodeLink) TryWrite(b []byte) (int, error) {
	w := l.w
	select {
	case <-l.ended:
		return 0, syscall.EPIPE
	default:
	}
	if n := int(binary.LittleEndian.Uint32(b)); n != len(b)-4 {
		w.t.Errorf("a frame of %d bytes says %d", len(b)-4, n)
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

func (w *world) chance(of string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(of))
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

func (w *world) check(l *nodeLink, id string, shard int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.asked[id[:strings.IndexByte(id, '.')]]
	switch {
	case s.done:
		w.t.Errorf("rule 1: %s was sent after its query's answer", id)
	case shard%2 != l.cell:
		w.t.Errorf("%s went to a node of cell %d", id, l.cell)
	case s.Type == 1 && w.runs[id]:
		w.t.Errorf("rule 2: %s was sent though it may have run", id)
	}
	if at, down := w.downAt[l.addr]; down && w.loop.since() > at+500*time.Millisecond {
		w.t.Errorf("rule 3: %s was sent %v after the node's drain was told", id, w.loop.since()-at)
	}
	w.runs[id] = true
}

// answer plays one of a node's ways, well in most cases.
func (l *nodeLink) answer(id string) {
	w, rnd := l.w, l.w.chance(id+l.addr)
	after := time.Duration(w10(rnd)) * 10 * time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	served := fmt.Sprintf("%s served 7 -\n%s@%s", id, id, l.addr)
	text := served
	switch rnd.IntN(12) {
	case 0:
		text = id + " broke - -\n"
	case 1:
		text = id + " skipped - -\n"
		w.runs[id] = false
	case 2:
		return // silent
	case 3:
		time.AfterFunc(after, func() { l.Close() })
		return
	case 4:
		text = served
		after *= 20 // perhaps called off meanwhile
	}
	if text == served {
		w.made[id+"@"+l.addr] = true
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(1+len(text)))
	b = append(append(b, 'a'), text...)
	switch rnd.IntN(20) {
	case 0, 1:
		b = append(b, b...) // says it twice
	case 2:
		b = append(b, 0xff, 0xff, 0xff, 0xff, 'a')
	case 3:
		b[5] ^= 1 // an id that nobody asked, most likely
	}
	time.AfterFunc(after, func() {
		select {
		case l.say <- b:
		case <-l.ended:
		}
	})
}

func w10(r *rand.Rand) int { return 1 + r.IntN(10) }

// checked is the router with the counters checked before each of its steps.
type checked struct {
	decision.Router
	w *world
}

func (c checked) Snapshot() (out, shut int) { return c.Router.(inspectable).Snapshot() }

func (c checked) Step(now time.Duration, ev []decision.Event, out []decision.Action) []decision.Action {
	if t := c.w.loop.counters; t.Received != t.Answered+t.Shed+t.Failed+t.Abandoned+t.InFlight {
		c.w.t.Errorf("counters do not add up: %+v", t)
	}
	if c.w.loop.slotsUsed > 40 {
		c.w.t.Errorf("%d slots taken", c.w.loop.slotsUsed)
	}
	return c.Router.Step(now, ev, out)
}

func newWorld(t *testing.T, seed uint64) *world {
	tm := testTerms(t)
	tm.Module.Seed = seed
	w := &world{t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), dials: map[string]int{},
		asked: map[string]*activeQuery{}, runs: map[string]bool{},
		made: map[string]bool{}, downAt: map[string]time.Duration{}}
	w.loop = newLoop(time.Now(), checked{routing.New(tm.Module), w}, &tm.Module)
	for i := range 8 {
		name := fmt.Sprint("s-", i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80)
		w.nodes = append(w.nodes, discovery.Node{Name: name, Address: addr, Endpoint: decision.Endpoint{
			Node: discovery.IDOfName(name), Cell: i % 2, Zone: i / 4, State: decision.Ready, StartedAt: decision.StartedLongAgo}})
	}
	return w
}

func (w *world) dial(ctx context.Context, addr string, within time.Duration) (store.Conn, error) {
	cell := int(netip.MustParseAddrPort(addr).Addr().As4()[3]) % 2
	w.mu.Lock()
	w.dials[addr]++
	rnd := w.chance(fmt.Sprint(addr, w.dials[addr]))
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
	return &nodeLink{w: w, cell: cell, addr: addr, say: make(chan []byte), ended: make(chan struct{})}, nil
}

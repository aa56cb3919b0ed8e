package store

import (
	"context"
	"flaxfront/internal/decision"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// This file has fake connections, and a pool whose events the test handles.

// fakeConn is a connection to a fake node: it records what is written, and reads what the test sends to incoming.
type fakeConn struct {
	wrote        []string
	incoming     chan []byte
	rest         []byte
	ended        chan struct{}
	readErr      error // error of reads once the node has ended the connection
	writeErr     error // error of writes
	writeLimit   int   // bytes that a write accepts; 0: all
	closed       bool
	readDeadline time.Time // zero: none
}

func (p *fakeConn) SetReadDeadline(t time.Time) error {
	p.readDeadline = t
	return nil
}

func (p *fakeConn) Read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		var over <-chan time.Time
		if !p.readDeadline.IsZero() {
			over = time.After(time.Until(p.readDeadline))
		}
		select {
		case <-over:
			return 0, os.ErrDeadlineExceeded
		case p.rest = <-p.incoming:
		case <-p.ended:
			return 0, p.readErr
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

func (p *fakeConn) TryWrite(b []byte) (int, error) {
	if p.writeErr != nil {
		return 0, p.writeErr
	}
	if p.writeLimit > 0 && p.writeLimit < len(b) {
		return p.writeLimit, nil
	}
	p.wrote = append(p.wrote, string(b[4:]))
	return len(b), nil
}

func (p *fakeConn) Close() error {
	if !p.closed {
		p.closed = true
		p.end(io.ErrClosedPipe)
	}
	return nil
}

func (p *fakeConn) end(err error) {
	if p.readErr == nil {
		p.readErr = err
		close(p.ended)
	}
}

// poolTest is a pool for which the test acts as the loop.
type poolTest struct {
	*Pool
	t         *testing.T
	events    chan Event
	fakeConns []*fakeConn
	outcomes  []string
	dialErr   error         // of the next dials
	dialDelay time.Duration // how long a dial takes
}

var testNode = decision.NodeID{Port: 7}

func runPoolTest(t *testing.T, limits Limits, test func(b *poolTest)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		b := &poolTest{t: t, events: make(chan Event, 100)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		open := func(ctx context.Context, _ string, within time.Duration) (Conn, error) {
			dialErr := b.dialErr
			select {
			case <-time.After(min(b.dialDelay, within)):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			if b.dialDelay > within {
				return nil, context.DeadlineExceeded
			}
			if dialErr != nil {
				return nil, dialErr
			}
			p := &fakeConn{incoming: make(chan []byte, 9), ended: make(chan struct{})}
			b.fakeConns = append(b.fakeConns, p)
			return p, nil
		}
		b.Pool = NewPool(ctx, limits, open, func() time.Duration { return time.Since(start) },
			func(f func() error) { go f() }, func(e Event) { b.events <- e },
			func(p *Subrequest, outcome decision.Outcome, _ time.Duration, value string) {
				b.outcomes = append(b.outcomes, fmt.Sprintf("%s %d%s", p.ID, outcome, value))
			})
		b.ProbeEnded = func(id decision.NodeID, outcome decision.Outcome, took time.Duration) {
			b.outcomes = append(b.outcomes, fmt.Sprintf("probe %d %d %v", id.Port, outcome, took))
		}
		b.SetNode(testNode, "s-7", netip.MustParseAddrPort("127.0.0.1:7"), decision.StartedLongAgo)
		test(b)
		cancel()
		synctest.Wait()
	})
}

func (b *poolTest) handleEvents() {
	synctest.Wait()
	for len(b.events) > 0 {
		b.HandleEvent(<-b.events)
		synctest.Wait()
	}
}

func (b *poolTest) send(ids ...string) (attempts []*Subrequest) {
	for _, id := range ids {
		attempts = append(attempts, &Subrequest{ID: id, Text: "x", Deadline: time.Hour, Node: testNode})
	}
	b.Send(testNode, slices.Clone(attempts))
	b.handleEvents()
	return attempts
}

// expect compares the outcomes of attempts and probes since the last call.
func (b *poolTest) expect(want ...string) {
	b.t.Helper()
	slices.Sort(b.outcomes)
	if !slices.Equal(b.outcomes, want) {
		b.t.Errorf("outcomes %q, want %q", b.outcomes, want)
	}
	b.outcomes = nil
}

var testLimits = Limits{Streams: 2, Idle: 30 * time.Second, Dial: 250 * time.Millisecond, Silent: 5 * time.Second, Conns: 4}

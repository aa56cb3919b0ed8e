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

// This file owns the connections that tests hold in their hands, and the pool round them.

// pipe is a connection to a stand-in node: what is written gathers, what the node says comes by a channel.
type pipe struct {
	wrote  []string
	say    chan []byte
	rest   []byte
	ended  chan struct{}
	reset  error // what a read tells once the node has ended the connection
	refuse error // what a write tells
	takes  int   // bytes that a write takes; 0: all
	closed bool
	until  time.Time // a read waits no longer
}

func (p *pipe) SetReadDeadline(t time.Time) error {
	p.until = t
	return nil
}

func (p *pipe) Read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		var over <-chan time.Time
		if !p.until.IsZero() {
			over = time.After(time.Until(p.until))
		}
		select {
		case <-over:
			return 0, os.ErrDeadlineExceeded
		case p.rest = <-p.say:
		case <-p.ended:
			return 0, p.reset
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

func (p *pipe) TryWrite(b []byte) (int, error) {
	if p.refuse != nil {
		return 0, p.refuse
	}
	if p.takes > 0 && p.takes < len(b) {
		return p.takes, nil
	}
	p.wrote = append(p.wrote, string(b[4:]))
	return len(b), nil
}

func (p *pipe) Close() error {
	if !p.closed {
		p.closed = true
		p.end(io.ErrClosedPipe)
	}
	return nil
}

func (p *pipe) end(err error) {
	if p.reset == nil {
		p.reset = err
		close(p.ended)
	}
}

// bench is a pool with its loop played by the test.
type bench struct {
	*Pool
	t      *testing.T
	events chan Event
	pipes  []*pipe
	ends   []string
	fail   error         // of the next dials
	hold   time.Duration // how long a dial takes
}

var at = decision.NodeID{Port: 7}

func run(t *testing.T, limits Limits, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		b := &bench{t: t, events: make(chan Event, 100)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		open := func(ctx context.Context, _ string, within time.Duration) (Conn, error) {
			fail := b.fail
			select {
			case <-time.After(min(b.hold, within)):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			if b.hold > within {
				return nil, context.DeadlineExceeded
			}
			if fail != nil {
				return nil, fail
			}
			p := &pipe{say: make(chan []byte, 9), ended: make(chan struct{})}
			b.pipes = append(b.pipes, p)
			return p, nil
		}
		b.Pool = NewPool(ctx, limits, open, func() time.Duration { return time.Since(begin) },
			func(f func() error) { go f() }, func(e Event) { b.events <- e },
			func(p *Part, how decision.Outcome, _ time.Duration, value string) {
				b.ends = append(b.ends, fmt.Sprintf("%s %d%s", p.ID, how, value))
			})
		b.Probed = func(id decision.NodeID, how decision.Outcome, took time.Duration) {
			b.ends = append(b.ends, fmt.Sprintf("probe %d %d %v", id.Port, how, took))
		}
		b.Point(at, "s-7", netip.MustParseAddrPort("127.0.0.1:7"), decision.StartedLongAgo)
		test(b)
		cancel()
		synctest.Wait()
	})
}

func (b *bench) settle() {
	synctest.Wait()
	for len(b.events) > 0 {
		b.Handle(<-b.events)
		synctest.Wait()
	}
}

func (b *bench) send(ids ...string) (parts []*Part) {
	for _, id := range ids {
		parts = append(parts, &Part{ID: id, Text: "x", Deadline: time.Hour, Node: at})
	}
	b.Send(at, slices.Clone(parts))
	b.settle()
	return parts
}

// expect compares how parts ended since the last call.
func (b *bench) expect(want ...string) {
	b.t.Helper()
	slices.Sort(b.ends)
	if !slices.Equal(b.ends, want) {
		b.t.Errorf("ended %q, want %q", b.ends, want)
	}
	b.ends = nil
}

var usual = Limits{Streams: 2, Idle: 30 * time.Second, Dial: 250 * time.Millisecond, Silent: 5 * time.Second, Conns: 4}

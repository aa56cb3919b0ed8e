package link

// This file owns one connection between two brokers. The side that dials asks, the other one answers.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatEvery  = 250 * time.Millisecond
	silentFor  = time.Second     // nothing was heard: the link is cut, or half open
	handshake  = 3 * time.Second // for TLS and the hello together
	frameIn    = 2 * time.Second // a frame that has begun must be whole
	writeIn    = 2 * time.Second // the other side takes what is written
	queueBytes = 1 << 20         // that wait to be written; more end the connection
	window     = 1 << 20         // bytes of verdicts that may be on their way to the asking side
)

// Event is what happens on a link. Exactly one of the pointers is set.
type Event struct {
	Conn    *Conn
	Up      *Hello   // asking side: it may ask from now on; the other one: a link has been opened
	Ask     *Ask     // the other side forwards a search
	Verdict *Verdict // on one that this side forwarded
	Cancel  *uint64  // the other side has given one up
	Heard   *Status  // what the other side says of itself
	Down    *End     // the last event of a connection
}

// End tells how a connection ended.
type End struct {
	Reason string
	Unsent []uint64 // asks that were never handed to the network
}

// Conn is one connection.
type Conn struct {
	Peer   int    // asking side: which of the configured links; else -1
	Serial uint64 // connections in the order in which they came
	Theirs Hello

	mine    Hello
	net     net.Conn
	in      *bufio.Reader
	version int
	status  *atomic.Pointer[Status]
	post    func(Event)
	begun   time.Time

	mu     sync.Mutex
	urgent [][]byte // beats, grants, cancels: they go first
	queue  []queued
	bytes  int // in both
	credit int // bytes of verdicts that the other side still has room for
	closed bool
	reason string
	wake   chan struct{}

	heard   uint64
	heardAt time.Time
	acked   uint64
	rtt     atomic.Int64

	sent  map[uint64]time.Time // beats not acknowledged yet
	beats uint64
	asks  atomic.Uint64
}

type queued struct {
	frame   []byte
	ask     uint64 // its id, where it is one
	isAsk   bool
	verdict bool
}

// RTT is the round trip as last measured; 0: not yet.
func (c *Conn) RTT() time.Duration { return time.Duration(c.rtt.Load()) }

// Version is what the two sides speak.
func (c *Conn) Version() int { return c.version }

// greet exchanges hellos; what follows is known to come from one that speaks a version in common.
func (c *Conn) greet() error {
	b, err := appendFrame(nil, letterHello, c.mine)
	if err != nil {
		return err
	}
	if _, err := c.net.Write(b); err != nil {
		return err
	}
	var body bytes.Buffer
	letter, err := readFrame(c.in, &body, maxHello)
	if err != nil {
		return err
	}
	if letter != letterHello {
		return fmt.Errorf("%w: %q comes first", errFrame, letter)
	}
	if c.Theirs, err = decode[Hello](body.Bytes()); err != nil {
		return err
	}
	if c.Theirs.Credit < 0 || c.Theirs.Window < 0 || len(c.Theirs.Site) > 64 || len(c.Theirs.Broker) > 64 {
		return fmt.Errorf("%w: hello", errFrame)
	}
	c.version, err = agree(c.mine, c.Theirs)
	c.credit = c.Theirs.Window
	return err
}

// run carries a connection until it ends, and then posts its end.
func (c *Conn) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.Close("shutdown") })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.write()
	}()
	reason := c.read()
	c.Close(reason)
	<-done
	c.mu.Lock()
	end := &End{Reason: c.reason}
	for _, q := range c.queue {
		if q.isAsk {
			end.Unsent = append(end.Unsent, q.ask)
		}
	}
	c.queue, c.urgent = nil, nil
	c.mu.Unlock()
	slog.Info("link ended", "site", c.Theirs.Site, "broker", c.Theirs.Broker, "dialled", c.Peer >= 0, "reason", end.Reason,
		"asks", c.asks.Load(), "unsent", len(end.Unsent), "lasted", time.Since(c.begun).Round(time.Millisecond))
	c.post(Event{Conn: c, Down: end})
}

// Close ends a connection, with the first reason that is given.
func (c *Conn) Close(reason string) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.reason = true, reason
	}
	c.mu.Unlock()
	c.net.Close()
	c.poke()
}

func (c *Conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

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
	heartbeatInterval = 250 * time.Millisecond
	silenceTimeout    = time.Second     // nothing was heard: the link is cut, or half open
	handshakeTimeout  = 3 * time.Second // for TLS and the hello together
	frameTimeout      = 2 * time.Second // a frame that has begun must be whole
	writeTimeout      = 2 * time.Second // the other side takes what is written
	maxQueuedBytes    = 1 << 20         // that wait to be written; more end the connection
	replyWindowBytes  = 1 << 20         // bytes of verdicts that may be on their way to the asking side
)

// Event is what happens on a link. Exactly one of the pointers is set.
type Event struct {
	Conn      *Conn
	Up        *Hello  // asking side: it may ask from now on; the other one: a link has been opened
	Query     *Query  // the other side forwards a search
	Reply     *Reply  // on one that this side forwarded
	Cancel    *uint64 // the other side has given one up
	Heartbeat *Status // what the other side says of itself
	Down      *End    // the last event of a connection
}

// End tells how a connection ended.
type End struct {
	Reason string
	Unsent []uint64 // asks that were never handed to the network
}

// Conn is one connection.
type Conn struct {
	Peer        int    // asking side: which of the configured links; else -1
	Serial      uint64 // connections in the order in which they came
	RemoteHello Hello

	localHello Hello
	net        net.Conn
	in         *bufio.Reader
	version    int
	status     *atomic.Pointer[Status]
	post       func(Event)
	startedAt  time.Time

	mu          sync.Mutex
	urgent      [][]byte // beats, grants, cancels: they go first
	queue       []queued
	queuedBytes int // in both
	replyWindow int // bytes of verdicts that the other side still has room for
	closed      bool
	reason      string
	wake        chan struct{}

	receivedSeq uint64
	receivedAt  time.Time
	ackedSeq    uint64
	rtt         atomic.Int64

	unacked      map[uint64]time.Time // beats not acknowledged yet
	heartbeatSeq uint64
	queryCount   atomic.Uint64
}

type queued struct {
	frame   []byte
	query   uint64 // its id, where it is one
	isQuery bool
	isReply bool
}

// RTT is the round trip as last measured; 0: not yet.
func (c *Conn) RTT() time.Duration { return time.Duration(c.rtt.Load()) }

// Version is what the two sides speak.
func (c *Conn) Version() int { return c.version }

// exchangeHellos exchanges hellos; what follows is known to come from one that speaks a version in common.
func (c *Conn) exchangeHellos() error {
	b, err := appendFrame(nil, frameHello, c.localHello)
	if err != nil {
		return err
	}
	if _, err := c.net.Write(b); err != nil {
		return err
	}
	var body bytes.Buffer
	frameType, err := readFrame(c.in, &body, maxHelloFrame)
	if err != nil {
		return err
	}
	if frameType != frameHello {
		return fmt.Errorf("%w: %q comes first", errFrame, frameType)
	}
	if c.RemoteHello, err = decode[Hello](body.Bytes()); err != nil {
		return err
	}
	if c.RemoteHello.Credit < 0 || c.RemoteHello.Window < 0 || len(c.RemoteHello.Site) > 64 || len(c.RemoteHello.Broker) > 64 {
		return fmt.Errorf("%w: hello", errFrame)
	}
	c.version, err = negotiateVersion(c.localHello, c.RemoteHello)
	c.replyWindow = c.RemoteHello.Window
	return err
}

// run carries a connection until it ends, and then posts its end.
func (c *Conn) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.Close("shutdown") })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeLoop()
	}()
	reason := c.readLoop()
	c.Close(reason)
	<-done
	c.mu.Lock()
	end := &End{Reason: c.reason}
	for _, q := range c.queue {
		if q.isQuery {
			end.Unsent = append(end.Unsent, q.query)
		}
	}
	c.queue, c.urgent = nil, nil
	c.mu.Unlock()
	slog.Info("link ended", "site", c.RemoteHello.Site, "broker", c.RemoteHello.Broker, "dialled", c.Peer >= 0, "reason", end.Reason,
		"asks", c.queryCount.Load(), "unsent", len(end.Unsent), "lasted", time.Since(c.startedAt).Round(time.Millisecond))
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
	c.signalWriter()
}

func (c *Conn) signalWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

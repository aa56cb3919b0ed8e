package link

// This file holds a connection between two brokers. The side that has dialled forwards queries, and the other one replies.

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
	silenceTimeout    = time.Second     // after which a connection that receives nothing ends: the network is cut, or the connection is half open
	handshakeTimeout  = 3 * time.Second // for TLS and the hellos together
	frameTimeout      = 2 * time.Second // within which a frame that has begun must be complete
	writeTimeout      = 2 * time.Second // within which a write must be completed
	maxQueuedBytes    = 1 << 20         // bytes that only wait to be written; more end the connection
	replyWindowBytes  = 1 << 20         // bytes of replies that the dialling side has room for
)

// Event is an event of a link. Exactly one of the pointers besides Conn is set.
type Event struct {
	Conn      *Conn
	Up        *Hello  // the other side's hello: the link is established
	Query     *Query  // a query that the other side forwards
	Reply     *Reply  // the reply to a query that this side forwarded
	Cancel    *uint64 // id of a query that the other side has abandoned
	Heartbeat *Status // the other side's status, from a heartbeat
	Down      *End    // the last event of a connection
}

// End describes the end of a connection.
type End struct {
	Reason string
	Unsent []uint64 // ids of queries that were never written to the network
}

// Conn is a connection to another broker.
type Conn struct {
	Peer        int    // index of the target that this side dialled; -1: the other side dialled
	Serial      uint64 // number of the connection, in the order in which they were established
	RemoteHello Hello

	localHello Hello
	net        net.Conn
	in         *bufio.Reader
	version    int
	status     *atomic.Pointer[Status]
	post       func(Event)
	startedAt  time.Time

	mu          sync.Mutex
	urgent      [][]byte // frames of heartbeats, window updates and cancels: they are sent first
	queue       []outgoing
	queuedBytes int // in urgent and queue
	replyWindow int // bytes of replies that the other side still has room for
	closed      bool
	reason      string
	wake        chan struct{}

	receivedSeq uint64 // number of the last heartbeat received; 0: none
	receivedAt  time.Time
	ackedSeq    uint64       // number of the last heartbeat of this side that the other side has acknowledged
	rtt         atomic.Int64 // nanoseconds, smoothed; 0: not measured yet

	waitingReply []byte               // encoded, until the other side has room for it; nil: none. Only the writer uses it
	unacked      map[uint64]time.Time // heartbeats not acknowledged yet, and when they were sent
	heartbeatSeq uint64               // number of the last heartbeat sent
	queryCount   atomic.Uint64        // queries sent and received
}

// RTT returns the smoothed round-trip time; 0: not measured yet.
func (c *Conn) RTT() time.Duration { return time.Duration(c.rtt.Load()) }

// Version returns the protocol version that the two sides agreed on.
func (c *Conn) Version() int { return c.version }

// exchangeHellos sends and receives the hello, and agrees on the protocol version.
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
		return fmt.Errorf("%w: the first has type %q, not that of a hello", errFrame, frameType)
	}
	if c.RemoteHello, err = decode[Hello](body.Bytes()); err != nil {
		return err
	}
	if c.RemoteHello.Credit < 0 || c.RemoteHello.Window < 0 || len(c.RemoteHello.Site) > 64 || len(c.RemoteHello.Broker) > 64 {
		return fmt.Errorf("%w: invalid hello", errFrame)
	}
	c.version, err = negotiateVersion(c.localHello, c.RemoteHello)
	c.replyWindow = c.RemoteHello.Window
	return err
}

// run reads and writes until the connection ends, and then posts its end.
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
	for _, m := range c.queue {
		if m.query != nil {
			end.Unsent = append(end.Unsent, m.query.ID)
		}
	}
	c.queue, c.urgent = nil, nil
	c.mu.Unlock()
	slog.Info("link ended", "site", c.RemoteHello.Site, "broker", c.RemoteHello.Broker, "dialled", c.Peer >= 0, "reason", end.Reason,
		"asks", c.queryCount.Load(), "unsent", len(end.Unsent), "lasted", time.Since(c.startedAt).Round(time.Millisecond))
	c.post(Event{Conn: c, Down: end})
}

// Close closes a connection with a reason code. Only the first call's reason counts.
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

package controlplane

// This file owns one connection between two brokers, or a broker and an operator: hello, queue, frames, and its end.

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"flaxfront/internal/transport/keys"
)

const (
	handshakeTimeout       = 2 * time.Second
	heartbeatInterval      = 250 * time.Millisecond
	silenceTimeout         = 5 * heartbeatInterval
	writeTimeout           = silenceTimeout
	operatorTimeout        = time.Minute // an operator sends no beats
	maxQueuedBytes         = 16 << 20    // that wait to be written; more end the connection
	maxQueuedBeforePackets = 1 << 20     // with so many waiting, packets of voters are dropped, which Raft expects of a network
)

// conn is one connection. What a side queues never waits.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	peer    helloFrame
	dialled bool
	toVoter bool // it carries packets to a voter

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	closed      bool
	queued      chan struct{}

	// of the core's goroutine alone
	isFollower        bool   // it is fed by this side
	sentIndex         uint64 // the last index queued for it
	followerRoom      int
	lastToken         uint64 // last heard
	snapshotRest      []byte // what is left of a snapshot for it
	otherSources      []string
	operatorProposals []uint64 // proposed for an operator

	snapshotBytes int
}

// handshake takes a connection through TLS and the hellos. The name in the hello must be that of the certificate.
func handshake(ctx context.Context, nc *tls.Conn, mine helloFrame, dialled bool) (*conn, error) {
	nc.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := nc.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	id, err := keys.PeerID(nc.ConnectionState())
	if err != nil {
		return nil, err
	}
	c := &conn{netConn: nc, reader: bufio.NewReaderSize(nc, 32<<10), dialled: dialled, queued: make(chan struct{}, 1)}
	say := func() error {
		_, err := nc.Write(frame(frameHello, mine))
		return err
	}
	if dialled { // it speaks first
		err = say()
	}
	if err != nil {
		return nil, err
	}
	letter, body, err := readFrame(c.reader, maxHelloBytes)
	if err == nil && !dialled {
		err = say()
	}
	if err != nil {
		return nil, err
	}
	if letter != frameHello {
		return nil, fmt.Errorf("%w: %q comes first", errMalformedFrame, letter)
	}
	if c.peer, err = decode[helloFrame](body); err != nil {
		return nil, err
	}
	if c.peer.Protocol < 1 || c.peer.Name != id.Broker || len(c.peer.Listen) > maxNameBytes {
		return nil, fmt.Errorf("%w: hello of %q, protocol %d, over the certificate of %s", errMalformedFrame, c.peer.Name, c.peer.Protocol, id)
	}
	nc.SetDeadline(time.Time{})
	return c, nil
}

// enqueue queues a frame; false: it was dropped, or the connection has ended.
func (c *conn) enqueue(b []byte) bool {
	c.mu.Lock()
	full := c.queuedBytes+len(b) > maxQueuedBytes || b[4] == framePacket && c.queuedBytes > maxQueuedBeforePackets
	if c.closed || full {
		c.mu.Unlock()
		if full && b[4] != framePacket { // Danger: a side that does not read takes memory here
			c.close()
		}
		return false
	}
	c.queue = append(c.queue, b)
	c.queuedBytes += len(b)
	c.mu.Unlock()
	select {
	case c.queued <- struct{}{}:
	default:
	}
	return true
}

// backlog is how many bytes are queued.
func (c *conn) backlog() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return maxQueuedBytes
	}
	return c.queuedBytes
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.netConn.Close()
	select {
	case c.queued <- struct{}{}:
	default:
	}
}

// writeLoop is the writer's goroutine: all that waits in one go.
func (c *conn) writeLoop() {
	var batch net.Buffers
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		batch, c.queue, c.queuedBytes = append(batch[:0], c.queue...), c.queue[:0], 0
		c.mu.Unlock()
		if len(batch) == 0 {
			<-c.queued
			continue
		}
		c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, b := range batch {
			if _, err := c.netConn.Write(b); err != nil {
				c.close()
				return
			}
		}
	}
}

// readLoop hands frames on until the connection ends. Whatever comes renews the time; a side that is silent is cut off, or half
// open.
func (c *conn) readLoop(take func(letter byte, body []byte) bool) error {
	for {
		if c.peer.Role == roleOperator {
			c.netConn.SetReadDeadline(time.Now().Add(operatorTimeout))
		} else {
			c.netConn.SetReadDeadline(time.Now().Add(silenceTimeout))
		}
		letter, body, err := readFrame(c.reader, maxFrameBytes)
		if err != nil {
			return err
		}
		if !take(letter, body) {
			return nil
		}
	}
}

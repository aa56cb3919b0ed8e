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
	handshake   = 2 * time.Second
	beatEvery   = 250 * time.Millisecond
	silentFor   = 5 * beatEvery
	writeIn     = silentFor
	operatorFor = time.Minute // an operator sends no beats
	queueBytes  = 16 << 20    // that wait to be written; more end the connection
	raftBytes   = 1 << 20     // with so many waiting, packets of voters are dropped, which Raft expects of a network
)

// conn is one connection. What a side queues never waits.
type conn struct {
	nc      net.Conn
	r       *bufio.Reader
	peer    hello
	dialled bool
	voter   bool // it carries packets to a voter

	mu     sync.Mutex
	queue  [][]byte
	bytes  int
	closed bool
	wake   chan struct{}

	// of the core's goroutine alone
	follows bool   // it is fed by this side
	sent    uint64 // the last index queued for it
	room    int
	token   uint64 // last heard
	snap    []byte // what is left of a snapshot for it
	others  []string
	asks    []uint64 // proposed for an operator

	snapTotal int
}

// shake takes a connection through TLS and the hellos. The name in the hello must be that of the certificate.
func shake(ctx context.Context, nc *tls.Conn, mine hello, dialled bool) (*conn, error) {
	nc.SetDeadline(time.Now().Add(handshake))
	if err := nc.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	id, err := keys.PeerID(nc.ConnectionState())
	if err != nil {
		return nil, err
	}
	c := &conn{nc: nc, r: bufio.NewReaderSize(nc, 32<<10), dialled: dialled, wake: make(chan struct{}, 1)}
	say := func() error {
		_, err := nc.Write(frame(letterHello, mine))
		return err
	}
	if dialled { // it speaks first
		err = say()
	}
	if err != nil {
		return nil, err
	}
	letter, body, err := readFrame(c.r, maxHello)
	if err == nil && !dialled {
		err = say()
	}
	if err != nil {
		return nil, err
	}
	if letter != letterHello {
		return nil, fmt.Errorf("%w: %q comes first", errFrame, letter)
	}
	if c.peer, err = decode[hello](body); err != nil {
		return nil, err
	}
	if c.peer.Protocol < 1 || c.peer.Name != id.Broker || len(c.peer.Listen) > maxName {
		return nil, fmt.Errorf("%w: hello of %q, protocol %d, over the certificate of %s", errFrame, c.peer.Name, c.peer.Protocol, id)
	}
	nc.SetDeadline(time.Time{})
	return c, nil
}

// put queues a frame; false: it was dropped, or the connection has ended.
func (c *conn) put(b []byte) bool {
	c.mu.Lock()
	full := c.bytes+len(b) > queueBytes || b[4] == letterRaft && c.bytes > raftBytes
	if c.closed || full {
		c.mu.Unlock()
		if full && b[4] != letterRaft { // Danger: a side that does not read takes memory here
			c.close()
		}
		return false
	}
	c.queue = append(c.queue, b)
	c.bytes += len(b)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// waiting is how many bytes are queued.
func (c *conn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return queueBytes
	}
	return c.bytes
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.nc.Close()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write is the writer's goroutine: all that waits in one go.
func (c *conn) write() {
	var batch net.Buffers
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		batch, c.queue, c.bytes = append(batch[:0], c.queue...), c.queue[:0], 0
		c.mu.Unlock()
		if len(batch) == 0 {
			<-c.wake
			continue
		}
		c.nc.SetWriteDeadline(time.Now().Add(writeIn))
		for _, b := range batch {
			if _, err := c.nc.Write(b); err != nil {
				c.close()
				return
			}
		}
	}
}

// read hands frames on until the connection ends. Whatever comes renews the time; a side that is silent is cut off, or half
// open.
func (c *conn) read(take func(letter byte, body []byte) bool) error {
	for {
		if c.peer.Role == roleOperator {
			c.nc.SetReadDeadline(time.Now().Add(operatorFor))
		} else {
			c.nc.SetReadDeadline(time.Now().Add(silentFor))
		}
		letter, body, err := readFrame(c.r, maxFrame)
		if err != nil {
			return err
		}
		if !take(letter, body) {
			return nil
		}
	}
}

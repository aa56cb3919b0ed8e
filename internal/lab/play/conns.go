package play

// This file simulates the broker's side of its connections to nodes.

import (
	"bytes"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"flaxfront/internal/transport/store"
)

// conn is a connection to a node, on the broker's side.
type conn struct {
	b           *broker // the broker that opened it
	id          uint64
	node        int
	start       int // which process of the node it is for
	name        string
	poolHandle  store.Handle
	established bool
	closed      bool
	lastArrival time.Duration
}

func (b *broker) handleConnEvent(e store.Event) {
	if b.core != nil {
		b.core.HandleConnection(e)
		b.scheduleStep()
	}
}

type dialTimeoutError struct{}

func (*dialTimeoutError) Error() string   { return "dial: connection timed out" }
func (*dialTimeoutError) Timeout() bool   { return true }
func (*dialTimeoutError) Temporary() bool { return true }

// connectionLost removes a connection and reports its end to the pool.
func (b *broker) connectionLost(c *conn, err error) {
	delete(b.conns, c.id)
	c.closed = true
	b.handleConnEvent(c.poolHandle.Down(b.sinceStart(), err))
}

// dial opens a connection for the pool. The function that it returns closes the connection.
func (b *broker) dial(name string, _ netip.AddrPort, poolHandle store.Handle) func() {
	b.dialCount++
	c := &conn{b: b, id: uint64(b.id)<<40 | b.dialCount, name: name, poolHandle: poolHandle}
	number, start, _ := strings.Cut(name[1:], ".")
	c.node, _ = strconv.Atoi(number)
	c.start, _ = strconv.Atoi(start)
	b.conns[c.id] = c
	b.runner.tally.work.Dials++
	zone := b.w.script.ZoneOf(c.node)
	if delay, lost, held := b.samplePath(b.zone, zone); !lost && held == 0 {
		b.send(b.w.nodeActorID(c.node), b.now+delay, kDial, int32(c.start), c.id, nil)
	}
	b.send(b.id, b.now+b.w.terms.Dial, kDialTimeout, 0, c.id, nil)
	return func() {
		if !c.closed {
			c.closed = true
			b.send(b.w.nodeActorID(c.node), b.deliveryTime(b.zone, zone, &c.lastArrival), kClose, 0, c.id, nil)
			b.send(b.id, b.now, kConnDown, downReset, c.id, nil)
		}
	}
}

// TryWrite sends a frame. It never blocks or writes less, as the simulated network has no buffer limit.
func (c *conn) TryWrite(frame []byte) (int, error) {
	b := c.b
	b.auditFrame(c, frame)
	b.send(b.w.nodeActorID(c.node), b.deliveryTime(b.zone, b.w.script.ZoneOf(c.node), &c.lastArrival), kFrame, int32(b.now/time.Millisecond), c.id, bytes.Clone(frame))
	return len(frame), nil
}

// The other methods are required by the interface but not used: broker.handle delivers what is received, and the pool does not read.
func (c *conn) Read([]byte) (int, error)        { return 0, io.EOF }
func (c *conn) Close() error                    { return nil }
func (c *conn) SetReadDeadline(time.Time) error { return nil }

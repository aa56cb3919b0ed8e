package play

// This file owns a broker's connections as its pool sees them.

import (
	"bytes"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"flaxfront/internal/transport/store"
)

// conn is a connection as the broker sees it.
type conn struct {
	b           *broker
	id          uint64
	node        int
	start       int
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

func (*dialTimeoutError) Error() string   { return "dial: no answer" }
func (*dialTimeoutError) Timeout() bool   { return true }
func (*dialTimeoutError) Temporary() bool { return true }

// connectionLost takes a connection off the books, and tells the pool.
func (b *broker) connectionLost(c *conn, err error) {
	delete(b.conns, c.id)
	c.closed = true
	b.handleConnEvent(c.poolHandle.Down(b.sinceStart(), err))
}

// acceptDial opens a connection, as the pool asks.
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

// TryWrite takes a frame; the network holds whatever it is given.
func (c *conn) TryWrite(frame []byte) (int, error) {
	b := c.b
	b.auditFrame(c, frame)
	b.send(b.w.nodeActorID(c.node), b.deliveryTime(b.zone, b.w.script.ZoneOf(c.node), &c.lastArrival), kFrame, int32(b.now/time.Millisecond), c.id, bytes.Clone(frame))
	return len(frame), nil
}

// The other methods of a connection are of no use here: its events come by handle, and the pool never reads itself.
func (c *conn) Read([]byte) (int, error)        { return 0, io.EOF }
func (c *conn) Close() error                    { return nil }
func (c *conn) SetReadDeadline(time.Time) error { return nil }

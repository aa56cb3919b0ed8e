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
	f     *front
	id    uint64
	node  int
	start int
	name  string
	h     store.Handle
	up    bool
	shut  bool
	last  time.Duration
}

func (f *front) happened(e store.Event) {
	if f.core != nil {
		f.core.HandleConnection(e)
		f.kick()
	}
}

type dialTimeout struct{}

func (*dialTimeout) Error() string   { return "dial: no answer" }
func (*dialTimeout) Timeout() bool   { return true }
func (*dialTimeout) Temporary() bool { return true }

// ended takes a connection off the books, and tells the pool.
func (f *front) ended(c *conn, err error) {
	delete(f.conns, c.id)
	c.shut = true
	f.happened(c.h.Down(f.since(), err))
}

// dial opens a connection, as the pool asks.
func (f *front) dial(name string, _ netip.AddrPort, h store.Handle) func() {
	f.opened++
	c := &conn{f: f, id: uint64(f.id)<<40 | f.opened, name: name, h: h}
	number, start, _ := strings.Cut(name[1:], ".")
	c.node, _ = strconv.Atoi(number)
	c.start, _ = strconv.Atoi(start)
	f.conns[c.id] = c
	f.by.tally.work.Dials++
	zone := f.w.script.ZoneOf(c.node)
	if took, lost, held := f.way(f.zone, zone); !lost && held == 0 {
		f.send(f.w.idNode(c.node), f.now+took, kDial, int32(c.start), c.id, nil)
	}
	f.send(f.id, f.now+f.w.terms.Dial, kLate, 0, c.id, nil)
	return func() {
		if !c.shut {
			c.shut = true
			f.send(f.w.idNode(c.node), f.stream(f.zone, zone, &c.last), kClose, 0, c.id, nil)
			f.send(f.id, f.now, kDown, downReset, c.id, nil)
		}
	}
}

// TryWrite takes a frame; the network holds whatever it is given.
func (c *conn) TryWrite(b []byte) (int, error) {
	f := c.f
	f.audit(c, b)
	f.send(f.w.idNode(c.node), f.stream(f.zone, f.w.script.ZoneOf(c.node), &c.last), kFrame, int32(f.now/time.Millisecond), c.id, bytes.Clone(b))
	return len(b), nil
}

// The other methods of a connection are of no use here: its events come by handle, and the pool never reads itself.
func (c *conn) Read([]byte) (int, error)        { return 0, io.EOF }
func (c *conn) Close() error                    { return nil }
func (c *conn) SetReadDeadline(time.Time) error { return nil }

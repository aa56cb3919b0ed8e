package store

// This file owns one connection's state: what is out on it, what was given up, how a call is written and how it closes. It must
// never end a part twice.

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

type conn struct {
	node   *node
	addr   netip.AddrPort
	up     Conn // nil until it is up
	cancel context.CancelFunc
	dialed time.Duration
	last   time.Duration // when something last passed
	owes   time.Duration // since when it was sent calls and said nothing; 0: it owes none
	out    outs
	off    []string // ids of parts given up, that may still be answered; the last offMost of them
	offs   int
	queue  [][]*Part // calls that wait for the connection to come up; no more parts than streams
	served int
	reason string // why the loop closed it
	closed bool

	retired bool // it gets nothing more
	probed  bool // a probe waits for it to come up
	shed    bool // within one call of Shed: chosen
	floor   bool // it is the broker's, not one tenant's
	tenant  int
}

// offMost bounds the ids of parts given up that a connection remembers. Of older ones the node has heard long ago.
const offMost = 256

// giveUp keeps the id of a part that the node may still answer.
func (c *conn) giveUp(id string) {
	if len(c.off) < offMost {
		c.off = append(c.off, id)
	} else {
		c.off[c.offs%offMost] = id
	}
	c.offs++
}

// gaveUp tells whether a part of that id was given up; it is answered once at the most.
func (c *conn) gaveUp(id string) bool {
	at := slices.Index(c.off, id)
	if at >= 0 {
		c.off[at] = ""
	}
	return at >= 0
}

// call writes one frame at once, or ends the connection.
func (p *Pool) call(c *conn, parts []*Part) error {
	now := p.since()
	p.buf = appendCall(p.buf[:0], parts, now)
	err := c.write(p.buf)
	if err == nil {
		c.last = now
		if c.owes == 0 {
			c.owes = now
		}
		p.Counts.Calls++
		p.Counts.Parts += uint64(len(parts))
		for _, part := range parts {
			part.written = true
		}
		return nil
	}
	if !errors.Is(err, errStuck) {
		for _, part := range parts {
			c.out.remove(part)
		}
		p.close(c, "write_failed")
		return err
	}
	p.close(c, "stuck")
	return err
}

// write hands a frame to the socket without waiting; a part of it is as good as none.
func (c *conn) write(frame []byte) error {
	n, err := c.up.TryWrite(frame)
	if err == nil && n < len(frame) {
		return errStuck
	}
	return err
}

// Retire ends the connections to a node as soon as they carry nothing, and sends nothing more over them.
func (p *Pool) Retire(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		for _, c := range n.conns {
			c.retired = true
		}
		p.due = 0
		p.CloseIdle(id, "unused")
	}
}

// CloseIdle ends the connections to a node that carry nothing.
func (p *Pool) CloseIdle(id decision.NodeID, reason string) {
	if n := p.nodes[id]; n != nil {
		p.closeWhere(n, reason, func(c *conn) bool { return c.out.len() == 0 })
	}
}

// Sweep ends what is due: parts nobody waits for any more and connections that idled. It tells when to come again.
// Connections are looked at only when something can be due, not with each turn.
func (p *Pool) Sweep(now time.Duration) (next time.Duration) {
	if now < p.due {
		return p.due
	}
	next = now + p.limits.Idle
	for _, n := range p.order {
		for i := len(n.conns) - 1; i >= 0; i-- { // from the end, as some are taken out
			c := n.conns[i]
			for j := c.out.len() - 1; j >= 0; j-- {
				if part := c.out.parts[j]; part.Deadline <= now {
					p.finish(part, decision.TimedOut, now, "")
				} else {
					next = min(next, part.Deadline)
				}
			}
			// Before the node does it: a part that crosses the node's close would be lost.
			if end := c.last + p.limits.Idle - p.limits.Dial; c.out.len() > 0 {
				continue
			} else if n.gone {
				p.close(c, "gone")
			} else if c.retired {
				p.close(c, "unused")
			} else if end <= now {
				p.close(c, "idle")
			} else {
				next = min(next, end)
			}
		}
	}
	p.order = slices.DeleteFunc(p.order, func(n *node) bool {
		forget := n.gone && len(n.conns) == 0
		if forget {
			delete(p.nodes, n.id)
		}
		return forget
	})
	p.due = next
	return next
}

func (p *Pool) closeWhere(n *node, reason string, which func(*conn) bool) {
	for i := len(n.conns) - 1; i >= 0; i-- {
		if c := n.conns[i]; which(c) {
			p.close(c, reason)
		}
	}
}

// close ends a connection for the loop's own reasons.
func (p *Pool) close(c *conn, reason string) {
	if !c.closed {
		c.reason = reason
		p.drop(c, p.since(), false)
		c.cancel()
	}
}

// drop takes a connection off the books; its parts end as the protocol says.
func (p *Pool) drop(c *conn, at time.Duration, byNode bool) {
	c.closed = true
	p.shown(c, decision.ConnectFailed, at)
	p.conns--
	p.returned(c, byNode)
	c.node.conns = slices.DeleteFunc(c.node.conns, func(o *conn) bool { return o == c })
	for c.out.len() > 0 {
		part := c.out.last()
		if part.written {
			p.finish(part, decision.ConnectionReset, at, "")
		} else {
			p.finish(part, decision.ConnectFailed, at, "")
		}
	}
}

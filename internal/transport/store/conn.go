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
	node            *node
	addr            netip.AddrPort
	up              Conn // nil until it is up
	cancel          context.CancelFunc
	dialed          time.Duration
	lastActive      time.Duration // when something last passed
	unansweredSince time.Duration // since when it was sent calls and said nothing; 0: it owes none
	inFlight        attemptSet
	abandonedIDs    []string // ids of parts given up, that may still be answered; the last maxAbandonedIDs of them
	abandonedCount  int
	queue           [][]*Subrequest // calls that wait for the connection to come up; no more parts than streams
	answers         int
	reason          string // why the loop closed it
	closed          bool

	retired      bool // it gets nothing more
	probePending bool // a probe waits for it to come up
	selected     bool // within one call of Shed: chosen
	shared       bool // it is the broker's, not one tenant's
	tenant       int
}

// maxAbandonedIDs bounds the ids of parts given up that a connection remembers. Of older ones the node has heard long ago.
const maxAbandonedIDs = 256

// rememberAbandoned keeps the id of a part that the node may still answer.
func (c *conn) rememberAbandoned(id string) {
	if len(c.abandonedIDs) < maxAbandonedIDs {
		c.abandonedIDs = append(c.abandonedIDs, id)
	} else {
		c.abandonedIDs[c.abandonedCount%maxAbandonedIDs] = id
	}
	c.abandonedCount++
}

// takeAbandoned tells whether a part of that id was given up; it is answered once at the most.
func (c *conn) takeAbandoned(id string) bool {
	at := slices.Index(c.abandonedIDs, id)
	if at >= 0 {
		c.abandonedIDs[at] = ""
	}
	return at >= 0
}

// writeCall writes one frame at once, or ends the connection.
func (p *Pool) writeCall(c *conn, attempts []*Subrequest) error {
	now := p.since()
	p.buf = appendCall(p.buf[:0], attempts, now)
	err := c.write(p.buf)
	if err == nil {
		c.lastActive = now
		if c.unansweredSince == 0 {
			c.unansweredSince = now
		}
		p.Counts.Calls++
		p.Counts.Parts += uint64(len(attempts))
		for _, attempt := range attempts {
			attempt.written = true
		}
		return nil
	}
	if !errors.Is(err, errWriteBlocked) {
		for _, attempt := range attempts {
			c.inFlight.remove(attempt)
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
		return errWriteBlocked
	}
	return err
}

// Retire ends the connections to a node as soon as they carry nothing, and sends nothing more over them.
func (p *Pool) Retire(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		for _, c := range n.conns {
			c.retired = true
		}
		p.nextSweep = 0
		p.CloseIdle(id, "unused")
	}
}

// CloseIdle ends the connections to a node that carry nothing.
func (p *Pool) CloseIdle(id decision.NodeID, reason string) {
	if n := p.nodes[id]; n != nil {
		p.closeWhere(n, reason, func(c *conn) bool { return c.inFlight.len() == 0 })
	}
}

// Sweep ends what is due: parts nobody waits for any more and connections that idled. It tells when to come again.
// Connections are looked at only when something can be due, not with each turn.
func (p *Pool) Sweep(now time.Duration) (next time.Duration) {
	if now < p.nextSweep {
		return p.nextSweep
	}
	next = now + p.limits.Idle
	for _, n := range p.nodeOrder {
		for i := len(n.conns) - 1; i >= 0; i-- { // from the end, as some are taken out
			c := n.conns[i]
			for j := c.inFlight.len() - 1; j >= 0; j-- {
				if attempt := c.inFlight.attempts[j]; attempt.Deadline <= now {
					p.finish(attempt, decision.TimedOut, now, "")
				} else {
					next = min(next, attempt.Deadline)
				}
			}
			// Before the node does it: a part that crosses the node's close would be lost.
			if idleEnd := c.lastActive + p.limits.Idle - p.limits.Dial; c.inFlight.len() > 0 {
				continue
			} else if n.unlisted {
				p.close(c, "gone")
			} else if c.retired {
				p.close(c, "unused")
			} else if idleEnd <= now {
				p.close(c, "idle")
			} else {
				next = min(next, idleEnd)
			}
		}
	}
	p.nodeOrder = slices.DeleteFunc(p.nodeOrder, func(n *node) bool {
		forget := n.unlisted && len(n.conns) == 0
		if forget {
			delete(p.nodes, n.id)
		}
		return forget
	})
	p.nextSweep = next
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
		p.removeConn(c, p.since(), false)
		c.cancel()
	}
}

// removeConn takes a connection off the books; its parts end as the protocol says.
func (p *Pool) removeConn(c *conn, at time.Duration, byNode bool) {
	c.closed = true
	p.endProbe(c, decision.ConnectFailed, at)
	p.conns--
	p.reportClosed(c, byNode)
	c.node.conns = slices.DeleteFunc(c.node.conns, func(o *conn) bool { return o == c })
	for c.inFlight.len() > 0 {
		attempt := c.inFlight.last()
		if attempt.written {
			p.finish(attempt, decision.ConnectionReset, at, "")
		} else {
			p.finish(attempt, decision.ConnectFailed, at, "")
		}
	}
}

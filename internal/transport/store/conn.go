package store

// This file holds the state of a connection: attempts in flight and abandoned ones, and how calls are written and connections are closed. It
// must never end an attempt twice.

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
	up              Conn // nil until established
	cancel          context.CancelFunc
	dialed          time.Duration
	lastActive      time.Duration // when a call was last written or an answer received
	unansweredSince time.Duration // when the first call after the last answer was written; 0: none was
	inFlight        attemptSet
	abandonedIDs    []string // ids of abandoned attempts that may still be answered: the last maxAbandonedIDs
	abandonedCount  int
	queue           [][]*Subrequest // calls that wait for the connection to be established
	answers         int
	reason          string // reason code with which the loop closed it
	closed          bool

	retired      bool // it gets no new attempts, and closes when idle
	probePending bool // a probe waits until it is established
	selected     bool // by the current call of ReleaseConnections
	shared       bool // all tenants may use it
	tenant       int
}

// maxAbandonedIDs is the number of abandoned attempts whose ids a connection remembers. The node got the cancels of older ones long ago.
const maxAbandonedIDs = 256

// rememberAbandoned keeps the id of an abandoned attempt, which the node may still answer.
func (c *conn) rememberAbandoned(id string) {
	if len(c.abandonedIDs) < maxAbandonedIDs {
		c.abandonedIDs = append(c.abandonedIDs, id)
	} else {
		c.abandonedIDs[c.abandonedCount%maxAbandonedIDs] = id
	}
	c.abandonedCount++
}

// takeAbandoned reports whether the attempt with an id was abandoned, and forgets the id, as an attempt is answered at most once.
func (c *conn) takeAbandoned(id string) bool {
	at := slices.Index(c.abandonedIDs, id)
	if at >= 0 {
		c.abandonedIDs[at] = ""
	}
	return at >= 0
}

// maxKeptBuffer is the size in bytes up to which the buffer for calls is kept for the next one.
const maxKeptBuffer = 256 << 10

// writeCall writes a call as one frame. If the connection does not take all of it at once, it is closed. After errWriteBlocked the attempts
// have ended; after any other error nothing was written, and the caller still has them.
func (p *Pool) writeCall(c *conn, attempts []*Subrequest) error {
	now := p.since()
	p.buf = appendCall(p.buf[:0], attempts, now)
	err := c.write(p.buf)
	if cap(p.buf) > maxKeptBuffer {
		p.buf = nil
	}
	if err == nil {
		c.lastActive = now
		if c.unansweredSince == 0 {
			c.unansweredSince = now
		}
		p.Counts.Calls++
		p.Counts.Parts += uint64(len(attempts))
		for _, attempt := range attempts {
			attempt.written = true
			attempt.Text = "" // it may be large, and the attempt outlives the query
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

// write writes a frame without blocking. It returns errWriteBlocked if only a part of it could be written.
func (c *conn) write(frame []byte) error {
	n, err := c.up.TryWrite(frame)
	if err == nil && n < len(frame) {
		return errWriteBlocked
	}
	return err
}

// Retire sends no new attempts over the present connections to a node, and closes each as soon as it is idle.
func (p *Pool) Retire(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		for _, c := range n.conns {
			c.retired = true
		}
		p.nextSweep = 0
		p.CloseIdle(id, "unused")
	}
}

// CloseIdle closes the connections to a node that have no attempt in flight.
func (p *Pool) CloseIdle(id decision.NodeID, reason string) {
	if n := p.nodes[id]; n != nil {
		p.closeWhere(n, reason, func(c *conn) bool { return c.inFlight.len() == 0 })
	}
}

// Sweep ends attempts whose deadline has passed and closes connections that are idle for too long. It returns when it must be called again.
// It inspects the connections only when something can be due, not in each step of the loop.
func (p *Pool) Sweep(now time.Duration) (next time.Duration) {
	if now < p.nextSweep {
		return p.nextSweep
	}
	next = now + p.limits.Idle
	for _, n := range p.nodeOrder {
		for i := len(n.conns) - 1; i >= 0; i-- { // backwards, as close removes elements
			c := n.conns[i]
			for j := c.inFlight.len() - 1; j >= 0; j-- {
				if attempt := c.inFlight.attempts[j]; attempt.Deadline <= now {
					p.finish(attempt, decision.TimedOut, now, "")
				} else {
					next = min(next, attempt.Deadline)
				}
			}
			// An idle connection is closed before the node closes it: an attempt sent while the node closes it would be lost.
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

// close closes a connection from this side, with a reason code.
func (p *Pool) close(c *conn, reason string) {
	if !c.closed {
		c.reason = reason
		p.removeConn(c, p.since(), false)
		c.cancel()
	}
}

// removeConn removes a connection and ends its attempts: as reset if they were written, else as failed to connect.
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

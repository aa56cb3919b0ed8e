package store

// This file owns how what a connection delivers ends parts and probes. It must never end a part twice.

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Event is what a connection's goroutine delivers to the loop.
type Event struct {
	conn   *conn
	kind   eventKind
	at     time.Duration
	up     Conn
	answer Answer
	err    error
}

type eventKind uint8

const (
	up eventKind = iota
	answered
	down
)

// shown ends a probe that waits for the connection.
func (p *Pool) shown(c *conn, how decision.Outcome, at time.Duration) {
	if c.probed {
		c.probed = false
		p.Probed(c.node.id, how, at-c.dialed)
	}
}

// Handle takes what a connection's goroutine delivered.
func (p *Pool) Handle(e Event) {
	c := e.conn
	switch e.kind {
	case up:
		if c.closed {
			return
		}
		c.up, c.last = e.up, e.at
		p.shown(c, decision.OK, e.at)
		queue := c.queue
		c.queue = nil
		for _, parts := range queue {
			parts = slices.DeleteFunc(parts, func(part *Part) bool { return part.over })
			if len(parts) > 0 && !c.closed {
				p.call(c, parts)
			}
		}
	case answered:
		c.owes = 0
		part := c.out.find(e.answer.ID)
		if part == nil && (c.closed || c.gaveUp(e.answer.ID)) {
			p.Counts.Late++
			return
		}
		if part == nil {
			// Danger: an answer to nothing that was asked. Whose it was can't be told, and nothing that follows
			// it can be trusted either; the parts that are out would wait for their time.
			p.Counts.Bad++
			p.close(c, "unknown_answer")
			return
		}
		c.last = e.at
		c.served++
		part.Report = e.answer.Report
		how := decision.OK
		switch e.answer.End {
		case Served:
			p.Counts.Served++
		case Broke:
			p.Counts.Broke++
			how = decision.Errored
		case Skipped:
			p.Counts.Skipped++
			how = decision.Rejected
		}
		p.finish(part, how, e.at, e.answer.Value)
	case down:
		reason := c.reason
		if !c.closed {
			reason = why(e.err, c.up != nil)
			if reason == "bad_frame" || reason == "slow_frame" {
				p.Counts.Bad++
			}
			p.drop(c, e.at, endedByNode(reason))
		}
		p.Counts.Ended++
		slog.Info("node connection ended", "node", c.node.name, "reason", reason, "answers", c.served,
			"lasted", (e.at - c.dialed).Round(time.Millisecond))
	}
}

// Cancel gives a part up and tells its node; nothing of it is written from then on.
func (p *Pool) Cancel(part *Part) {
	if part.over {
		return
	}
	c, told := part.conn, part.written
	p.finish(part, decision.Cancelled, p.since(), "")
	if told && !c.closed {
		p.Counts.Cancels++
		p.buf = appendCancel(p.buf[:0], part.ID)
		if err := c.write(p.buf); err != nil {
			p.close(c, "write_failed")
		}
	}
}

// end gives parts back that were never on a connection.
func (p *Pool) end(parts []*Part, how decision.Outcome) {
	for _, part := range parts {
		p.finish(part, how, p.since(), "")
	}
}

func (p *Pool) finish(part *Part, how decision.Outcome, at time.Duration, value string) {
	part.over = true
	if part.conn != nil && part.conn.out.remove(part) {
		c := part.conn
		if part.written && (how == decision.Cancelled || how == decision.TimedOut) {
			c.giveUp(part.ID)
		}
		if c.out.len() == 0 { // from now on it idles, or was only waited for
			if p.due = min(p.due, c.last+p.limits.Idle-p.limits.Dial); c.retired || c.node.gone {
				p.due = 0
			}
		}
	}
	p.ended(part, how, at, value)
}

// Over tells whether a part has ended.
func (part *Part) Over() bool { return part.over }

// Written tells whether a part's last byte has left for its node.
func (part *Part) Written() bool { return part.written }

// Withhold ends what waits for connections to a node to come up, as never sent. Danger: a connection may come up long after the call
// was meant for it; by then the list may have ended or drained the node, or it has started anew and is cold.
func (p *Pool) Withhold(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		p.withhold(n)
	}
}

func (p *Pool) withhold(n *node) {
	for _, c := range n.conns {
		queue := c.queue
		c.queue = nil
		for _, parts := range queue {
			p.end(slices.DeleteFunc(parts, (*Part).Over), decision.NeverSent)
		}
	}
}

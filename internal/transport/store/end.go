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

// endProbe ends a probe that waits for the connection.
func (p *Pool) endProbe(c *conn, outcome decision.Outcome, at time.Duration) {
	if c.probePending {
		c.probePending = false
		p.ProbeEnded(c.node.id, outcome, at-c.dialed)
	}
}

// HandleEvent takes what a connection's goroutine delivered.
func (p *Pool) HandleEvent(e Event) {
	c := e.conn
	switch e.kind {
	case up:
		if c.closed {
			return
		}
		c.up, c.lastActive = e.up, e.at
		p.endProbe(c, decision.OK, e.at)
		queue := c.queue
		c.queue = nil
		for _, attempts := range queue {
			attempts = slices.DeleteFunc(attempts, func(attempt *Subrequest) bool { return attempt.ended })
			if len(attempts) > 0 && !c.closed {
				p.writeCall(c, attempts)
			}
		}
	case answered:
		c.unansweredSince = 0
		attempt := c.inFlight.find(e.answer.ID)
		if attempt == nil && (c.closed || c.takeAbandoned(e.answer.ID)) {
			p.Counts.Late++
			return
		}
		if attempt == nil {
			// Danger: an answer to nothing that was asked. Whose it was can't be told, and nothing that follows
			// it can be trusted either; the parts that are out would wait for their time.
			p.Counts.Bad++
			p.close(c, "unknown_answer")
			return
		}
		c.lastActive = e.at
		c.answers++
		attempt.Report = e.answer.Report
		outcome := decision.OK
		switch e.answer.Result {
		case Served:
			p.Counts.Served++
		case Broke:
			p.Counts.Broke++
			outcome = decision.Errored
		case Skipped:
			p.Counts.Skipped++
			outcome = decision.Rejected
		}
		p.finish(attempt, outcome, e.at, e.answer.Value)
	case down:
		reason := c.reason
		if !c.closed {
			reason = endReason(e.err, c.up != nil)
			if reason == "bad_frame" || reason == "slow_frame" {
				p.Counts.Bad++
			}
			p.removeConn(c, e.at, endedByNode(reason))
		}
		p.Counts.Ended++
		slog.Info("node connection ended", "node", c.node.name, "reason", reason, "answers", c.answers,
			"lasted", (e.at - c.dialed).Round(time.Millisecond))
	}
}

// Cancel gives a part up and tells its node; nothing of it is written from then on.
func (p *Pool) Cancel(attempt *Subrequest) {
	if attempt.ended {
		return
	}
	c, wasWritten := attempt.conn, attempt.written
	p.finish(attempt, decision.Cancelled, p.since(), "")
	if wasWritten && !c.closed {
		p.Counts.Cancels++
		p.buf = appendCancel(p.buf[:0], attempt.ID)
		if err := c.write(p.buf); err != nil {
			p.close(c, "write_failed")
		}
	}
}

// end gives parts back that were never on a connection.
func (p *Pool) end(attempts []*Subrequest, outcome decision.Outcome) {
	for _, attempt := range attempts {
		p.finish(attempt, outcome, p.since(), "")
	}
}

func (p *Pool) finish(attempt *Subrequest, outcome decision.Outcome, at time.Duration, value string) {
	attempt.ended = true
	if attempt.conn != nil && attempt.conn.inFlight.remove(attempt) {
		c := attempt.conn
		if attempt.written && (outcome == decision.Cancelled || outcome == decision.TimedOut) {
			c.rememberAbandoned(attempt.ID)
		}
		if c.inFlight.len() == 0 { // from now on it idles, or was only waited for
			if p.nextSweep = min(p.nextSweep, c.lastActive+p.limits.Idle-p.limits.Dial); c.retired || c.node.unlisted {
				p.nextSweep = 0
			}
		}
	}
	p.attemptEnded(attempt, outcome, at, value)
}

// Ended tells whether a part has ended.
func (a *Subrequest) Ended() bool { return a.ended }

// Written tells whether a part's last byte has left for its node.
func (a *Subrequest) Written() bool { return a.written }

// EndQueued ends what waits for connections to a node to come up, as never sent. Danger: a connection may come up long after the call
// was meant for it; by then the list may have ended or drained the node, or it has started anew and is cold.
func (p *Pool) EndQueued(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		p.endQueued(n)
	}
}

func (p *Pool) endQueued(n *node) {
	for _, c := range n.conns {
		queue := c.queue
		c.queue = nil
		for _, attempts := range queue {
			p.end(slices.DeleteFunc(attempts, (*Subrequest).Ended), decision.NeverSent)
		}
	}
}

package store

// This file handles the events of connections, which end attempts and probes. It must never end an attempt twice.

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Event is an event of a connection, which its goroutine posts to the loop.
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

// endProbe ends the probe that waits for the connection, if any.
func (p *Pool) endProbe(c *conn, outcome decision.Outcome, at time.Duration) {
	if c.probePending {
		c.probePending = false
		p.ProbeEnded(c.node.id, outcome, at-c.dialed)
	}
}

// HandleEvent handles an event that a connection's goroutine has posted.
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
		if attempt == nil {
			e.answer.Memory.Close()
		}
		if attempt == nil && (c.closed || c.takeAbandoned(e.answer.ID)) {
			p.Counts.Late++
			return
		}
		if attempt == nil {
			// The answer is to an attempt that was never sent here, so that no later answer can be trusted either. Closing
			// the connection ends its attempts now rather than at their deadlines.
			p.Counts.Bad++
			p.close(c, "unknown_answer")
			return
		}
		c.lastActive = e.at
		c.answers++
		attempt.Report = e.answer.Report
		attempt.Memory = e.answer.Memory
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
		case Dropped:
			p.Counts.Served++
			outcome = decision.Stale
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

// Cancel cancels an attempt. If it was written, the node is sent a cancel; if it still waits for a connection, it is never written.
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

// end ends attempts that have not been written.
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
		if c.inFlight.len() == 0 { // the connection is idle now, or was still being established
			if p.nextSweep = min(p.nextSweep, c.lastActive+p.limits.Idle-p.limits.Dial); c.retired || c.node.unlisted {
				p.nextSweep = 0
			}
		}
	}
	p.attemptEnded(attempt, outcome, at, value)
}

// Ended reports whether the attempt has ended.
func (a *Subrequest) Ended() bool { return a.ended }

// Written reports whether the attempt was written completely.
func (a *Subrequest) Written() bool { return a.written }

// EndQueued ends the attempts that wait for a connection to a node to be established, or for their turn on one, as never sent. A connection may be established long
// after the node was chosen, and by then the node may be unlisted or draining, or have restarted and be cold.
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
		p.endWithdrawn(c)
	}
}

// endWithdrawn takes back the attempts that wait within a carrier's connection for their turn, and ends them as never sent.
func (p *Pool) endWithdrawn(c *conn) {
	queue, ok := c.up.(Queue)
	if !ok {
		return
	}
	for _, id := range queue.Withdraw() {
		if attempt := c.inFlight.find(id); attempt != nil {
			p.finish(attempt, decision.NeverSent, p.since(), "")
		}
	}
}

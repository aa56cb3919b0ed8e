package forwarding

// This file owns what becomes of searches that are abroad.

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// LinkUp takes it that a link stands, to a far process that its epoch names. What was lost over it is asked again there if it
// is the same process, which remembers; another one can't tell what the first has run.
func (n *Forwarder) LinkUp(at LinkIndex, epoch uint64, credit int, now time.Duration) {
	p := &n.peers[at]
	p.up, p.epoch, p.credit, p.status, p.heard, p.until, p.penalty = true, epoch, credit, Status{}, 0, 0, 0
	for _, t := range n.ordered(func(t *trip) bool { return t.stage == lost && t.peer == at }) {
		if left := n.left(t.Deadline, p, now); t.epoch == epoch && left > 0 {
			t.stage = out
			p.abroad++
			n.Counters.Resent++
			n.act(Action{Kind: Forward, ID: t.ID, Link: at, TimeLeft: left, Resent: true})
		} else {
			n.settle(t, now)
		}
	}
}

// LinkDown takes it that a link has ended. unsent are the searches of it that were never handed to the network.
func (n *Forwarder) LinkDown(at LinkIndex, unsent []uint64, now time.Duration) {
	p := &n.peers[at]
	p.up, p.abroad = false, 0
	for _, t := range n.ordered(func(t *trip) bool { return t.stage == out && t.peer == at }) {
		n.Counters.LinkLost++
		if slices.Contains(unsent, t.ID) && !t.risk {
			n.bring(t, now, true)
			continue
		}
		t.risk, t.stage, t.until = true, lost, min(now+n.policy.ResumeTimeout, t.Deadline-n.policy.AnswerReserve)
		if t.Idempotency == decision.Idempotent {
			n.settle(t, now) // what can be done again here need not wait
		}
	}
}

// settle decides on a search that is known only as "may have run".
func (n *Forwarder) settle(t *trip, now time.Duration) {
	switch {
	case t.Idempotency == decision.Idempotent:
		n.bring(t, now, true)
	case t.Idempotency == decision.IdempotencyKeyed && now <= t.sent+t.IdempotencyWindow:
		n.bring(t, now, false)
	default:
		n.end(t, Fail)
	}
}

// bring serves a search here after all, if there is time; else it ends. harmless: asking it again does no harm, so that it
// may be shed.
func (n *Forwarder) bring(t *trip, now time.Duration, harmless bool) {
	left := t.Deadline - now
	if !harmless { // no part of it may leave after its window
		left = min(left, t.sent+t.IdempotencyWindow-now)
	}
	switch {
	case left > n.policy.MinTimeLeft:
		n.Counters.Returned++
		n.end(t, Resubmit)
		home := &n.acts[len(n.acts)-1]
		home.TimeLeft, home.MayHaveRun = left, !harmless
	case harmless && t.Deadline-now > 0:
		n.end(t, Shed)
	default:
		n.end(t, Fail)
	}
}

// end forgets a trip with its last act.
func (n *Forwarder) end(t *trip, how ActionKind) {
	if p := &n.peers[t.peer]; t.stage == out && p.up {
		p.abroad--
	}
	delete(n.trips, t.ID)
	n.Counters.InFlight = len(n.trips)
	n.act(Action{Kind: how, ID: t.ID})
}

// HandleResult takes the far side's verdict on a search. It tells whether it is the search's final answer as it stands: an answer
// is, and so is a failure; a refusal ends as one here. One that is no longer abroad, or came back before, says nothing.
func (n *Forwarder) HandleResult(at LinkIndex, id uint64, how Outcome, now time.Duration) (final bool) {
	t := n.trips[id]
	if t == nil || t.peer != at || t.stage != out {
		return false
	}
	p := &n.peers[at]
	switch how {
	case Rejected:
		// Danger: two overloaded sites hand each other what neither can serve. Each refusal closes the link for longer.
		n.Counters.Rejected++
		p.penalty = min(refusedMost, max(refusedOnce, 2*p.penalty))
		p.until = now + p.penalty
		n.end(t, Shed)
		return false
	case Answered:
		n.Counters.Answered++
		p.good, p.penalty, p.until = now, 0, 0
		p.took += time.Duration(smooth * float64(now-t.sent-p.took))
	default:
		n.Counters.Failed++
	}
	p.abroad--
	delete(n.trips, id)
	n.Counters.InFlight = len(n.trips)
	return true
}

// HandleStatus takes what the other side says of itself, and the round trip as the link measures it.
func (n *Forwarder) HandleStatus(at LinkIndex, s Status, rtt, now time.Duration) {
	p := &n.peers[at]
	p.status, p.heard, p.rtt = s, now, rtt
	if closed := s.Shedding || s.Draining || s.FreeShare <= 0; closed != p.closed {
		p.closed = closed
		text := p.name + " takes searches again"
		if closed {
			text = p.name + " takes no searches: " + s.why()
		}
		n.act(Action{Kind: Log, Text: text})
	}
}

func (s *Status) why() string {
	switch {
	case s.Draining:
		return "it stops"
	case s.Shedding:
		return "it refuses its own"
	default:
		return "no room"
	}
}

// Abandon takes it that a client has gone away; the far side may stop.
func (n *Forwarder) Abandon(id uint64) {
	if t := n.trips[id]; t != nil {
		n.cancel(t)
		if p := &n.peers[t.peer]; t.stage == out && p.up {
			p.abroad--
		}
		delete(n.trips, id)
		n.Counters.InFlight = len(n.trips)
	}
}

func (n *Forwarder) cancel(t *trip) {
	if t.stage == out && n.peers[t.peer].up {
		n.act(Action{Kind: Cancel, ID: t.ID, Link: t.peer})
	}
}

package forwarding

// This file owns what becomes of searches that are abroad.

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Up takes it that a link stands, to a far process that its epoch names. What was lost over it is asked again there if it
// is the same process, which remembers; another one can't tell what the first has run.
func (n *Near) Up(at Peer, epoch uint64, credit int, now time.Duration) {
	p := &n.peers[at]
	p.up, p.epoch, p.credit, p.status, p.heard, p.until, p.penalty = true, epoch, credit, Status{}, 0, 0, 0
	for _, t := range n.ordered(func(t *trip) bool { return t.stage == lost && t.peer == at }) {
		if left := n.left(t.Due, p, now); t.epoch == epoch && left > 0 {
			t.stage = out
			p.abroad++
			n.Counts.Resumed++
			n.act(Act{Kind: Forward, ID: t.ID, Peer: at, Left: left, Again: true})
		} else {
			n.settle(t, now)
		}
	}
}

// Down takes it that a link has ended. unsent are the searches of it that were never handed to the network.
func (n *Near) Down(at Peer, unsent []uint64, now time.Duration) {
	p := &n.peers[at]
	p.up, p.abroad = false, 0
	for _, t := range n.ordered(func(t *trip) bool { return t.stage == out && t.peer == at }) {
		n.Counts.Lost++
		if slices.Contains(unsent, t.ID) && !t.risk {
			n.bring(t, now, true)
			continue
		}
		t.risk, t.stage, t.until = true, lost, min(now+n.policy.Resume, t.Due-n.policy.Speak)
		if t.Effect == decision.Idempotent {
			n.settle(t, now) // what can be done again here need not wait
		}
	}
}

// settle decides on a search that is known only as "may have run".
func (n *Near) settle(t *trip, now time.Duration) {
	switch {
	case t.Effect == decision.Idempotent:
		n.bring(t, now, true)
	case t.Effect == decision.IdempotencyKeyed && now <= t.sent+t.Window:
		n.bring(t, now, false)
	default:
		n.end(t, Fail)
	}
}

// bring serves a search here after all, if there is time; else it ends. harmless: asking it again does no harm, so that it
// may be shed.
func (n *Near) bring(t *trip, now time.Duration, harmless bool) {
	left := t.Due - now
	if !harmless { // no part of it may leave after its window
		left = min(left, t.sent+t.Window-now)
	}
	switch {
	case left > n.policy.LeastLeft:
		n.Counts.BroughtHome++
		n.end(t, Home)
		home := &n.acts[len(n.acts)-1]
		home.Left, home.Risk = left, !harmless
	case harmless && t.Due-now > 0:
		n.end(t, Shed)
	default:
		n.end(t, Fail)
	}
}

// end forgets a trip with its last act.
func (n *Near) end(t *trip, how Kind) {
	if p := &n.peers[t.peer]; t.stage == out && p.up {
		p.abroad--
	}
	delete(n.trips, t.ID)
	n.Counts.Abroad = len(n.trips)
	n.act(Act{Kind: how, ID: t.ID})
}

// Back takes the far side's verdict on a search. It tells whether it is the search's final answer as it stands: an answer
// is, and so is a failure; a refusal ends as one here. One that is no longer abroad, or came back before, says nothing.
func (n *Near) Back(at Peer, id uint64, how Ended, now time.Duration) (final bool) {
	t := n.trips[id]
	if t == nil || t.peer != at || t.stage != out {
		return false
	}
	p := &n.peers[at]
	switch how {
	case Refused:
		// Danger: two overloaded sites hand each other what neither can serve. Each refusal closes the link for longer.
		n.Counts.RefusedThere++
		p.penalty = min(refusedMost, max(refusedOnce, 2*p.penalty))
		p.until = now + p.penalty
		n.end(t, Shed)
		return false
	case Answered:
		n.Counts.Answered++
		p.good, p.penalty, p.until = now, 0, 0
		p.took += time.Duration(smooth * float64(now-t.sent-p.took))
	default:
		n.Counts.FailedThere++
	}
	p.abroad--
	delete(n.trips, id)
	n.Counts.Abroad = len(n.trips)
	return true
}

// Heard takes what the other side says of itself, and the round trip as the link measures it.
func (n *Near) Heard(at Peer, s Status, rtt, now time.Duration) {
	p := &n.peers[at]
	p.status, p.heard, p.rtt = s, now, rtt
	if closed := s.Refusing || s.Stopping || s.Room <= 0; closed != p.closed {
		p.closed = closed
		text := p.name + " takes searches again"
		if closed {
			text = p.name + " takes no searches: " + s.why()
		}
		n.act(Act{Kind: Log, Text: text})
	}
}

func (s *Status) why() string {
	switch {
	case s.Stopping:
		return "it stops"
	case s.Refusing:
		return "it refuses its own"
	default:
		return "no room"
	}
}

// Gone takes it that a client has gone away; the far side may stop.
func (n *Near) Gone(id uint64) {
	if t := n.trips[id]; t != nil {
		n.cancel(t)
		if p := &n.peers[t.peer]; t.stage == out && p.up {
			p.abroad--
		}
		delete(n.trips, id)
		n.Counts.Abroad = len(n.trips)
	}
}

func (n *Near) cancel(t *trip) {
	if t.stage == out && n.peers[t.peer].up {
		n.act(Act{Kind: Cancel, ID: t.ID, Peer: t.peer})
	}
}

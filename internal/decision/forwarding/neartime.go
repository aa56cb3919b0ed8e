package forwarding

// This file owns what time brings to the near side, and its picture for operators.

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Tick ends what has run out of time, and tells when to come again.
func (n *Forwarder) Tick(now time.Duration) (next time.Duration) {
	next = 1<<63 - 1
	for _, t := range n.ordered(func(t *trip) bool {
		at := n.due(t)
		if at > now {
			next = min(next, at)
		}
		return at <= now
	}) {
		if t.stage == lost && now < t.Deadline-n.policy.AnswerReserve {
			n.settle(t, now) // its link has not come back in time
			continue
		}
		n.Counters.TimedOut++
		n.cancel(t)
		if t.Idempotency == decision.Idempotent && now < t.Deadline {
			n.end(t, Shed)
		} else {
			n.end(t, Fail)
		}
	}
	return next
}

// due is when something must be decided on a trip whatever comes.
func (n *Forwarder) due(t *trip) time.Duration {
	last := t.Deadline - n.policy.AnswerReserve
	if t.stage == lost {
		return min(last, t.until)
	}
	return last
}

// ordered lists trips by id, as chance must have no part in it.
func (n *Forwarder) ordered(which func(*trip) bool) (of []*trip) {
	for _, t := range n.trips {
		if which(t) {
			of = append(of, t)
		}
	}
	slices.SortFunc(of, func(x, y *trip) int { return cmp.Compare(x.ID, y.ID) })
	return of
}

// LinkSnapshot is one link for operators.
type LinkSnapshot struct {
	Name        string        `json:"Name"`
	Up          bool          `json:"Up"`
	Usable      bool          `json:"Usable"`
	Draining    bool          `json:"Stopping"`
	InFlight    int           `json:"Abroad"`
	Credit      int           `json:"Credit"`
	RoundTrip   time.Duration `json:"RoundTrip"`
	AnswerTime  time.Duration `json:"Took"`
	FreeShare   float64       `json:"Room"`
	Shedding    bool          `json:"Refusing"`
	StatusAge   time.Duration `json:"HeardAgo"` // -1: never heard
	BackoffLeft time.Duration `json:"ShutFor"`  // -1: never heard
}

// Snapshot tells of all links.
func (n *Forwarder) Snapshot(now time.Duration) (all []LinkSnapshot) {
	for i := range n.peers {
		p := &n.peers[i]
		s := LinkSnapshot{Name: p.name, Up: p.up, Usable: n.usable(p, now), Draining: p.status.Draining, InFlight: p.abroad,
			Credit: p.credit, RoundTrip: p.rtt, AnswerTime: p.took, FreeShare: p.status.FreeShare, Shedding: p.status.Shedding,
			StatusAge: -1, BackoffLeft: max(0, p.until-now)}
		if p.heard > 0 {
			s.StatusAge = now - p.heard
		}
		all = append(all, s)
	}
	return all
}

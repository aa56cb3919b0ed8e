package forwarding

// This file owns what time brings to the near side, and its picture for operators.

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Tick ends what has run out of time, and tells when to come again.
func (n *Near) Tick(now time.Duration) (next time.Duration) {
	next = 1<<63 - 1
	for _, t := range n.ordered(func(t *trip) bool {
		at := n.due(t)
		if at > now {
			next = min(next, at)
		}
		return at <= now
	}) {
		if t.stage == lost && now < t.Due-n.policy.Speak {
			n.settle(t, now) // its link has not come back in time
			continue
		}
		n.Counts.GivenUp++
		n.cancel(t)
		if t.Effect == decision.Idempotent && now < t.Due {
			n.end(t, Shed)
		} else {
			n.end(t, Fail)
		}
	}
	return next
}

// due is when something must be decided on a trip whatever comes.
func (n *Near) due(t *trip) time.Duration {
	last := t.Due - n.policy.Speak
	if t.stage == lost {
		return min(last, t.until)
	}
	return last
}

// ordered lists trips by id, as chance must have no part in it.
func (n *Near) ordered(which func(*trip) bool) (of []*trip) {
	for _, t := range n.trips {
		if which(t) {
			of = append(of, t)
		}
	}
	slices.SortFunc(of, func(x, y *trip) int { return cmp.Compare(x.ID, y.ID) })
	return of
}

// PeerState is one link for operators.
type PeerState struct {
	Name      string        `json:"Name"`
	Up        bool          `json:"Up"`
	Usable    bool          `json:"Usable"`
	Stopping  bool          `json:"Stopping"`
	Abroad    int           `json:"Abroad"`
	Credit    int           `json:"Credit"`
	RoundTrip time.Duration `json:"RoundTrip"`
	Took      time.Duration `json:"Took"`
	Room      float64       `json:"Room"`
	Refusing  bool          `json:"Refusing"`
	HeardAgo  time.Duration `json:"HeardAgo"` // -1: never heard
	ShutFor   time.Duration `json:"ShutFor"`  // -1: never heard
}

// State tells of all links.
func (n *Near) State(now time.Duration) (all []PeerState) {
	for i := range n.peers {
		p := &n.peers[i]
		s := PeerState{Name: p.name, Up: p.up, Usable: n.usable(p, now), Stopping: p.status.Stopping, Abroad: p.abroad,
			Credit: p.credit, RoundTrip: p.rtt, Took: p.took, Room: p.status.Room, Refusing: p.status.Refusing,
			HeardAgo: -1, ShutFor: max(0, p.until-now)}
		if p.heard > 0 {
			s.HeardAgo = now - p.heard
		}
		all = append(all, s)
	}
	return all
}

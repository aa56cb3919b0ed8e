package forwarding

// This file owns whether a search goes to another site, and to which.

import (
	"slices"
	"time"
)

// Offer asks, of a search that the module sheds, whether it goes abroad; false: it is shed as the module says.
func (n *Forwarder) Offer(s Query, now time.Duration) bool {
	if s.Remote || s.Returned {
		return false // never a second hop, never back and forth
	}
	if n.tokens < 1 || len(n.trips) >= n.policy.MaxForwarded {
		n.Counters.NoBudget++
		return false
	}
	at, inTime := n.choose(s, now)
	if at < 0 {
		if inTime {
			n.Counters.NoLink++
		} else {
			n.Counters.NoTime++
		}
		return false
	}
	p := &n.peers[at]
	n.tokens--
	p.abroad++
	n.trips[s.ID] = &trip{Query: s, peer: at, epoch: p.epoch, sent: now}
	n.Counters.Forwarded++
	n.Counters.InFlight = len(n.trips)
	n.act(Action{Kind: Forward, ID: s.ID, Link: at, TimeLeft: n.left(s.Deadline, p, now)})
	return true
}

// left is the time that the far side gets: it gives up first, so that this side can still speak.
func (n *Forwarder) left(due time.Duration, p *peer, now time.Duration) time.Duration {
	return due - now - n.policy.AnswerReserve - p.rtt
}

// choose picks the link with most room that would serve a search in time; inTime false: for want of time only.
func (n *Forwarder) choose(s Query, now time.Duration) (best LinkIndex, inTime bool) {
	best, inTime = -1, true
	for i := range n.peers {
		p := &n.peers[i]
		if !n.usable(p, now) || lacks(&p.status, s.Shards) {
			continue
		}
		if left := n.left(s.Deadline, p, now); left < max(n.policy.MinTimeLeft, p.took-p.rtt) {
			inTime = best >= 0
			continue
		}
		if best < 0 || p.credit-p.abroad > n.peers[best].credit-n.peers[best].abroad {
			best, inTime = LinkIndex(i), true
		}
	}
	return best, inTime
}

// usable tells whether a link takes another search. What the other side says of itself is hearsay, and dated; what it did
// with our own searches weighs more, in both directions: a refusal closes the link for a while whatever it says, and an
// answer since its last word opens it. That it stops is its own to say.
func (n *Forwarder) usable(p *peer, now time.Duration) bool {
	if !p.up || p.status.Draining || p.abroad >= p.credit || now < p.until {
		return false
	}
	if p.good > p.heard && now-p.good < ownFor {
		return true
	}
	known := p.heard > 0 && now-p.heard < statusFor
	return known && !p.status.Shedding && p.status.FreeShare > 0
}

// lacks tells whether the other side has no sound holder of a shard. Its nodes are its own word.
func lacks(s *Status, shards []int) bool {
	return slices.ContainsFunc(shards, func(shard int) bool { return slices.Contains(s.UnavailableShards, shard) })
}

package forwarding

// This file owns whether a search goes to another site, and to which.

import (
	"slices"
	"time"
)

// Offer asks, of a search that the module sheds, whether it goes abroad; false: it is shed as the module says.
func (n *Near) Offer(s Search, now time.Duration) bool {
	if s.Foreign || s.Home {
		return false // never a second hop, never back and forth
	}
	if n.tokens < 1 || len(n.trips) >= n.policy.MostAbroad {
		n.Counts.NoBudget++
		return false
	}
	at, inTime := n.choose(s, now)
	if at < 0 {
		if inTime {
			n.Counts.NoPeer++
		} else {
			n.Counts.NoTime++
		}
		return false
	}
	p := &n.peers[at]
	n.tokens--
	p.abroad++
	n.trips[s.ID] = &trip{Search: s, peer: at, epoch: p.epoch, sent: now}
	n.Counts.Forwarded++
	n.Counts.Abroad = len(n.trips)
	n.act(Act{Kind: Forward, ID: s.ID, Peer: at, Left: n.left(s.Due, p, now)})
	return true
}

// left is the time that the far side gets: it gives up first, so that this side can still speak.
func (n *Near) left(due time.Duration, p *peer, now time.Duration) time.Duration {
	return due - now - n.policy.Speak - p.rtt
}

// choose picks the link with most room that would serve a search in time; inTime false: for want of time only.
func (n *Near) choose(s Search, now time.Duration) (best Peer, inTime bool) {
	best, inTime = -1, true
	for i := range n.peers {
		p := &n.peers[i]
		if !n.usable(p, now) || lacks(&p.status, s.Shards) {
			continue
		}
		if left := n.left(s.Due, p, now); left < max(n.policy.LeastLeft, p.took-p.rtt) {
			inTime = best >= 0
			continue
		}
		if best < 0 || p.credit-p.abroad > n.peers[best].credit-n.peers[best].abroad {
			best, inTime = Peer(i), true
		}
	}
	return best, inTime
}

// usable tells whether a link takes another search. What the other side says of itself is hearsay, and dated; what it did
// with our own searches weighs more, in both directions: a refusal closes the link for a while whatever it says, and an
// answer since its last word opens it. That it stops is its own to say.
func (n *Near) usable(p *peer, now time.Duration) bool {
	if !p.up || p.status.Stopping || p.abroad >= p.credit || now < p.until {
		return false
	}
	if p.good > p.heard && now-p.good < ownFor {
		return true
	}
	known := p.heard > 0 && now-p.heard < statusFor
	return known && !p.status.Refusing && p.status.Room > 0
}

// lacks tells whether the other side has no sound holder of a shard. Its nodes are its own word.
func lacks(s *Status, shards []int) bool {
	return slices.ContainsFunc(shards, func(shard int) bool { return slices.Contains(s.Lacking, shard) })
}

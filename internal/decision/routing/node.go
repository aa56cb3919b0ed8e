package routing

// This file owns what is made of each node's health, and when the list is asked for.

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

func (k *keeper) read(n *note) {
	l := k.l
	switch {
	case n.kind == tick:
		if k.next = never; l.t.PollList && !k.asked && l.now >= k.due {
			k.asked, l.out = true, append(l.out, decision.Action{Kind: decision.SubscribeList})
		} else if l.t.PollList && !k.asked {
			k.next = k.due
		}
	case n.ev.Kind == decision.ListPollFailed:
		// Danger: every broker asking again in step keeps a jammed list service jammed.
		k.due = l.now + time.Duration((0.5+l.rand())*float64(k.backoff))
		k.asked, k.backoff = false, min(2*k.backoff, askMost)
	default:
		k.backoff = askFirst
		k.merge(n.ev)
	}
}

func (n *node) read(k *note) {
	now := n.l.now
	switch k.kind {
	case listed:
		n.cell, n.ready = k.entry.Cell, k.entry.State == decision.Ready
		n.blame(n.share)
		if n.eased = 0; k.entry.Unconfirmed {
			n.eased = max(1, now)
		}
		if b := k.entry.StartedAt; b > n.boot { // a stale list may name an older start
			n.boot = b
			if now-b < n.l.t.WarmUpTime {
				n.warming, n.since, n.downed, n.trusted, n.doubt = true, b, false, true, 0
				n.l.logf("%v cold: started %v ago", n.id, now-b)
			}
		}
	case rumour:
		// Danger: each of many brokers meets a sick node by itself, each time anew. Where several peers call
		// it sick it counts as limping, until it answers or time goes by. False rumours cost it some traffic.
		if n.rumour = n.gossip(); k.sick {
			n.rumour++
		} else {
			n.rumour /= 2
		}
		if n.heardOf = now; n.rumour >= rumourMany {
			n.slow = limpMost
		}
	case vouched:
		n.downed = false // it can be reached, whatever it does with a part
	case sent:
		if !n.trusted {
			if n.trying { // the trial before this one was never answered
				n.backoff = max(n.gap, min(2*n.backoff, backoffMost))
			}
			n.until, n.trying = now+n.backoff, true
		}
	case ended:
		n.ended(k)
	case tick:
		// Danger: a node that takes parts and answers none: its calls together have waited several times what is
		// usual. It may hurt when all stop at once. Before, once until it is heard, a fresh connection is tried.
		wait := min(k.took, now-n.heard)
		n.unheard += time.Duration(k.calls) * min(now-n.ticked, wait)
		if n.renewed <= n.heard && n.unheard > renewAt*n.l.desk.p95 {
			n.renewed = now
			n.l.out = append(n.l.out, decision.Action{Kind: decision.CloseIdleConnections, Node: n.id})
		}
		exposed := wait > silentLeast && float64(n.unheard) > silentFactor*float64(k.limp)
		if n.trusted && (wait > silentMost || exposed) {
			n.distrust("silent", wait.Seconds())
		}
		n.gap = k.gap
		n.limp(k)
	}
	n.tell()
}

func (n *node) ended(k *note) {
	now := n.l.now
	switch k.outcome {
	case decision.OK, decision.Stale:
		n.heard, n.unheard, n.refused, n.rumour, n.downed = now, 0, 0, 0, false
		n.doubt *= 1 - doubtStep
		n.blame(n.share * (1 - shareStep))
		n.learn(k.took)
		if !n.trusted {
			if n.until = now; n.doubt < doubtTrust {
				n.trusted, n.regained = true, now
				n.l.spread(factWell, n.id)
				n.l.logf("%v trusted: doubt %.2f", n.id, n.doubt)
			}
		}
	case decision.Cancelled:
		if k.took > n.lat {
			n.learn(k.took) // a loser would have taken longer still
		}
	case decision.Errored, decision.ConnectionReset:
		// Danger: where answers break from all nodes alike, each looks sick by turns, and shutting some crowds the
		// others. A node must stand out from half of the fleet; the parts of one broken connection count once.
		n.heard, n.unheard = now, 0
		if n.failed != now {
			n.doubt, n.failed = n.doubt+doubtStep*(1-n.doubt), now
			n.blame(n.share + shareStep*(1-n.share))
		}
		if !n.trusted || n.doubt > doubtShut && n.doubt > min(doubtMost, doubtShut+shareOver*n.l.common()) {
			n.distrust("errors", n.doubt)
		}
	case decision.Rejected:
		// Danger: where many queues are full, shutting each node that turned one part away crowds the others. There
		// it is shut for the second without an answer between. It may hurt where many drain and lists come late.
		n.heard, n.unheard, n.refused = now, 0, n.refused+1
		if !n.trusted || n.refused > 1 || n.l.desk.away() <= fullStep {
			n.distrust("refuses", n.doubt)
		}
	case decision.ConnectFailed:
		n.downed = true
		n.distrust("unreachable", n.doubt)
	}
}

// learn takes the last latency for the node's: a broker may not meet it again for many seconds.
func (n *node) learn(took time.Duration) { n.lat, n.ticked = took, n.l.now }

// faded is how much of what is known of the node's latency has gone stale since it was last looked at.
func (n *node) faded() float64 { return 1 - kept(n.l.now-n.ticked, max(limpFade, limpVisits*n.gap)) }

// limp weighs a node's latency, or the age of its oldest part, against the usual one. Danger: a node several
// times slower than its like looks idle to a broker with few parts out, and holds up every search that meets
// it. While it limps, each of its calls counts as several. It may hurt for a moment after a pause.
func (n *node) limp(k *note) {
	if n.lat > k.limp {
		n.lat -= time.Duration(n.faded() * float64(n.lat-k.limp))
	}
	n.ticked = n.l.now
	ratio := min(limpMost, float64(max(n.lat, k.took))/float64(k.limp))
	if n.slow = 1; ratio >= limpOn {
		n.slow = math.Floor(ratio)
	}
	if n.gossip() >= rumourMany {
		n.slow = limpMost
	}
}

// gossip is how many peers lately called the node sick.
func (n *node) gossip() float64 { return n.rumour * kept(n.l.now-n.heardOf, rumourFade) }

// distrust sends a node no work but a lone part now and then, ever rarer while it fails.
func (n *node) distrust(why string, figure float64) {
	now := n.l.now
	if n.trusted {
		n.l.spread(factSick, n.id)
		n.l.logf("%v shut: %s (%.2f)", n.id, why, figure)
	}
	if n.trusted && now-n.regained > flapWithin {
		n.backoff = max(backoffFirst, n.gap) // else a broker with little traffic tries it with each part
	} else if n.trusted || n.trying {
		n.backoff = max(n.gap, min(max(2*n.backoff, backoffFirst), backoffMost))
	}
	n.trusted, n.trying, n.until = false, false, now+n.backoff
}

// tell lets the desk know the node's mode.
func (n *node) tell() {
	if n.eased > 0 && n.heard > n.eased && n.l.now-n.eased >= n.l.t.WarmUpTime {
		n.eased = 0 // it answers, and whenever it started, it is warm by now
	}
	k := note{kind: standing, node: n.at, mode: fit, share: 1, slow: n.slow, downed: n.downed, eased: n.eased}
	if t := n.l.t; n.warming {
		// Danger (rule 4): all brokers at once push a cold node over. Each keeps to a share of what it sends
		// a like warm node, by a capacity that grows no slower than evenly, so that their sum holds.
		if age := n.l.now - n.since; age >= t.WarmUpTime {
			n.warming = false
			n.l.logf("%v warm", n.id)
		} else {
			k.mode = cold
			have := t.InitialCapacity + (1-t.InitialCapacity)*float64(max(0, age))/float64(t.WarmUpTime)
			k.share = min(1, coldSafety*t.OverloadMultiple*have)
		}
	}
	switch {
	case !n.ready:
		k.mode = gone
	case !n.trusted && n.l.now >= n.until:
		k.mode = trial
	case !n.trusted:
		k.mode = shut
	}
	if k.entry.Cell = n.cell; k != n.told {
		n.told = k
		n.l.post(&n.l.desk.box, k)
	}
}

// usual is the latency that a node is held against: the fleet's p50, or that of its like where that is longer
// (danger: in a crowded set all nodes look sick, and shutting some crowds the others).
func (l *Router) usual(n *node) time.Duration {
	sum, like := time.Duration(0), time.Duration(0)
	for _, at := range l.desk.kin(n.cell) {
		if o := l.nodes[at]; o != n && o.told.mode == fit {
			sum, like = sum+o.lat, like+1
		}
	}
	return max(l.desk.p50, sum/max(1, like))
}

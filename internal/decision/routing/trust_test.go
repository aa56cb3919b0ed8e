package routing

// This file tests which nodes are trusted: shut, tried anew, shunned by zone or rumour, and what is forgotten of them.

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// A node that answers nothing, or refuses at once (incident i06ac50), gets a trial now and then and is
// trusted again once it answers.
func TestSickNode(t *testing.T) {
	for _, quick := range []bool{false, true} {
		r := newRig(smallTerms(), 6)
		sick, before := nodeID(2), 0
		for i := range 1700 {
			if i%8 == 0 {
				r.ask(0, 3*time.Second, 0, 1)
			}
			if i == 400 {
				before = len(r.sends[sick])
			}
			if i < 800 && quick {
				r.endWhere(decision.Rejected, 0, func(n decision.NodeID) bool { return n == sick })
			}
			r.endWhere(decision.OK, 95*ms, func(n decision.NodeID) bool { return n != sick || i > 800 })
			r.step(5 * ms)
			if n := len(r.sends[sick]) - before; i == 800 {
				must(t, n <= 5, "%d sent to a sick node in 2 s", n)
			}
		}
		must(t, r.l.nodes[2].trusted && r.bad == "", "it answers again and is trusted: %s", r.bad)
	}
}

// All holders distrusted: a little still goes out, and again after a while (incident ib6afb6).
func TestAllSuspect(t *testing.T) {
	r := newRig(smallTerms(), 6)
	for _, n := range r.l.nodes {
		n.distrust("test", 1)
		n.until = time.Hour
	}
	for i, want := range []int{2, 2, 2, 2, 2, 2, 0, 2} {
		id, n := r.ask(0, 3*time.Second, 0, 1), 0
		for _, a := range pick(r.step([]time.Duration{5 * ms, 600 * ms}[i/7]), decision.SendAttempt) {
			if r.parts[a.ID].search == id {
				n++
			}
		}
		must(t, n == want, "search %d: %d parts sent", i, n)
	}
}

// A lone reset is no restart (incident ib51c67).
func TestLoneReset(t *testing.T) {
	r := newRig(smallTerms(), 6)
	n := r.l.nodes[0]
	n.read(&note{kind: ended, outcome: decision.ConnectionReset})
	n.read(&note{kind: ended, outcome: decision.OK, took: 50 * ms})
	must(t, !n.warming && n.trusted, "cold after a lone reset")
}

// A data centre that answers nothing is found out as one (incident if2893d); one sick node is not held
// against its zone, and nothing is shunned where all zones fail alike.
func TestZoneShunned(t *testing.T) {
	r := newRig(smallTerms(), 12)
	for _, e := range r.l.desk.board[:6] {
		r.l.desk.board[r.l.byID[e.id]].zone = 1
	}
	r.l.desk.zones = make([]zone, 2)
	sick := func(n decision.NodeID) bool { return n.Addr[3] < 6 }
	before := 0
	for i := range 800 {
		if i%8 == 0 {
			r.ask(0, 1500*ms, 0, 1)
		}
		r.endWhere(decision.OK, 95*ms, func(n decision.NodeID) bool { return !sick(n) })
		r.step(5 * ms)
		if i == 400 {
			before = len(r.sends[nodeID(0)]) + len(r.sends[nodeID(3)])
			must(t, r.l.desk.zones[1].shunned, "zone 1 is shunned")
		}
	}
	after := len(r.sends[nodeID(0)]) + len(r.sends[nodeID(3)]) - before
	must(t, after < 8 && r.bad == "", "%d sent to two shunned nodes in 2 s: %s", after, r.bad)
	r.l.desk.zones[0] = zone{doubt: 0.9, at: r.now}
	r.l.desk.judge()
	must(t, !r.l.desk.zones[1].shunned, "all zones fail alike")
}

// Connections that fail after idling are closed before use, not where fresh ones fail alike (incidents
// i4568cc, i417a75).
func TestIdleConnectionsCut(t *testing.T) {
	for fresh, want := range []int{2, 0} {
		r := newRig(smallTerms(), 2)
		for i := range 10 {
			r.l.desk.stale(&attempt{idle: 900*ms + time.Duration(i)*ms}, 1)
			r.l.desk.stale(&attempt{}, float64(fresh))
		}
		n := 0
		for range 3 {
			r.ask(0, 3*time.Second, 0, 1)
			n += len(pick(r.step(5*ms), decision.CloseIdleConnections))
			r.step(50 * ms)
			r.endWhere(decision.OK, 0, nil)
			r.step(5 * ms)
			r.step(950 * ms)
		}
		must(t, n == 2*want && r.bad == "", "%d closed, %d expected: %s", n, 2*want, r.bad)
	}
}

// What peers say thins a node's traffic, is forgotten, and makes no difference where it makes no sense.
func TestRumours(t *testing.T) {
	terms := smallTerms()
	terms.GossipAllowed = true
	r := newRig(terms, 6)
	sick := func(id decision.NodeID) {
		text := append([]byte{factSick}, id.Addr[:]...)
		r.events = append(r.events, decision.Event{Kind: decision.GossipReceived, Payload: append(text, 0, byte(id.Port), 7)})
	}
	for range 2 {
		sick(nodeID(0))
		sick(nodeID(99))
	}
	r.step(5 * ms)
	must(t, r.l.nodes[0].slow == limpMost && r.l.nodes[0].trusted, "two peers' word: limping, not shut")
	r.step(4 * rumourFade)
	r.step(5 * ms)
	must(t, r.l.nodes[0].slow == 1, "forgotten")
	r.l.nodes[1].distrust("test", 1)
	must(t, len(pick(r.step(5*ms), decision.SendGossip)) == 1 && r.bad == "", "peers are told: %s", r.bad)
}

// A node whose trial is due is one candidate among its like: many brokers must not all draw it
// (kisumu-leases-later big-1).
func TestDueTrialDrawsNoHerd(t *testing.T) {
	tried := 0
	for seed := range uint64(60) {
		terms := smallTerms()
		terms.Seed = (seed + 1) * 0x9e3779b97f4a7c15
		r := newRig(terms, 6)
		r.l.nodes[0].distrust("test", 1)
		r.step(5 * time.Second)
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
		tried += len(r.sends[nodeID(0)])
	}
	must(t, tried > 8 && tried < 35, "%d of 60 brokers tried it at once, a third expected", tried)
}

// A broker that meets a node once in ten seconds heeds its last answer until then, and tries a node that
// failed no sooner (kisumu-leases-later big-2, incident i923646).
func TestNodesMetSeldom(t *testing.T) {
	r := newRig(smallTerms(), 6)
	r.step(time.Second)
	slow, dead := r.l.nodes[0], r.l.nodes[2]
	slow.gap, dead.gap = 10*time.Second, 10*time.Second
	slow.read(&note{kind: ended, outcome: decision.OK, took: 900 * ms})
	dead.read(&note{kind: ended, outcome: decision.ConnectFailed})
	r.now += 9 * time.Second
	r.l.now = r.now
	slow.read(&note{kind: tick, limp: 100 * ms, gap: 10 * time.Second})
	dead.read(&note{kind: tick, limp: 100 * ms, gap: 10 * time.Second})
	must(t, slow.slow >= 5, "slow counts for %v", slow.slow)
	must(t, dead.told.mode == shut, "the dead node is in mode %v", dead.told.mode)
}

// Where answers break on the way from all nodes alike, no node is shut for it and searches are still answered; one
// node that fails alone is shut (the churn day, answers lost).
func TestAnswersLostFromAllNodes(t *testing.T) {
	shuts := 0 // where all nodes fail alike
	for run := range 6 {
		alone := run == 5
		r, rnd, answers, final, shut, said := newRig(smallTerms(), 12), rand.New(rand.NewSource(int64(1+run))), 0, 0, 0, 0
		for i := range 4000 {
			if i%2 == 0 {
				r.ask(0, 3*time.Second, 0, 1)
			}
			for _, k := range r.order {
				if s, ok := r.out[k]; ok && r.now-s.at >= 20*ms && i > 400 &&
					(!alone && rnd.Intn(6) == 0 || alone && s.node == nodeID(2)) {
					r.end(k, decision.ConnectionReset)
				}
			}
			r.endWhere(decision.OK, 20*ms, nil)
			for _, a := range r.step(5 * ms) {
				if a.Kind == decision.LogMessage && strings.Contains(a.Text, "alike") {
					said++
				}
				if i > 800 && a.Kind == decision.AnswerQuery {
					answers++
				}
				if i > 800 && (a.Kind == decision.AnswerQuery || a.Kind == decision.ShedQuery || a.Kind == decision.FailQuery) {
					final++
				}
			}
			for _, n := range r.l.nodes {
				if i > 800 && !n.trusted {
					shut++
				}
			}
			if sends := pick(r.actions, decision.SendAttempt); i > 800 && len(sends) > 0 {
				must(t, sends[0].ExclusiveConnection != alone, "alone %v: a connection of its own: %v", alone, sends[0].ExclusiveConnection)
			}
		}
		must(t, r.bad == "" && answers*100 > final*98, "alone %v: %d of %d answered, %s", alone, answers, final, r.bad)
		must(t, alone && said == 0 || !alone && said == 1, "alone %v: %d changes of mode", alone, said)
		if must(t, !alone || shut > 2000, "shut for %d steps", shut); !alone {
			shuts += shut
		}
	}
	must(t, shuts < 5*2000, "shut for %d steps in five runs", shuts)
}

// A node that owes answers for long is tried over a fresh connection, once until it is heard, before it is shut.
func TestSilentConnectionIsRenewed(t *testing.T) {
	r, mute, closes, shut := newRig(smallTerms(), 6), nodeID(2), 0, 0
	for i := range 1000 {
		r.ask(0, 3*time.Second, 0, 1)
		r.endWhere(decision.OK, 20*ms, func(n decision.NodeID) bool { return n != mute || i < 400 || closes > 0 })
		for _, a := range pick(r.step(5*ms), decision.CloseIdleConnections) {
			must(t, a.Node == mute && i > 400, "a fresh connection to %v at step %d", a.Node, i)
			closes++
		}
		if !r.l.nodes[2].trusted {
			shut++
		}
	}
	must(t, closes == 1 && shut == 0, "%d fresh connections, shut for %d steps", closes, shut)
}

package routing

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// A node that answers nothing, or rejects at once (incident i06ac50), gets a trial now and then and is
// reinstated once it answers.
func TestUnresponsiveOrRejectingNode(t *testing.T) {
	for _, quick := range []bool{false, true} {
		r := newRig(smallSettings(), 6)
		faulty := nodeID(2)
		before := 0
		for i := range 1700 {
			if i%8 == 0 {
				r.query(0, 3*time.Second, 0, 1)
			}
			if i == 400 {
				before = len(r.sends[faulty])
			}
			if i < 800 && quick {
				r.endAttempts(decision.Rejected, 0, func(n decision.NodeID) bool { return n == faulty })
			}
			r.endAttempts(decision.OK, 95*ms, func(n decision.NodeID) bool { return n != faulty || i > 800 })
			r.step(5 * ms)
			if n := len(r.sends[faulty]) - before; i == 800 {
				require(t, n <= 5, "%d sent to a faulty node in 2 s", n)
			}
		}
		require(t, !r.router.nodes[2].ejected && r.violation == "", "it answers again and is in service: %s", r.violation)
	}
}

// All replicas ejected: a little still goes out, and again after a while (incident ib6afb6).
func TestAllReplicasEjected(t *testing.T) {
	r := newRig(smallSettings(), 6)
	for _, n := range r.router.nodes {
		n.eject(logEjectedErrors, 1)
		n.nextTrialAt = time.Hour
	}
	for i, want := range []int{2, 2, 2, 2, 2, 2, 0, 2} {
		id := r.query(0, 3*time.Second, 0, 1)
		n := 0
		for _, a := range actionsOf(r.step([]time.Duration{5 * ms, 600 * ms}[i/7]), decision.SendAttempt) {
			if r.requests[a.ID].query == id {
				n++
			}
		}
		require(t, n == want, "query %d: %d shard requests sent", i, n)
	}
}

// A lone reset is no restart (incident ib51c67).
func TestSingleReset(t *testing.T) {
	r := newRig(smallSettings(), 6)
	n := r.router.nodes[0]
	n.handle(&message{kind: attemptEnded, outcome: decision.ConnectionReset})
	n.handle(&message{kind: attemptEnded, outcome: decision.OK, elapsed: 50 * ms})
	require(t, !n.warmingUp && !n.ejected, "warming up after a lone reset")
}

// A data centre that answers nothing is found out as one (incident if2893d); one faulty node is not held
// against its zone, and nothing is avoided where all zones fail alike.
func TestZoneAvoided(t *testing.T) {
	r := newRig(smallSettings(), 12)
	for _, e := range r.router.dispatcher.endpoints.all[:6] {
		r.router.dispatcher.endpoints.all[r.router.indexes[e.id]].zone = 1
	}
	r.router.dispatcher.zones = make(zoneTable, 2)
	faulty := func(n decision.NodeID) bool { return n.Addr[3] < 6 }
	before := 0
	for i := range 800 {
		if i%8 == 0 {
			r.query(0, 1500*ms, 0, 1)
		}
		r.endAttempts(decision.OK, 95*ms, func(n decision.NodeID) bool { return !faulty(n) })
		r.step(5 * ms)
		if i == 400 {
			before = len(r.sends[nodeID(0)]) + len(r.sends[nodeID(3)])
			require(t, r.router.dispatcher.zones[1].avoided, "zone 1 is avoided")
		}
	}
	after := len(r.sends[nodeID(0)]) + len(r.sends[nodeID(3)]) - before
	require(t, after < 8 && r.violation == "", "%d sent to two avoided nodes in 2 s: %s", after, r.violation)
	r.router.dispatcher.zones[0] = zoneHealth{errorRate: 0.9, updatedAt: r.now}
	r.router.dispatcher.updateAvoidedZones()
	require(t, !r.router.dispatcher.zones[1].avoided, "all zones fail alike")
}

// Connections that fail after idling are closed before use, not where fresh ones fail alike (incidents
// i4568cc, i417a75).
func TestIdleConnectionsCut(t *testing.T) {
	for fresh, want := range []int{2, 0} {
		r := newRig(smallSettings(), 2)
		for i := range 10 {
			r.router.dispatcher.observeConnection(&attempt{idleTime: 900*ms + time.Duration(i)*ms}, 1)
			r.router.dispatcher.observeConnection(&attempt{}, attemptError(fresh))
		}
		n := 0
		for range 3 {
			r.query(0, 3*time.Second, 0, 1)
			n += len(actionsOf(r.step(5*ms), decision.CloseIdleConnections))
			r.step(50 * ms)
			r.endAttempts(decision.OK, 0, nil)
			r.step(5 * ms)
			r.step(950 * ms)
		}
		require(t, n == 2*want && r.violation == "", "%d closed, %d expected: %s", n, 2*want, r.violation)
	}
}

// What other brokers say thins a node's traffic, is forgotten, and makes no difference where it makes no sense.
func TestGossip(t *testing.T) {
	settings := smallSettings()
	settings.GossipAllowed = true
	r := newRig(settings, 6)
	faulty := func(id decision.NodeID) {
		text := append([]byte{gossipEjected}, id.Addr[:]...)
		r.events = append(r.events, decision.Event{Kind: decision.GossipReceived, Payload: append(text, 0, byte(id.Port), 7)})
	}
	for range 2 {
		faulty(nodeID(0))
		faulty(nodeID(99))
	}
	r.step(5 * ms)
	require(t, r.router.nodes[0].costFactor == maxCostFactor && !r.router.nodes[0].ejected, "two brokers' word: degraded, not ejected")
	r.step(4 * gossipTimeConstant)
	r.step(5 * ms)
	require(t, r.router.nodes[0].costFactor == 1, "forgotten")
	r.router.nodes[1].eject(logEjectedErrors, 1)
	require(t, len(actionsOf(r.step(5*ms), decision.SendGossip)) == 1 && r.violation == "", "other brokers are notified: %s", r.violation)
}

// A node whose trial is due is one candidate among its like: many brokers must not all draw it
// (kisumu-leases-later big-1).
func TestDueTrialIsNotPreferred(t *testing.T) {
	tried := 0
	for seed := range uint64(60) {
		settings := smallSettings()
		settings.Seed = (seed + 1) * 0x9e3779b97f4a7c15
		r := newRig(settings, 6)
		r.router.nodes[0].eject(logEjectedErrors, 1)
		r.step(5 * time.Second)
		r.query(0, 3*time.Second, 0)
		r.step(5 * ms)
		tried += len(r.sends[nodeID(0)])
	}
	require(t, tried > 8 && tried < 35, "%d of 60 brokers tried it at once, a third expected", tried)
}

// A broker that meets a node once in ten seconds heeds its last answer until then, and tries a node that
// failed no sooner (kisumu-leases-later big-2, incident i923646).
func TestNodesWithLittleTraffic(t *testing.T) {
	r := newRig(smallSettings(), 6)
	r.step(time.Second)
	slow := r.router.nodes[0]
	dead := r.router.nodes[2]
	slow.sendInterval = 10 * time.Second
	dead.sendInterval = 10 * time.Second
	slow.handle(&message{kind: attemptEnded, outcome: decision.OK, elapsed: 900 * ms})
	dead.handle(&message{kind: attemptEnded, outcome: decision.ConnectFailed})
	r.now += 9 * time.Second
	r.router.now = r.now
	slow.handle(&message{kind: ticked, usualLatency: 100 * ms, sendInterval: 10 * time.Second})
	dead.handle(&message{kind: ticked, usualLatency: 100 * ms, sendInterval: 10 * time.Second})
	require(t, slow.costFactor >= 5, "slow counts for %v", slow.costFactor)
	require(t, dead.reported.mode == modeEjected, "the dead node is in mode %v", dead.reported.mode)
}

// Where answers break on the way from all nodes alike, no node is ejected for it and queries are still answered; one
// node that fails alone is ejected (the churn day, answers lost).
func TestFailuresAlikeAtAllNodes(t *testing.T) {
	ejectedStepsOfAll := 0 // where all nodes fail alike
	for run := range 6 {
		alone := run == 5
		r := newRig(smallSettings(), 12)
		rnd := rand.New(rand.NewSource(int64(1 + run)))
		answers := 0
		final := 0
		ejectedSteps := 0
		logged := 0
		for i := range 4000 {
			if i%2 == 0 {
				r.query(0, 3*time.Second, 0, 1)
			}
			for _, k := range r.order {
				if s, ok := r.inFlight[k]; ok && r.now-s.at >= 20*ms && i > 400 &&
					(!alone && rnd.Intn(6) == 0 || alone && s.node == nodeID(2)) {
					r.endAttempt(k, decision.ConnectionReset)
				}
			}
			r.endAttempts(decision.OK, 20*ms, nil)
			for _, a := range r.step(5 * ms) {
				if a.Kind == decision.LogMessage && strings.Contains(a.Text, "alike") {
					logged++
				}
				if i > 800 && a.Kind == decision.AnswerQuery {
					answers++
				}
				if i > 800 && (a.Kind == decision.AnswerQuery || a.Kind == decision.ShedQuery || a.Kind == decision.FailQuery) {
					final++
				}
			}
			for _, n := range r.router.nodes {
				if i > 800 && n.ejected {
					ejectedSteps++
				}
			}
			if sends := actionsOf(r.actions, decision.SendAttempt); i > 800 && len(sends) > 0 {
				require(t, sends[0].ExclusiveConnection != alone, "alone %v: a connection of its own: %v", alone, sends[0].ExclusiveConnection)
			}
		}
		require(t, r.violation == "" && answers*100 > final*98, "alone %v: %d of %d answered, %s", alone, answers, final, r.violation)
		require(t, alone && logged == 0 || !alone && logged == 1, "alone %v: %d changes of mode", alone, logged)
		require(t, !alone || ejectedSteps > 2000, "ejected for %d steps", ejectedSteps)
		if !alone {
			ejectedStepsOfAll += ejectedSteps
		}
	}
	require(t, ejectedStepsOfAll < 5*2000, "ejected for %d steps in five runs", ejectedStepsOfAll)
}

// A node that gives no answer for long is tried over a fresh connection, once until it answers, before it is ejected.
func TestUnansweredConnectionIsRenewed(t *testing.T) {
	r := newRig(smallSettings(), 6)
	unresponsive := nodeID(2)
	closes := 0
	ejectedSteps := 0
	for i := range 1000 {
		r.query(0, 3*time.Second, 0, 1)
		r.endAttempts(decision.OK, 20*ms, func(n decision.NodeID) bool { return n != unresponsive || i < 400 || closes > 0 })
		for _, a := range actionsOf(r.step(5*ms), decision.CloseIdleConnections) {
			require(t, a.Node == unresponsive && i > 400, "a fresh connection to %v at step %d", a.Node, i)
			closes++
		}
		if r.router.nodes[2].ejected {
			ejectedSteps++
		}
	}
	require(t, closes == 1 && ejectedSteps == 0, "%d fresh connections, ejected for %d steps", closes, ejectedSteps)
}

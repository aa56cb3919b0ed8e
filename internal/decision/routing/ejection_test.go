package routing

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// A node that does not answer, or rejects every attempt at once, gets only occasional trial attempts, and is reinstated once it answers
// again.
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
				require(t, n <= 5, "%d attempts sent to the faulty node in 2 s, want at most 5", n)
			}
		}
		require(t, !r.router.nodes[2].ejected && r.violation == "", "still ejected though it answers again, or a rule is broken: %s", r.violation)
	}
}

// If all replicas are ejected, each still gets a few attempts, and more after a while.
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
		require(t, n == want, "query %d: unexpected number of shard requests sent: %d", i, n)
	}
}

// A single connection reset does not mean that the node has restarted.
func TestSingleReset(t *testing.T) {
	r := newRig(smallSettings(), 6)
	n := r.router.nodes[0]
	n.handle(&message{kind: attemptEnded, outcome: decision.ConnectionReset})
	n.handle(&message{kind: attemptEnded, outcome: decision.OK, elapsed: 50 * ms})
	require(t, !n.warmingUp && !n.ejected, "the node is warming up or ejected after a single reset")
}

// A zone none of whose nodes answers is avoided as a whole; no zone is avoided if all zones fail alike.
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
			require(t, r.router.dispatcher.zones[1].avoided, "zone 1 is not avoided though its nodes do not answer")
		}
	}
	after := len(r.sends[nodeID(0)]) + len(r.sends[nodeID(3)]) - before
	require(t, after < 8 && r.violation == "", "%d attempts sent to an avoided zone in 2 s, want fewer than 8: %s", after, r.violation)
	r.router.dispatcher.zones[0] = zoneHealth{errorRate: 0.9, updatedAt: r.now}
	r.router.dispatcher.updateAvoidedZones()
	require(t, !r.router.dispatcher.zones[1].avoided, "zone 1 is avoided though all zones fail alike")
}

// Connections that fail after being idle are closed before use, but not if fresh connections fail as often.
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
		require(t, n == 2*want && r.violation == "", "idle connections closed %d times, want %d: %s", n, 2*want, r.violation)
	}
}

// If two other brokers report that they have ejected a node, it is degraded for a while. Reports on unknown nodes and trailing bytes are
// ignored.
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
	require(t, r.router.nodes[0].costFactor == maxCostFactor && !r.router.nodes[0].ejected,
		"node 0 is ejected, or not degraded, after two brokers have reported that they ejected it")
	r.step(4 * gossipTimeConstant)
	r.step(5 * ms)
	require(t, r.router.nodes[0].costFactor == 1, "node 0 is still degraded long after the reports")
	r.router.nodes[1].eject(logEjectedErrors, 1)
	require(t, len(actionsOf(r.step(5*ms), decision.SendGossip)) == 1 && r.violation == "",
		"the other brokers are not notified once of an ejection: %s", r.violation)
}

// A node whose trial attempt is due is not preferred to other replicas. Otherwise many brokers would all send it an attempt at once.
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
	require(t, tried > 8 && tried < 35, "%d of 60 brokers sent the ejected node an attempt at once, want about a third", tried)
}

// A broker that sends a node one attempt in ten seconds still uses the node's last latency when the next is due, and does not send a
// failed node a trial attempt any sooner.
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
	require(t, slow.costFactor >= 5, "cost factor of the slow node is %v, want at least 5", slow.costFactor)
	require(t, dead.reported.mode == modeEjected, "the unreachable node is not ejected but in mode %v", dead.reported.mode)
}

// If connections from all nodes alike are reset before the answer, nodes are rarely ejected and queries are still answered. A node that
// is the only one to fail is ejected.
func TestFailuresAlikeAtAllNodes(t *testing.T) {
	ejectedStepsOfAll := 0 // in the runs in which all nodes fail alike
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
				require(t, sends[0].ExclusiveConnection != alone,
					"only one node fails: %v, but attempts get exclusive connections: %v", alone, sends[0].ExclusiveConnection)
			}
		}
		require(t, r.violation == "" && answers*100 > final*98,
			"only one node fails: %v, %d of %d queries answered, %s", alone, answers, final, r.violation)
		require(t, alone && logged == 0 || !alone && logged == 1, "only one node fails: %v, but %d log lines on failures alike", alone, logged)
		require(t, !alone || ejectedSteps > 2000, "the only node that fails is ejected for %d steps, want more than 2000", ejectedSteps)
		if !alone {
			ejectedStepsOfAll += ejectedSteps
		}
	}
	require(t, ejectedStepsOfAll < 5*2000,
		"nodes are ejected for %d steps in five runs though all fail alike, want fewer than 10000", ejectedStepsOfAll)
}

// Before a node that does not answer is ejected, its connections are closed so that it is tried over a fresh one, once until it answers.
func TestUnansweredConnectionIsRenewed(t *testing.T) {
	r := newRig(smallSettings(), 6)
	unresponsive := nodeID(2)
	closes := 0
	ejectedSteps := 0
	for i := range 1000 {
		r.query(0, 3*time.Second, 0, 1)
		r.endAttempts(decision.OK, 20*ms, func(n decision.NodeID) bool { return n != unresponsive || i < 400 || closes > 0 })
		for _, a := range actionsOf(r.step(5*ms), decision.CloseIdleConnections) {
			require(t, a.Node == unresponsive && i > 400, "connections to %v closed at step %d", a.Node, i)
			closes++
		}
		if r.router.nodes[2].ejected {
			ejectedSteps++
		}
	}
	require(t, closes == 1 && ejectedSteps == 0, "connections closed %d times, want once; ejected for %d steps, want 0", closes, ejectedSteps)
}

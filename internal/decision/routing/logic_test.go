package routing

// This file tests that the rules hold in random runs, that cold nodes are spared, and what an ordinary search costs.

import (
	"math/rand"
	"testing"
	"testing/quick"
	"time"

	"flaxfront/internal/decision"
)

// All six rules hold after every step of random runs, whatever the order of events.
func TestRulesHoldInRandomRuns(t *testing.T) {
	run := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		terms := smallTerms()
		terms.Seed = uint64(seed)
		further := decision.QueryType{LatencyObjective: time.Second, Timeout: 2 * time.Second, PriorityWeight: 1, MinCompleteness: 1, FullCompleteness: 1}
		tokened, once, twoSteps := further, further, further
		tokened.Idempotency, tokened.IdempotencyWindow = decision.IdempotencyKeyed, 300*ms
		once.Idempotency = decision.NonIdempotent
		twoSteps.MinCompleteness, twoSteps.FullCompleteness, twoSteps.SecondPhaseRequests = 0.4, 0.7, 2
		terms.QueryTypes = append(terms.QueryTypes, tokened, once, twoSteps)
		terms.HedgingAllowed, terms.CancelAllowed, terms.PollList = rnd.Intn(4) > 0, rnd.Intn(4) > 0, rnd.Intn(2) > 0
		terms.CellsPerShard, terms.MaxBatch = 1+rnd.Intn(2), 1+rnd.Intn(3)
		terms.HealthChecksAllowed, terms.WeightByWork, terms.ConnIdleTimeout = rnd.Intn(2) > 0, rnd.Intn(2) > 0, time.Second
		if rnd.Intn(2) == 0 {
			terms.ExtraAttemptsMin, terms.ExtraAttemptsShare, terms.ExtraAttemptsWindow = 2, 0.05, time.Second
		}
		if rnd.Intn(3) == 0 {
			terms.MaxInFlight = 30
		}
		r := newRig(terms, 6)
		for i := 0; i < 1200 && r.bad == ""; i++ {
			r.random(rnd, 6)
		}
		if r.bad != "" {
			t.Logf("seed %d: %s", seed, r.bad)
		}
		return r.bad == ""
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// Rule 4: brokers that know nothing of each other, three, or forty that send little, stay within the limit of
// a node that has just started, in any window, even where warm nodes are sent all that they can do.
func TestColdNodeIsNotPushedOver(t *testing.T) {
	for seed := range int64(6) {
		brokers := []int{3, 40}[seed%2]
		rnd := rand.New(rand.NewSource(seed))
		terms, rigs, cold := smallTerms(), []*rig(nil), nodeID(0)
		terms.BrokerCount = brokers
		for i := range brokers {
			terms.Seed = uint64(seed) + uint64(i)
			rigs = append(rigs, newRig(terms, 6))
			rigs[i].list(decision.ListUpdateReceived, decision.Endpoint{Node: cold, State: decision.Ready, StartedAt: 0})
		}
		for range 1600 {
			for _, r := range rigs {
				if rnd.Intn(brokers) == 0 {
					r.ask(0, 3*time.Second, rnd.Intn(4), rnd.Intn(4))
				}
				r.endWhere(decision.OK, 80*ms, func(decision.NodeID) bool { return rnd.Intn(8) == 0 })
				r.step(5 * ms)
			}
		}
		sends, warm := []time.Duration(nil), 0
		for _, r := range rigs {
			sends = append(sends, r.sends[cold]...)
			for i := 1; i < 6; i++ {
				warm += len(r.sends[nodeID(i)])
			}
		}
		full := float64(warm) / 5 / 8 // parts a second that a warm node is sent, taken for all it can do
		for from := time.Duration(0); from < 8*time.Second; from += 100 * ms {
			n, have := 0, 0.3+0.7*from.Seconds()/8
			for _, at := range sends {
				if at >= from && at < from+1500*ms {
					n++
				}
			}
			limit := terms.OverloadMultiple * have * full * 1.5
			must(t, float64(n) <= limit+1, "seed %d: %d sent from %v on, limit %.1f", seed, n, from, limit)
		}
		must(t, len(sends) > 20, "it must be brought back, not left out")
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	l, actions, now := newRig(smallTerms(), 240).l, make([]decision.Action, 0, 16), time.Duration(0)
	in := []decision.Event{{Kind: decision.QueryReceived, ID: 1, RemainingTime: time.Second, Weight: 1},
		{Kind: decision.ShardRequestReceived, Weight: 1}}
	back := []decision.Event{{Kind: decision.AttemptEnded, Outcome: decision.OK, Elapsed: 50 * ms}}
	round := func() {
		in[0].ID, in[1].ID, back[0].ID = in[0].ID+2, in[0].ID+3, in[0].ID+3
		now += 5 * ms
		actions = l.Step(now, in, actions[:0])
		for i := range actions {
			if actions[i].Kind == decision.SendAttempt {
				back[0].Node = actions[i].Node
			}
		}
		now += back[0].Elapsed
		actions = l.Step(now, back, actions[:0])
	}
	for range 2000 {
		round()
	}
	must(t, testing.AllocsPerRun(500, round) == 0, "the ordinary path allocates")
}

// A fleet of no node or of one, outcomes that come twice or for what is not known, and an old list.
func TestOddInput(t *testing.T) {
	for nodes := range 2 {
		r := newRig(smallTerms(), nodes)
		for i := range 400 {
			r.ask(i%2, time.Second, 0, 1)
			odd := decision.Event{Kind: decision.AttemptEnded, ID: uint64(i), Attempt: uint16(i % 3), Node: nodeID(i % 9)}
			r.events = append(r.events, odd, odd, decision.Event{Kind: decision.ClientDeparted, ID: 1 << 40})
			if i%50 == 0 && nodes == 1 {
				r.list(decision.ListUpdateReceived, decision.Endpoint{Node: nodeID(0), State: decision.Ready, StartedAt: -time.Duration(i) * ms})
			}
			r.step(5 * ms)
		}
		for range 300 {
			r.step(5 * ms)
		}
		must(t, r.bad == "" && len(r.searches) == 0, "%d nodes: %d left, %s", nodes, len(r.searches), r.bad)
	}
}

// Nodes that are replaced under new ids all day leave nothing behind, though searches run on; a place that is used
// again is in the new node's cell alone.
func TestEndedNodesAreForgotten(t *testing.T) {
	terms, live := smallTerms(), []decision.Endpoint{}
	terms.WarmUpTime = time.Minute
	r := newRig(terms, 6)
	for i := range 6 {
		live = append(live, decision.Endpoint{Node: nodeID(i), Cell: i % 2, State: decision.Ready, StartedAt: decision.StartedLongAgo})
	}
	for i := range 3000 {
		r.ask(i%2, 3*time.Second, 0, 1)
		r.endWhere(decision.OK, 50*ms, nil)
		if i%50 == 0 {
			var changes []decision.Endpoint
			for j := range 1 + i/50%3 { // one, two or three at a time
				e := &live[(i/50+j)%5]
				old := *e
				old.State, e.StartedAt = decision.Removed, r.now
				e.Node = decision.NodeID{Addr: [4]byte{11, byte(i >> 8), byte(i), byte(j)}, Port: 1}
				changes = append(changes, old, *e)
			}
			if i/50%2 == 0 {
				r.list(decision.FullListReceived, live...)
			} else {
				r.list(decision.ListUpdateReceived, changes...)
			}
		}
		r.step(20 * ms)
		for c, at := range r.l.desk.cells {
			for _, n := range at {
				must(t, r.l.nodes[n].cell == c && r.l.desk.board[n].cell == c, "step %d: a node of cell %d in cell %d",
					i, r.l.nodes[n].cell, c)
			}
		}
	}
	most := 6 + 3*(2+int(r.l.longest/time.Second))
	must(t, r.bad == "" && len(r.l.nodes) <= most && len(r.l.byID) <= most && len(r.l.desk.board) <= most,
		"%d nodes, %d ids kept, %s", len(r.l.nodes), len(r.l.byID), r.bad)
}

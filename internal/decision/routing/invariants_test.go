package routing

import (
	"math/rand"
	"testing"
	"testing/quick"
	"time"

	"flaxfront/internal/decision"
)

// The rules that the rig checks hold after every step of random runs, whatever the order of events.
func TestRulesHoldInRandomRuns(t *testing.T) {
	run := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		settings := smallSettings()
		settings.Seed = uint64(seed)
		idempotent := decision.QueryType{LatencyObjective: time.Second, Timeout: 2 * time.Second, PriorityWeight: 1, MinCompleteness: 1,
			FullCompleteness: 1}
		keyed := idempotent
		nonIdempotent := idempotent
		twoPhases := idempotent
		keyed.Idempotency = decision.IdempotencyKeyed
		keyed.IdempotencyWindow = 300 * ms
		nonIdempotent.Idempotency = decision.NonIdempotent
		twoPhases.MinCompleteness = 0.4
		twoPhases.FullCompleteness = 0.7
		twoPhases.SecondPhaseRequests = 2
		settings.QueryTypes = append(settings.QueryTypes, keyed, nonIdempotent, twoPhases)
		settings.HedgingAllowed = rnd.Intn(4) > 0
		settings.CancelAllowed = rnd.Intn(4) > 0
		settings.PollList = rnd.Intn(2) > 0
		settings.CellsPerShard = 1 + rnd.Intn(2)
		settings.MaxBatch = 1 + rnd.Intn(3)
		settings.HealthChecksAllowed = rnd.Intn(2) > 0
		settings.WeightPerShardRequest = rnd.Intn(2) > 0
		settings.ConnIdleTimeout = time.Second
		if rnd.Intn(2) == 0 {
			settings.ExtraAttemptsMin = 2
			settings.ExtraAttemptsShare = 0.05
			settings.ExtraAttemptsWindow = time.Second
		}
		if rnd.Intn(3) == 0 {
			settings.MaxInFlight = 30
		}
		r := newRig(settings, 6)
		for i := 0; i < 1200 && r.violation == ""; i++ {
			r.randomStep(rnd, 6)
		}
		if r.violation != "" {
			t.Logf("seed %d: %s", seed, r.violation)
		}
		return r.violation == ""
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// Rule 4: brokers that know nothing of each other, whether 3 or 40 with little traffic each, together stay within the load that a node
// that has just started can take, in any window, even where warmed-up nodes get all that they can handle.
func TestWarmingUpNodeIsNotOverloaded(t *testing.T) {
	for seed := range int64(6) {
		brokers := []int{3, 40}[seed%2]
		rnd := rand.New(rand.NewSource(seed))
		settings := smallSettings()
		rigs := []*rig(nil)
		warmingUp := nodeID(0)
		settings.BrokerCount = brokers
		for i := range brokers {
			settings.Seed = uint64(seed) + uint64(i)
			rigs = append(rigs, newRig(settings, 6))
			rigs[i].list(decision.ListUpdateReceived, decision.Endpoint{Node: warmingUp, State: decision.Ready, StartedAt: 0})
		}
		for range 1600 {
			for _, r := range rigs {
				if rnd.Intn(brokers) == 0 {
					r.query(0, 3*time.Second, rnd.Intn(4), rnd.Intn(4))
				}
				r.endAttempts(decision.OK, 80*ms, func(decision.NodeID) bool { return rnd.Intn(8) == 0 })
				r.step(5 * ms)
			}
		}
		sends := []time.Duration(nil)
		warm := 0
		for _, r := range rigs {
			sends = append(sends, r.sends[warmingUp]...)
			for i := 1; i < 6; i++ {
				warm += len(r.sends[nodeID(i)])
			}
		}
		warmedUpRate := float64(warm) / 5 / 8 // attempts a second to a warmed-up node, taken as its capacity
		for from := time.Duration(0); from < 8*time.Second; from += 100 * ms {
			n := 0
			capacity := 0.3 + 0.7*from.Seconds()/8
			for _, at := range sends {
				if at >= from && at < from+1500*ms {
					n++
				}
			}
			limit := settings.OverloadMultiple * capacity * warmedUpRate * 1.5
			require(t, float64(n) <= limit+1, "seed %d: %d attempts sent in the window from %v, limit %.1f", seed, n, from, limit)
		}
		require(t, len(sends) > 20, "too few attempts sent to the warming-up node")
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	router := newRig(smallSettings(), 240).router
	actions := make([]decision.Action, 0, 16)
	now := time.Duration(0)
	arrivals := []decision.Event{{Kind: decision.QueryReceived, ID: 1, RemainingTime: time.Second, Weight: 1},
		{Kind: decision.ShardRequestReceived, Weight: 1}}
	answers := []decision.Event{{Kind: decision.AttemptEnded, Outcome: decision.OK, Elapsed: 50 * ms}}
	round := func() {
		arrivals[0].ID, arrivals[1].ID, answers[0].ID = arrivals[0].ID+2, arrivals[0].ID+3, arrivals[0].ID+3
		now += 5 * ms
		actions = router.Step(now, arrivals, actions[:0])
		for i := range actions {
			if actions[i].Kind == decision.SendAttempt {
				answers[0].Node = actions[i].Node
			}
		}
		now += answers[0].Elapsed
		actions = router.Step(now, answers, actions[:0])
	}
	for range 2000 {
		round()
	}
	require(t, testing.AllocsPerRun(500, round) == 0, "a query without faults allocates memory")
}

// With no node or one node, and with duplicate outcomes, unknown ids and outdated lists, every query gets its result.
func TestUnexpectedEvents(t *testing.T) {
	for nodes := range 2 {
		r := newRig(smallSettings(), nodes)
		for i := range 400 {
			r.query(i%2, time.Second, 0, 1)
			unexpected := decision.Event{Kind: decision.AttemptEnded, ID: uint64(i), Attempt: uint16(i % 3), Node: nodeID(i % 9)}
			r.events = append(r.events, unexpected, unexpected, decision.Event{Kind: decision.ClientDeparted, ID: 1 << 40})
			if i%50 == 0 && nodes == 1 {
				r.list(decision.ListUpdateReceived, decision.Endpoint{Node: nodeID(0), State: decision.Ready, StartedAt: -time.Duration(i) * ms})
			}
			r.step(5 * ms)
		}
		for range 300 {
			r.step(5 * ms)
		}
		require(t, r.violation == "" && len(r.queries) == 0, "%d nodes: %d queries without a result; violation: %q", nodes, len(r.queries), r.violation)
	}
}

// Nodes are replaced under new ids all the time. Their state is freed while queries go on, and an index that is reused is in the cell of
// the new node only.
func TestUnlistedNodesAreForgotten(t *testing.T) {
	settings := smallSettings()
	live := []decision.Endpoint{}
	settings.WarmUpTime = time.Minute
	r := newRig(settings, 6)
	for i := range 6 {
		live = append(live, decision.Endpoint{Node: nodeID(i), Cell: i % 2, State: decision.Ready, StartedAt: decision.StartedLongAgo})
	}
	for i := range 3000 {
		r.query(i%2, 3*time.Second, 0, 1)
		r.endAttempts(decision.OK, 50*ms, nil)
		if i%50 == 0 {
			var updates []decision.Endpoint
			for j := range 1 + i/50%3 { // one, two or three at a time
				e := &live[(i/50+j)%5]
				old := *e
				old.State = decision.Removed
				e.StartedAt = r.now
				e.Node = decision.NodeID{Addr: [4]byte{11, byte(i >> 8), byte(i), byte(j)}, Port: 1}
				updates = append(updates, old, *e)
			}
			if i/50%2 == 0 {
				r.list(decision.FullListReceived, live...)
			} else {
				r.list(decision.ListUpdateReceived, updates...)
			}
		}
		r.step(20 * ms)
		for c, at := range r.router.dispatcher.endpoints.byCell {
			for _, n := range at {
				require(t, r.router.nodes[n].cell == c && r.router.dispatcher.endpoints.all[n].cell == c, "step %d: a node of cell %d in cell %d",
					i, r.router.nodes[n].cell, c)
			}
		}
	}
	limit := 6 + 3*(2+int(r.router.longestTimeout/time.Second))
	require(t, r.violation == "" && len(r.router.nodes) <= limit && len(r.router.indexes) <= limit &&
		len(r.router.dispatcher.endpoints.all) <= limit,
		"%d nodes and %d ids are kept; violation: %q", len(r.router.nodes), len(r.router.indexes), r.violation)
}

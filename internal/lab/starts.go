package lab

// This file simulates broker starts without discovery: brokers start together with a cached list of some age, of which some
// entries are wrong, under three policies.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
)

// Policy is how brokers use the list that they start with.
type Policy uint8

const (
	TrustAll Policy = iota
	TrustNone
	TrustByProbability
)

func (p Policy) String() string { return [...]string{"trust all", "trust none", "weigh"}[p] }

// Start describes one start.
type Start struct {
	Seed      uint64
	Policy    Policy
	ListAge   time.Duration
	Wrong     float64 // share of wrong entries
	ColdNodes bool    // every node has just started
	Nodes     int
	Brokers   int
	Rate      float64       // queries per second over all brokers
	For       time.Duration // how long discovery stays down
}

var startSettings = decision.Settings{ClockStep: 5 * time.Millisecond, Cells: 4, CellsPerShard: 1, MaxBatch: 4, OverQuotaWeight: 1,
	QueryTypes: []decision.QueryType{{LatencyObjective: time.Second, Timeout: 2 * time.Second, PriorityWeight: 1, MinCompleteness: 1, FullCompleteness: 1},
		{LatencyObjective: 2 * time.Second, Timeout: 4 * time.Second, PriorityWeight: 1, MinCompleteness: 0.5, FullCompleteness: 1}},
	CancelAllowed: true, HedgingAllowed: true, MaxRetryAfter: time.Second, MaxAttempts: 4, MaxInFlight: 4096,
	InitialCapacity: 0.3, WarmUpTime: 12 * time.Second, OverloadMultiple: 2, OverloadAfter: 2 * time.Second}

// SimulateStart simulates one start in virtual time and returns the simulation as it is when discovery comes back.
func SimulateStart(s Start) *Simulation {
	sim := &Simulation{nodes: map[decision.NodeID]*NodeModel{}, rnd: rand.New(rand.NewPCG(s.Seed, 0x737461727473)), settings: startSettings}
	sim.settings.BrokerCount = s.Brokers
	warm := WarmUpParams{InitialCapacity: 0.3, RampTime: 12 * time.Second, OverloadMultiple: 2, For: 2 * time.Second}
	now := cachedlist.Timestamp(1_700_000_000_000)
	var entries []cachedlist.Entry
	wrongEntries := sim.wrongEntries(s.Nodes, int(s.Wrong*float64(s.Nodes)))
	for i := range s.Nodes {
		name := fmt.Sprintf("node-%08x", i)
		model := NewNodeModel(name, i%sim.settings.Cells, 2, 10*time.Millisecond, warm, s.Seed+uint64(i)*7919)
		if s.ColdNodes {
			model.LastStart = 0
		}
		sim.nodes[nodeID(name)] = model
		entries = append(entries, cachedlist.Entry{Name: name, Address: anyAddr, Cell: model.Cell, ConfirmedAt: now - cachedlist.Timestamp(s.ListAge.Milliseconds())})
	}
	for k, i := range wrongEntries { // terminated, unreachable, drained or reassigned, unresponsive
		sim.nodes[nodeID(entries[i].Name)].Mode = []Mode{Dead, Unreachable, Draining, Hanging}[k%4]
	}
	var brokers []*Broker
	for range s.Brokers {
		var evaluator *cachedlist.Evaluator
		list := decision.Event{Kind: decision.FullListReceived}
		b := sim.newBroker(sim.rnd.Uint64(), nil)
		switch s.Policy {
		case TrustByProbability:
			evaluator = cachedlist.NewEvaluator(cachedlist.Policy{HalfLife: 7 * 24 * time.Hour, MaxAge: 30 * 24 * time.Hour, EjectionThreshold: 0.95,
				TrialInterval: 30 * time.Second}, cachedlist.NewEntryTable(cachedlist.Head{}, append([]cachedlist.Entry(nil), entries...)), now)
			b.evaluator = evaluator
			b.updates(evaluator.Start(nodeID))
		case TrustAll:
			for _, e := range entries {
				list.Endpoints = append(list.Endpoints, decision.Endpoint{Node: nodeID(e.Name), Cell: e.Cell, State: decision.Ready, StartedAt: decision.StartedLongAgo})
			}
			b.deliver(list)
		default:
			b.deliver(list)
		}
		brokers = append(brokers, b)
	}
	for at := time.Duration(0); at < s.For; at += time.Duration(sim.rnd.ExpFloat64() / s.Rate * float64(time.Second)) {
		b, typ, shards := brokers[sim.rnd.IntN(len(brokers))], sim.rnd.IntN(2), sim.rnd.Perm(8)[:1+sim.rnd.IntN(4)]
		sim.at(at, func() { b.submit(typ, shards) })
	}
	sim.run(s.For + 5*time.Second)
	return sim
}

// wrongEntries draws which entries are wrong. Each cell keeps a right one: no policy could serve a shard that no node holds.
func (sim *Simulation) wrongEntries(nodes, n int) []int {
	for {
		drawn, right := sim.rnd.Perm(nodes), map[int]bool{}
		for _, i := range drawn[n:] {
			right[i%sim.settings.Cells] = true
		}
		if len(right) == sim.settings.Cells {
			return drawn[:n]
		}
	}
}

// CompareStarts prints a table of the means over some seeds for each age, share of wrong entries and policy, and returns the
// number of starts with a violation.
func CompareStarts(out io.Writer, seeds, brokers int, rate float64) (broken int) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "age\twrong\tpolicy\tfirst answer\tin target\tshed\tfailed\tshard requests to wrong nodes\tstarts with violations\t")
	for _, age := range []time.Duration{0, time.Hour, 24 * time.Hour, 7 * 24 * time.Hour} {
		for _, wrong := range []float64{0, 0.1, 0.5} {
			for _, p := range []Policy{TrustAll, TrustNone, TrustByProbability} {
				var sum Tally
				rules, answering := 0, 0
				for seed := range seeds {
					w := SimulateStart(Start{Seed: uint64(seed), Policy: p, ListAge: age, Wrong: wrong, ColdNodes: seed%2 == 1, Nodes: 16,
						Brokers: brokers, Rate: rate, For: 10 * time.Second})
					sum.Asked, sum.InTarget = sum.Asked+w.Tally.Asked, sum.InTarget+w.Tally.InTarget
					sum.Shed, sum.Failed = sum.Shed+w.Tally.Shed, sum.Failed+w.Tally.Failed
					sum.ShardRequests, sum.Wrong = sum.ShardRequests+w.Tally.ShardRequests, sum.Wrong+w.Tally.Wrong
					if w.Tally.FirstAnswer > 0 {
						answering++
						sum.FirstAnswer = max(sum.FirstAnswer, w.Tally.FirstAnswer)
					}
					if len(w.Violations) > 0 {
						rules++
					}
				}
				first := "none"
				if answering == seeds {
					first = "at most " + sum.FirstAnswer.Round(time.Millisecond).String()
				}
				broken += rules
				share := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
				fmt.Fprintf(t, "%v\t%.0f%%\t%v\t%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.2f%%\t%d of %d\t\n", age, 100*wrong, p, first,
					share(sum.InTarget, sum.Asked), share(sum.Shed, sum.Asked), share(sum.Failed, sum.Asked),
					share(sum.Wrong, sum.ShardRequests), rules, seeds)
			}
		}
	}
	t.Flush()
	return broken
}

package connlease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/fairshare"
	"flaxfront/internal/decision/statemachine"
)

// simulatedTier is a tier in virtual time: brokers with clocks of their own, links that stall, processes that are suspended, one state
// machine whose leader changes, and nodes that count their own connections. Violations are judged by the nodes' counts alone.
type simulatedTier struct {
	random            *rand.Rand
	now               time.Duration
	queue             events
	seq               int
	machine           *statemachine.State
	index             uint64
	term              uint64
	granter           *Granter
	plans             []*BudgetPlan // by policy version, from 1
	demands           map[statemachine.Slot][]ConnectionCount
	brokers           []*simulatedBroker
	countAt           map[decision.NodeID]int
	openedCount       int           // connections opened
	violation         string        // the first budget found exceeded; empty: none
	leaseFromAnswer   bool          // injected fault: holders count a lease from when the answer arrived
	nodeIdleTimeout   time.Duration // after which nodes close an idle connection
	stallEvery        int           // one in this many answers is delayed by up to 5 s
	withoutFaults     bool          // no random faults: only the test changes demand
	ignoreIdleTimeout bool          // injected fault: the granter does not wait until nodes have closed idle connections
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	leaseDuration = 4 * time.Second
	closeDelay    = 300 * time.Millisecond
	tenants       = 3
)

func (sim *simulatedTier) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, do})
}

func (sim *simulatedTier) upTo(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d)))
}

func (sim *simulatedTier) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.now < until && sim.violation == "" {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
}

func (sim *simulatedTier) apply(e statemachine.Entry) error {
	sim.index++
	return sim.machine.Apply(sim.index, statemachine.Encode(statemachine.ProposalID{Slot: 4000, Incarnation: 1, Sequence: sim.index}, e)).Err
}

// runLeader runs one iteration of the current leader, which applies the entries that it proposes, and schedules the next.
func (sim *simulatedTier) runLeader() {
	policies := sim.machine.Policies()
	inForce, waiting := policies.InForce, policies.Waiting
	if waiting != nil {
		inForce = waiting
	}
	for _, e := range sim.granter.NextEntries(sim.machine, sim.plans[(inForce.Version-1)%2], sim.demands, sim.term, sim.now) {
		sim.apply(e)
	}
	sim.schedule(500*time.Millisecond, sim.runLeader)
}

// elect starts a new term, whose leader knows of no renewal and no demand.
func (sim *simulatedTier) elect() {
	sim.term++
	sim.apply(&statemachine.LeaderElected{Slot: 1, Term: sim.term})
	idleTimeout := sim.nodeIdleTimeout
	if sim.ignoreIdleTimeout {
		idleTimeout = 0
	}
	sim.granter, sim.demands = NewGranter(leaseDuration, idleTimeout, sim.now), map[statemachine.Slot][]ConnectionCount{}
}

func (sim *simulatedTier) start(broker *simulatedBroker) {
	broker.incarnation++
	broker.holder, broker.demand, broker.connections = NewHolder(closeDelay), NewDemandTracker(time.Second), nil
	broker.stopped, broker.reservedVersion = false, 0
	sim.apply(&statemachine.RegisterBroker{
		Slot: broker.slot, Name: fmt.Sprint("b", broker.slot), Incarnation: broker.incarnation, Version: "1", Zone: "z", Protocol: 1,
	})
	sim.apply(&statemachine.ReturnToService{Slot: broker.slot, Incarnation: broker.incarnation})
	ownIncarnation := broker.incarnation
	sim.schedule(sim.upTo(50*time.Millisecond), func() { broker.runLoop(ownIncarnation) })
	sim.schedule(sim.upTo(400*time.Millisecond), func() { broker.renew(ownIncarnation) })
}

// proposePolicy proposes a policy version. Budgets and reserves alternate between two settings from version to version.
func (sim *simulatedTier) proposePolicy(version uint64, maxBrokers int) error {
	e := &statemachine.ConnectionPolicy{Version: version, Text: "t", MaxBrokers: uint32(maxBrokers)}
	plan := sim.plans[(version-1)%2]
	for i, id := range plan.Nodes {
		reserved := (version - 1) % 2
		e.Budgets = append(e.Budgets, statemachine.NodeBudget{
			Node:              id,
			Connections:       uint64(plan.Budgets[i].Units) + uint64(maxBrokers)*reserved,
			ReservedPerBroker: reserved,
		})
	}
	return sim.apply(e)
}

func newPlan(nodes, units int) *BudgetPlan {
	p := &BudgetPlan{Tenants: []string{"a", "b", "c"}}
	for n := range nodes {
		p.Nodes = append(p.Nodes, decision.NodeID{Addr: [4]byte{10, 0, 0, byte(n)}, Port: 1})
		p.Budgets = append(p.Budgets, fairshare.Budget{Units: units, Allowances: []fairshare.Allowance{
			{Guarantee: units / 4, Weight: 3, Max: units},
			{Weight: 2, Max: units / 2, Burst: units / 4},
			{Weight: 1, Max: units / 2, Burst: units / 4},
		}})
	}
	return p
}

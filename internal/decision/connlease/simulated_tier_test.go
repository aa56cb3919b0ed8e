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

func (w *simulatedTier) schedule(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *simulatedTier) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *simulatedTier) run(until time.Duration) {
	for len(w.queue) > 0 && w.now < until && w.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *simulatedTier) apply(e statemachine.Entry) error {
	w.index++
	return w.machine.Apply(w.index, statemachine.Encode(statemachine.ProposalID{Slot: 4000, Incarnation: 1, Sequence: w.index}, e)).Err
}

// runLeader runs one iteration of the current leader, which applies the entries that it proposes, and schedules the next.
func (w *simulatedTier) runLeader() {
	policies := w.machine.Policies()
	inForce, waiting := policies.InForce, policies.Waiting
	if waiting != nil {
		inForce = waiting
	}
	for _, e := range w.granter.NextEntries(w.machine, w.plans[(inForce.Version-1)%2], w.demands, w.term, w.now) {
		w.apply(e)
	}
	w.schedule(500*time.Millisecond, w.runLeader)
}

// elect starts a new term, whose leader knows of no renewal and no demand.
func (w *simulatedTier) elect() {
	w.term++
	w.apply(&statemachine.LeaderElected{Slot: 1, Term: w.term})
	idleTimeout := w.nodeIdleTimeout
	if w.ignoreIdleTimeout {
		idleTimeout = 0
	}
	w.granter, w.demands = NewGranter(leaseDuration, idleTimeout, w.now), map[statemachine.Slot][]ConnectionCount{}
}

func (w *simulatedTier) start(a *simulatedBroker) {
	a.incarnation++
	a.holder, a.demand, a.connections = NewHolder(closeDelay), NewDemandTracker(time.Second), nil
	a.stopped, a.reservedVersion = false, 0
	w.apply(&statemachine.RegisterBroker{
		Slot: a.slot, Name: fmt.Sprint("b", a.slot), Incarnation: a.incarnation, Version: "1", Zone: "z", Protocol: 1,
	})
	w.apply(&statemachine.ReturnToService{Slot: a.slot, Incarnation: a.incarnation})
	ownIncarnation := a.incarnation
	w.schedule(w.upTo(50*time.Millisecond), func() { a.runLoop(ownIncarnation) })
	w.schedule(w.upTo(400*time.Millisecond), func() { a.renew(ownIncarnation) })
}

// proposePolicy proposes a policy version. Budgets and reserves alternate between two settings from version to version.
func (w *simulatedTier) proposePolicy(version uint64, maxBrokers int) error {
	e := &statemachine.ConnectionPolicy{Version: version, Text: "t", MaxBrokers: uint32(maxBrokers)}
	plan := w.plans[(version-1)%2]
	for i, id := range plan.Nodes {
		reserved := (version - 1) % 2
		e.Budgets = append(e.Budgets, statemachine.NodeBudget{
			Node:              id,
			Connections:       uint64(plan.Budgets[i].Units) + uint64(maxBrokers)*reserved,
			ReservedPerBroker: reserved,
		})
	}
	return w.apply(e)
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

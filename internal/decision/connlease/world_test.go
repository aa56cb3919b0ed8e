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

// world is a tier in virtual time: brokers with clocks of their own, links that stall, processes that stop, one agreed ledger
// whose leader changes, and nodes that count their connections themselves. What it tells is the nodes' count alone.
type world struct {
	chance  *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	state   *statemachine.State
	index   uint64
	term    uint64
	granter *Granter
	plans   []*BudgetPlan // by policy version, from 1
	needs   map[statemachine.Slot][]ConnectionCount
	brokers []*agent
	count   map[decision.NodeID]int
	served  int // connections opened
	fault   string
	wrong   bool          // a fault put in on purpose: a lease counted from when the answer came
	linger  time.Duration // of nodes
	stalls  int           // one answer in so many comes late by seconds
	calm    bool          // only the test changes anything
	stuck   bool          // another: the granter does not wait for what a stopped process left open
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
	lease   = 4 * time.Second
	closing = 300 * time.Millisecond
	tenants = 3
)

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.chance.Int64N(int64(d))) }

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.now < until && w.fault == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) apply(e statemachine.Entry) error {
	w.index++
	return w.state.Apply(w.index, statemachine.Encode(statemachine.ProposalID{Slot: 4000, Incarnation: 1, Sequence: w.index}, e)).Err
}

// lead is a turn of whoever leads.
func (w *world) lead() {
	policies := w.state.Policies()
	inForce, waiting := policies.InForce, policies.Waiting
	if waiting != nil {
		inForce = waiting
	}
	for _, e := range w.granter.NextEntries(w.state, w.plans[(inForce.Version-1)%2], w.needs, w.term, w.now) {
		w.apply(e)
	}
	w.after(500*time.Millisecond, w.lead)
}

func (w *world) elect() {
	w.term++
	w.apply(&statemachine.LeaderElected{Slot: 1, Term: w.term})
	after := w.linger
	if w.stuck {
		after = 0
	}
	w.granter, w.needs = NewGranter(lease, after, w.now), map[statemachine.Slot][]ConnectionCount{}
}

func (w *world) start(a *agent) {
	a.incarnation++
	a.holder, a.needs, a.conns = NewHolder(closing), NewDemandTracker(time.Second), nil
	a.stopped, a.floors = false, 0
	w.apply(&statemachine.RegisterBroker{Slot: a.slot, Name: fmt.Sprint("b", a.slot), Incarnation: a.incarnation, Version: "1", Zone: "z", Protocol: 1})
	w.apply(&statemachine.ReturnToService{Slot: a.slot, Incarnation: a.incarnation})
	born := a.incarnation
	w.after(w.upTo(50*time.Millisecond), func() { a.tick(born) })
	w.after(w.upTo(400*time.Millisecond), func() { a.ask(born) })
}

// policy proposes the next version: budgets and floors go up and down in turns.
func (w *world) policy(version uint64, most int) error {
	e := &statemachine.ConnectionPolicy{Version: version, Text: "t", MaxBrokers: uint32(most)}
	plan := w.plans[(version-1)%2]
	for i, id := range plan.Nodes {
		floor := (version - 1) % 2
		e.Budgets = append(e.Budgets, statemachine.NodeBudget{Node: id, Connections: uint64(plan.Budgets[i].Units) + uint64(most)*floor, ReservedPerBroker: floor})
	}
	return w.apply(e)
}

func newPlan(nodes, units int) *BudgetPlan {
	p := &BudgetPlan{Tenants: []string{"a", "b", "c"}}
	for n := range nodes {
		p.Nodes = append(p.Nodes, decision.NodeID{Addr: [4]byte{10, 0, 0, byte(n)}, Port: 1})
		p.Budgets = append(p.Budgets, fairshare.Budget{Units: units, Allowances: []fairshare.Allowance{
			{Guarantee: units / 4, Weight: 3, Max: units}, {Weight: 2, Max: units / 2, Burst: units / 4}, {Weight: 1, Max: units / 2, Burst: units / 4}}})
	}
	return p
}

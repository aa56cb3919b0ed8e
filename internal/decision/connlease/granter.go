package connlease

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/fairshare"
	"flaxfront/internal/decision/statemachine"
)

// mostGrant bounds a grant in bytes, about. Danger: an entry that is too large for the log is never agreed, and its broker would get
// no other. It hurts a broker that needs thousands of pairs of node and tenant: beyond this it has its floors.
const mostGrant = 160 << 10

// BudgetPlan is a policy over the agreed list of nodes.
type BudgetPlan struct {
	Nodes   []decision.NodeID  // in the ledger's order
	Budgets []fairshare.Budget // what is above the floors, by node
	Pool    *fairshare.Budget
	Tenants []string
}

// Granter is the leader's side: it says which grants to propose. The ledger refuses what would not fit, whoever proposes it.
type Granter struct {
	lease  time.Duration
	linger time.Duration
	since  time.Duration // this leader leads, and counts what it has not heard from then
	heard  map[statemachine.BrokerIncarnation]time.Duration

	divider           fairshare.Divider
	need, last, share *fairshare.Table
}

// NewGranter makes the side of a leader. It must be a new one for each leadership, made after its first entry was applied.
// Linger is how long a node keeps a connection on which nothing passes, and the longest part. Danger: a process that was stopped
// closes nothing, its lease is over and its connections are still up; the nodes themselves end them, so long after.
// It hurts a broker's neighbours, who wait that much longer for the units of one that fell silent; one that answers gives up at once.
func NewGranter(lease, linger, since time.Duration) *Granter {
	return &Granter{lease: lease, linger: linger, since: since, heard: map[statemachine.BrokerIncarnation]time.Duration{}}
}

// RecordRenewal takes a renewal that was answered at a time.
func (g *Granter) RecordRenewal(slot statemachine.Slot, incarnation uint64, at time.Duration) {
	g.heard[statemachine.BrokerIncarnation{Slot: slot, Incarnation: incarnation}] = at
}

// Expiry is when what a broker holds has surely run out.
func (g *Granter) Expiry(slot statemachine.Slot, incarnation uint64) time.Duration {
	at, ok := g.heard[statemachine.BrokerIncarnation{Slot: slot, Incarnation: incarnation}]
	if !ok {
		at = g.since
	}
	return GranterExpiry(at, g.lease) + g.linger
}

// NextEntries tells what to propose: what has run out, and grants toward the division of the needs. Needs are by slot, by key; a living
// broker that is not among them keeps what it has.
func (g *Granter) NextEntries(s *statemachine.State, plan *BudgetPlan, needs map[statemachine.Slot][]ConnectionCount, term uint64, now time.Duration) (all []statemachine.Entry) {
	brokers := s.Brokers()
	living := map[statemachine.BrokerIncarnation]bool{}
	for _, b := range brokers {
		living[statemachine.BrokerIncarnation{Slot: b.Slot, Incarnation: b.Incarnation}] = true
		h, _ := s.Lease(b.Slot)
		living[statemachine.BrokerIncarnation{Slot: b.Slot, Incarnation: h.Incarnation}] = true
		if h.Number > 0 && !h.Ended && now > g.Expiry(b.Slot, h.Incarnation) {
			all = append(all, &statemachine.ExpireLease{Slot: b.Slot, Number: h.Number, Term: term})
		}
	}
	for m := range g.heard {
		if !living[m] {
			delete(g.heard, m)
		}
	}
	g.fill(s, plan, brokers, needs)
	g.divider.Divide(fairshare.Input{Nodes: plan.Budgets, Pool: plan.Pool, Demand: g.need, Previous: g.last}, g.share)
	return append(all, g.grants(s, plan, brokers)...)
}

// fill brings the ledger's rows and the reports into tables.
func (g *Granter) fill(s *statemachine.State, plan *BudgetPlan, brokers []statemachine.Broker, needs map[statemachine.Slot][]ConnectionCount) {
	if g.need == nil || g.need.Nodes != len(plan.Nodes) || g.need.Tenants != len(plan.Tenants) || g.need.Brokers != len(brokers) {
		size := func() *fairshare.Table { return fairshare.NewTable(len(plan.Nodes), len(plan.Tenants), len(brokers)) }
		g.need, g.last, g.share = size(), size(), size()
	}
	g.need.Clear()
	g.last.Clear()
	for i, b := range brokers {
		rows, told := needs[b.Slot]
		h, _ := s.Lease(b.Slot)
		for _, r := range h.Granted {
			n, t := plan.node(r.Node), slices.Index(plan.Tenants, r.Tenant)
			if n < 0 || t < 0 {
				continue
			}
			g.last.Set(n, t, i, int(r.Connections))
			if !told {
				g.need.Set(n, t, i, int(r.Connections))
			}
		}
		if b.Status == statemachine.BrokerLost || b.Status == statemachine.BrokerOut {
			continue
		}
		for _, r := range rows {
			if n := plan.node(r.Node); n >= 0 && r.Tenant >= 0 && r.Tenant < len(plan.Tenants) {
				g.need.Set(n, r.Tenant, i, r.Connections)
			}
		}
	}
}

func (p *BudgetPlan) node(id decision.NodeID) int {
	if n, ok := slices.BinarySearchFunc(p.Nodes, id, statemachine.CompareNodes); ok {
		return n
	}
	return -1
}

// grants goes from what each has to what it shall have: down at once, up as far as units are free. A broker that has not
// acknowledged its last grant gets no other: until then it counts with the greatest of both, row by row.
func (g *Granter) grants(s *statemachine.State, plan *BudgetPlan, brokers []statemachine.Broker) (all []statemachine.Entry) {
	free, pool := g.free(s, plan)
	for i, b := range brokers {
		h, _ := s.Lease(b.Slot)
		if b.Status == statemachine.BrokerLost || b.Status == statemachine.BrokerOut || h.Number > 0 && !h.Ended && (!h.Acknowledged || h.Incarnation != b.Incarnation) {
			continue
		}
		var rows []statemachine.LeaseRow
		size, changed := 0, false
		for n, id := range plan.Nodes {
			for t, name := range plan.Tenants {
				has, want := g.last.At(n, t, i), g.share.At(n, t, i)
				if size > mostGrant && has == 0 {
					continue
				}
				if up := min(want-has, free[n], pool); up > 0 {
					want = has + up
					free[n] -= up
					pool -= up
				} else {
					want = min(want, has)
				}
				changed = changed || want != has
				if want > 0 {
					rows = append(rows, statemachine.LeaseRow{Node: id, Tenant: name, Connections: uint64(want)})
					size += 12 + len(name)
				}
			}
		}
		if changed {
			slices.SortFunc(rows, statemachine.CompareLeaseRows)
			all = append(all, &statemachine.GrantLease{Slot: b.Slot, Incarnation: b.Incarnation, Number: h.Number + 1, Rows: rows})
		}
	}
	return all
}

// free is what may be granted at each node on top of what may still be held, and in the pool.
func (g *Granter) free(s *statemachine.State, plan *BudgetPlan) (free []int, pool int) {
	free, pool = make([]int, len(plan.Nodes)), 1<<62
	if plan.Pool != nil {
		pool = plan.Pool.Units
	}
	waiting := s.Policies().Waiting
	for i, id := range plan.Nodes {
		n, _ := s.Node(id)
		units := int64(n.Budget) - int64(n.Reserved)
		if waiting != nil {
			at, ok := slices.BinarySearchFunc(waiting.Budgets, id, func(b statemachine.NodeBudget, id decision.NodeID) int {
				return statemachine.CompareNodes(b.Node, id)
			})
			if next := int64(0); ok {
				next = int64(waiting.Budgets[at].Connections) - int64(uint64(waiting.MaxBrokers)*waiting.Budgets[at].ReservedPerBroker)
				units = min(units, next)
			} else {
				units = 0
			}
		}
		free[i] = max(0, min(int(units)-int(n.Leased), plan.Budgets[i].Units-int(n.Leased)))
		pool -= int(n.Leased)
	}
	return free, max(0, pool)
}

package connlease

import (
	"slices"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

const (
	// maxGrantBytes is the approximate size limit of a grant: an entry that is too large for the log is never committed, and its broker
	// would get no other. A broker with more pairs of node and tenant, thousands of them, uses its reserved connections for the rest.
	maxGrantBytes = 160 << 10
	rowBytes      = 12 // approximate size of a row without the tenant's name

	unlimitedPool = 1 << 62 // connections
)

// available counts the connections that may be granted in addition to those that brokers may still hold.
type available struct {
	byNode []int
	pool   int // over all nodes
}

// take takes up to wanted connections at a node and returns how many were available.
func (a *available) take(node, wanted int) int {
	n := min(wanted, a.byNode[node], a.pool)
	if n <= 0 {
		return 0
	}
	a.byNode[node] -= n
	a.pool -= n
	return n
}

// proposeGrants returns grants that move each broker to its fair share: down at once, up as far as connections are available.
func (g *Granter) proposeGrants(s *statemachine.State, plan *BudgetPlan, brokers []statemachine.Broker) (entries []statemachine.Entry) {
	free := availableFor(s, plan)
	for i := range brokers {
		b := &brokers[i]
		lease, _ := s.Lease(b.Slot)
		if isOutOrLost(b) || isUnacknowledged(&lease, b) {
			continue
		}
		rows, changed := g.grantRows(plan, i, free)
		if changed {
			slices.SortFunc(rows, statemachine.CompareLeaseRows)
			entries = append(entries, &statemachine.GrantLease{
				Slot:        b.Slot,
				Incarnation: b.Incarnation,
				Number:      lease.Number + 1,
				Rows:        rows,
			})
		}
	}
	return entries
}

// isUnacknowledged reports whether a broker's last grant has not ended and the broker's current incarnation has not acknowledged it.
// The broker gets no other grant until then, as each row counts with the greater of its old and new number.
func isUnacknowledged(lease *statemachine.ConnectionLease, b *statemachine.Broker) bool {
	return lease.Number > 0 && !lease.Ended && (!lease.Acknowledged || lease.Incarnation != b.Incarnation)
}

// grantRows returns the rows of a broker's next grant, and whether they differ from what the broker has.
func (g *Granter) grantRows(plan *BudgetPlan, broker int, free *available) (rows []statemachine.LeaseRow, changed bool) {
	size := 0
	for n, id := range plan.Nodes {
		for t, name := range plan.Tenants {
			current := g.granted.At(n, t, broker)
			if size > maxGrantBytes && current == 0 {
				continue
			}
			share := g.division.At(n, t, broker)
			connections := min(share, current)
			if share > current {
				connections = current + free.take(n, share-current)
			}
			changed = changed || connections != current
			if connections > 0 {
				rows = append(rows, statemachine.LeaseRow{Node: id, Tenant: name, Connections: uint64(connections)})
				size += rowBytes + len(name)
			}
		}
	}
	return rows, changed
}

// availableFor returns what the policy in force and the waiting one leave at each node, and what the plan leaves in the pool.
func availableFor(s *statemachine.State, plan *BudgetPlan) *available {
	free := &available{byNode: make([]int, len(plan.Nodes)), pool: unlimitedPool}
	if plan.Pool != nil {
		free.pool = plan.Pool.Units
	}
	waiting := s.Policies().Waiting
	for i, id := range plan.Nodes {
		n, _ := s.Node(id)
		leasable := int64(n.Budget) - int64(n.Reserved)
		if waiting != nil {
			leasable = leasableUnder(waiting, id, leasable)
		}
		leased := int(n.Leased)
		free.byNode[i] = max(0, min(int(leasable)-leased, plan.Budgets[i].Units-leased))
		free.pool -= leased
	}
	free.pool = max(0, free.pool)
	return free
}

// leasableUnder lowers what may be leased at a node to what a waiting policy allows, which is nothing if it does not name the node.
func leasableUnder(waiting *statemachine.ConnectionPolicy, id decision.NodeID, leasable int64) int64 {
	i, found := slices.BinarySearchFunc(waiting.Budgets, id, func(b statemachine.NodeBudget, id decision.NodeID) int {
		return statemachine.CompareNodes(b.Node, id)
	})
	if !found {
		return 0
	}
	b := waiting.Budgets[i]
	next := int64(b.Connections) - int64(uint64(waiting.MaxBrokers)*b.ReservedPerBroker)
	return min(leasable, next)
}

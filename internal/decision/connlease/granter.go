package connlease

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/fairshare"
	"flaxfront/internal/decision/statemachine"
)

// BudgetPlan is a connection policy applied to the agreed list of nodes.
type BudgetPlan struct {
	Nodes   []decision.NodeID  // in the order of statemachine.CompareNodes
	Budgets []fairshare.Budget // connections above the reserved ones, by node
	Pool    *fairshare.Budget  // over all nodes; nil: no such limit
	Tenants []string
}

func (p *BudgetPlan) nodeIndex(id decision.NodeID) (index int, found bool) {
	return slices.BinarySearchFunc(p.Nodes, id, statemachine.CompareNodes)
}

// Granter is the leader's side of connection leases: it decides which grants and expiries to propose.
type Granter struct {
	lease           time.Duration
	nodeIdleTimeout time.Duration
	leadingSince    time.Duration // counts as the renewal time of a broker that has not renewed under this leader
	renewedAt       map[statemachine.BrokerIncarnation]time.Duration

	divider  fairshare.Divider
	demand   *fairshare.Table
	granted  *fairshare.Table
	division *fairshare.Table
}

// NewGranter returns the granter of a leader. Each leadership needs a new one, made after its LeaderElected entry was applied.
// nodeIdleTimeout is how long a node keeps an idle connection open: a process that is suspended closes nothing when its lease ends, and
// the nodes close its connections only that much later. A broker that responds gives connections up at once, without this wait.
func NewGranter(lease, nodeIdleTimeout, leadingSince time.Duration) *Granter {
	return &Granter{
		lease:           lease,
		nodeIdleTimeout: nodeIdleTimeout,
		leadingSince:    leadingSince,
		renewedAt:       map[statemachine.BrokerIncarnation]time.Duration{},
	}
}

// RecordRenewal records when a renewal was answered.
func (g *Granter) RecordRenewal(slot statemachine.Slot, incarnation uint64, at time.Duration) {
	g.renewedAt[statemachine.BrokerIncarnation{Slot: slot, Incarnation: incarnation}] = at
}

// Expiry returns when a broker's lease has certainly ended, and the nodes have closed the connections opened under it.
func (g *Granter) Expiry(slot statemachine.Slot, incarnation uint64) time.Duration {
	at, ok := g.renewedAt[statemachine.BrokerIncarnation{Slot: slot, Incarnation: incarnation}]
	if !ok {
		at = g.leadingSince
	}
	return GranterExpiry(at, g.lease) + g.nodeIdleTimeout
}

// NextEntries returns the log entries to propose: expiries of leases, and grants that bring each broker closer to its fair share.
// demands holds counts ordered by key for each slot; a broker without a demand report keeps what it has.
func (g *Granter) NextEntries(
	s *statemachine.State, plan *BudgetPlan, demands map[statemachine.Slot][]ConnectionCount, term uint64, now time.Duration,
) []statemachine.Entry {
	brokers := s.Brokers()
	entries := g.expiredLeases(s, brokers, term, now)
	g.dropOldRenewals(s, brokers)
	g.fillTables(s, plan, brokers, demands)
	g.divider.Divide(fairshare.Input{Nodes: plan.Budgets, Pool: plan.Pool, Demand: g.demand, Previous: g.granted}, g.division)
	return append(entries, g.proposeGrants(s, plan, brokers)...)
}

func (g *Granter) expiredLeases(
	s *statemachine.State, brokers []statemachine.Broker, term uint64, now time.Duration,
) (entries []statemachine.Entry) {
	for _, b := range brokers {
		lease, _ := s.Lease(b.Slot)
		if lease.Number > 0 && !lease.Ended && now > g.Expiry(b.Slot, lease.Incarnation) {
			entries = append(entries, &statemachine.ExpireLease{Slot: b.Slot, Number: lease.Number, Term: term})
		}
	}
	return entries
}

// dropOldRenewals drops the renewals of incarnations that are not current and hold no lease.
func (g *Granter) dropOldRenewals(s *statemachine.State, brokers []statemachine.Broker) {
	current := map[statemachine.BrokerIncarnation]bool{}
	for _, b := range brokers {
		lease, _ := s.Lease(b.Slot)
		current[statemachine.BrokerIncarnation{Slot: b.Slot, Incarnation: b.Incarnation}] = true
		current[statemachine.BrokerIncarnation{Slot: b.Slot, Incarnation: lease.Incarnation}] = true
	}
	for m := range g.renewedAt {
		if !current[m] {
			delete(g.renewedAt, m)
		}
	}
}

// resizeTables replaces the tables if the number of nodes, tenants or brokers has changed, and clears demand and granted.
func (g *Granter) resizeTables(nodes, tenants, brokers int) {
	if g.demand == nil || g.demand.Nodes != nodes || g.demand.Tenants != tenants || g.demand.Brokers != brokers {
		g.demand = fairshare.NewTable(nodes, tenants, brokers)
		g.granted = fairshare.NewTable(nodes, tenants, brokers)
		g.division = fairshare.NewTable(nodes, tenants, brokers)
	}
	g.demand.Clear()
	g.granted.Clear()
}

// isOutOrLost reports whether a broker is out or lost, and so gets no connections.
func isOutOrLost(b *statemachine.Broker) bool {
	return b.Status == statemachine.BrokerLost || b.Status == statemachine.BrokerOut
}

// fillTables copies the leases and the reported demands into tables. The demand of a broker without a report is what it has.
func (g *Granter) fillTables(
	s *statemachine.State, plan *BudgetPlan, brokers []statemachine.Broker, demands map[statemachine.Slot][]ConnectionCount,
) {
	g.resizeTables(len(plan.Nodes), len(plan.Tenants), len(brokers))
	for i := range brokers {
		b := &brokers[i]
		reported, hasReport := demands[b.Slot]
		lease, _ := s.Lease(b.Slot)
		for _, r := range lease.Granted {
			node, found := plan.nodeIndex(r.Node)
			tenant := slices.Index(plan.Tenants, r.Tenant)
			if !found || tenant < 0 {
				continue
			}
			g.granted.Set(node, tenant, i, int(r.Connections))
			if !hasReport {
				g.demand.Set(node, tenant, i, int(r.Connections))
			}
		}
		if isOutOrLost(b) {
			continue
		}
		for _, c := range reported {
			node, found := plan.nodeIndex(c.Node)
			if found && c.Tenant >= 0 && c.Tenant < len(plan.Tenants) {
				g.demand.Set(node, c.Tenant, i, c.Connections)
			}
		}
	}
}

package connlease

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/fairshare"
	"flaxfront/internal/decision/statemachine"
)

// BudgetPlan is a connection policy over the agreed list of nodes.
type BudgetPlan struct {
	Nodes   []decision.NodeID  // in the order of statemachine.CompareNodes
	Budgets []fairshare.Budget // what is above the reserved connections, by node
	Pool    *fairshare.Budget
	Tenants []string
}

func (p *BudgetPlan) nodeIndex(id decision.NodeID) (index int, found bool) {
	return slices.BinarySearchFunc(p.Nodes, id, statemachine.CompareNodes)
}

// Granter is the leader's side: it says which grants to propose.
type Granter struct {
	lease           time.Duration
	nodeIdleTimeout time.Duration
	leadingSince    time.Duration // a broker without a renewal counts as renewed then
	renewedAt       map[statemachine.BrokerIncarnation]time.Duration

	divider  fairshare.Divider
	demand   *fairshare.Table
	granted  *fairshare.Table
	division *fairshare.Table
}

// NewGranter makes the side of a leader: a new one for each leadership, made after its LeaderElected was applied. Linger is how
// long a node keeps a connection on which nothing passes: a process that was stopped closes nothing when its lease ends, and the
// nodes themselves end its connections so long after. A broker that answers gives up at once and does not wait for it.
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

// Expiry is when what a broker holds has surely ended, at the nodes too.
func (g *Granter) Expiry(slot statemachine.Slot, incarnation uint64) time.Duration {
	at, ok := g.renewedAt[statemachine.BrokerIncarnation{Slot: slot, Incarnation: incarnation}]
	if !ok {
		at = g.leadingSince
	}
	return GranterExpiry(at, g.lease) + g.nodeIdleTimeout
}

// NextEntries is what to propose: leases that have expired, and grants toward the fair share of the demands. Demands are by slot, in
// the order of keys; a broker without one keeps what it has.
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

// dropOldRenewals drops renewals of incarnations that neither run nor hold a lease.
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

// resizeTables makes new tables where the number of nodes, tenants or brokers has changed, and empties them.
func (g *Granter) resizeTables(nodes, tenants, brokers int) {
	if g.demand == nil || g.demand.Nodes != nodes || g.demand.Tenants != tenants || g.demand.Brokers != brokers {
		g.demand = fairshare.NewTable(nodes, tenants, brokers)
		g.granted = fairshare.NewTable(nodes, tenants, brokers)
		g.division = fairshare.NewTable(nodes, tenants, brokers)
	}
	g.demand.Clear()
	g.granted.Clear()
}

// isOutOrLost tells that a broker gets no connections: it is out or lost.
func isOutOrLost(b *statemachine.Broker) bool {
	return b.Status == statemachine.BrokerLost || b.Status == statemachine.BrokerOut
}

// fillTables brings the state's leases and the reported demands into tables. A broker without a report wants what it has.
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

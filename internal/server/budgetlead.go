package server

// This file owns what budgets have the leader do: a policy's text becomes an entry, and needs become grants. It runs in the fleet's
// goroutine and must not wait; what it knows of nodes it reads from a copy that the loop leaves.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/discovery"
)

const grantInterval = 500 * time.Millisecond

// policyNode is what conditions may ask of a node.
func policyNode(n discovery.Node) connpolicy.Node {
	return connpolicy.Node{Name: n.Name, Zone: n.Zone, Cell: strconv.Itoa(n.Endpoint.Cell), Machine: n.Address.Addr().String()}
}

// leaseGranting is the leader's side.
type leaseGranting struct {
	leases       *connectionLeases
	lease        time.Duration
	linger       time.Duration
	term         uint64
	granter      *connlease.Granter
	plan         *connlease.BudgetPlan
	version      uint64
	incarnations map[statemachine.Slot]uint64 // incarnations, when it last looked
}

// openConnLeases has the pool keep to what is agreed, and this broker divide where it leads.
func (s *Server) openConnLeases(streams int) {
	t, o := &s.start.Terms, &s.operator.Fleet
	b := newConnectionLeases(s.loop, streams, t.Tenants)
	s.loop.connLeases = b
	s.loop.pool.Keep(b)
	b.proposeEntry = func(e statemachine.Entry) {
		s.group.Go(func() error {
			ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
			defer cancel()
			if _, err := s.controlPlane.Propose(ctx, e); err != nil {
				slog.Debug("fleet: budgets: not taken", "entry", fmt.Sprintf("%T", e), "error", err)
			}
			return nil
		})
	}
	g := &leaseGranting{leases: b, lease: o.Lease + time.Duration(float64(o.Lease)*o.Drift), linger: t.Idle + t.LongestTimeout() + defaultClosing}
	s.controlPlane.SetPolicyCompiler(func(text string, state *statemachine.State) (*statemachine.ConnectionPolicy, error) {
		return g.compile(text, state, t.Tenants, o.Lease)
	})
	s.controlPlane.AddReportSection(controlplane.ReportSection{Name: "need", Collect: func() []byte {
		if text := b.report.Load(); text != nil {
			return *text
		}
		return nil
	}})
	s.controlPlane.AddLeaderTask(controlplane.LeaderTask{Name: "budgets", Interval: grantInterval, Propose: g.proposeGrants})
}

// compile makes a policy's entry: a budget for every node that is known here.
func (g *leaseGranting) compile(text string, state *statemachine.State, tenants []string, lease time.Duration) (*statemachine.ConnectionPolicy, error) {
	p, err := connpolicy.Compile("policy", text)
	if err != nil {
		return nil, err
	}
	if p.Lease != lease {
		return nil, &connpolicy.ClosingTimeError{Reason: fmt.Sprintf("lease: the policy says %v, fleet.lease of the tier is %v", p.Lease, lease)}
	}
	for _, name := range tenants {
		if !slices.Contains(p.Tenants, name) {
			return nil, &connpolicy.IncompleteError{Reason: fmt.Sprintf("tenant %q of the settings is not named", name)}
		}
	}
	for _, name := range p.Tenants {
		if !slices.Contains(tenants, name) {
			return nil, &connpolicy.IncompleteError{Reason: fmt.Sprintf("tenant %q is none of the settings", name)}
		}
	}
	nodes := g.leases.nodes.Load()
	if nodes == nil || len(*nodes) == 0 {
		return nil, errors.New("no node is known yet")
	}
	if len(*nodes) > p.Nodes {
		return nil, &connpolicy.OvercommittedError{Class: connpolicy.PoolClass, Demand: "nodes that are known", Sum: len(*nodes), Budget: p.Nodes}
	}
	e := &statemachine.ConnectionPolicy{Version: 1, Text: text, MaxBrokers: uint32(p.Brokers)}
	if inForce := state.Policies().InForce; inForce != nil {
		e.Version = inForce.Version + 1
	}
	for id, n := range *nodes {
		k := p.ClassOf(n)
		e.Budgets = append(e.Budgets, statemachine.NodeBudget{Node: id, Connections: uint64(k.Budget), ReservedPerBroker: uint64(k.Floor)})
	}
	slices.SortFunc(e.Budgets, func(a, b statemachine.NodeBudget) int { return statemachine.CompareNodes(a.Node, b.Node) })
	return e, nil
}

// proposeGrants is the leader's duty.
func (g *leaseGranting) proposeGrants(m controlplane.LeaderContext) []statemachine.Entry {
	policies := m.State.Policies()
	inForce, waiting := policies.InForce, policies.Waiting
	if inForce == nil {
		return nil
	}
	if waiting != nil {
		inForce = waiting
	}
	if g.plan == nil || g.version != inForce.Version {
		if !g.buildPlan(inForce) {
			return nil
		}
	}
	if g.granter == nil || g.term != m.Term {
		g.granter, g.term, g.incarnations = connlease.NewGranter(g.lease, g.linger, m.Now), m.Term, map[statemachine.Slot]uint64{}
	}
	needs, other := map[statemachine.Slot][]connlease.ConnectionCount{}, uint64(0)
	if waiting != nil {
		other = g.previousVersion(m.State)
	}
	for _, b := range m.State.Brokers() {
		g.noteSession(b, m.LastLeaseGrant(b), m.Now)
		r, ok := m.Reports[b.Slot]
		if !ok || r.Incarnation != b.Incarnation {
			continue
		}
		if version, rows, err := connlease.DecodeDemand(r.Sections["need"]); err == nil && (version == inForce.Version || version == other && other > 0) {
			needs[b.Slot] = rows
		}
	}
	return g.granter.NextEntries(m.State, g.plan, needs, m.Term, m.Now)
}

// noteSession takes note of when a broker's lease was renewed. Danger: an incarnation that ended since the last look may have had a lease
// after that look, and what it held would be another's too early.
func (g *leaseGranting) noteSession(b statemachine.Broker, session, now time.Duration) {
	if was := g.incarnations[b.Slot]; was > 0 && was != b.Incarnation {
		g.granter.RecordRenewal(b.Slot, was, now)
	}
	g.incarnations[b.Slot] = b.Incarnation
	g.granter.RecordRenewal(b.Slot, b.Incarnation, session)
}

// previousVersion is the version in force, whose tenants reports count while another waits, if both name the same tenants.
func (g *leaseGranting) previousVersion(s *statemachine.State) uint64 {
	inForce := s.Policies().InForce
	if inForce == nil {
		return 0
	}
	if p, err := connpolicy.Compile("agreed", inForce.Text); err == nil && slices.Equal(p.Tenants, g.plan.Tenants) {
		return inForce.Version
	}
	return 0
}

// buildPlan lays a policy over its nodes.
func (g *leaseGranting) buildPlan(e *statemachine.ConnectionPolicy) bool {
	p, err := connpolicy.Compile("agreed", e.Text)
	if err != nil {
		slog.Error("the agreed policy does not compile here: this leader grants nothing", "version", e.Version, "error", err)
		return false
	}
	nodes := map[decision.NodeID]connpolicy.Node{}
	if known := g.leases.nodes.Load(); known != nil {
		nodes = *known
	}
	g.plan, g.version = &connlease.BudgetPlan{Tenants: p.Tenants}, e.Version
	if p.Pool != nil {
		g.plan.Pool = &p.Pool.Shared
	}
	for _, b := range e.Budgets {
		shared := p.ClassOf(nodes[b.Node]).Shared
		shared.Units = min(shared.Units, int(b.Connections)-int(b.ReservedPerBroker)*p.Brokers)
		g.plan.Nodes = append(g.plan.Nodes, b.Node)
		g.plan.Budgets = append(g.plan.Budgets, shared)
	}
	return true
}

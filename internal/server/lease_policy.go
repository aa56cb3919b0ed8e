package server

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

// errNoNodes is returned for a policy that is compiled before an endpoint list was received.
var errNoNodes = errors.New("no node is known yet: no endpoint list has been received")

// compile makes the entry for a policy, with a budget for every node that this broker knows. Errors are those of connpolicy, and errNoNodes.
func (g *leaseGranting) compile(text string, state *statemachine.State, tenants []string, lease time.Duration) (*statemachine.ConnectionPolicy, error) {
	p, err := connpolicy.Compile("policy", text)
	if err != nil {
		return nil, err
	}
	if p.Lease != lease {
		return nil, &connpolicy.ClosingTimeError{Reason: fmt.Sprintf("lease: the policy has %v, but fleet.lease of the tier is %v", p.Lease, lease)}
	}
	if err := checkTenants(p.Tenants, tenants); err != nil {
		return nil, err
	}
	nodes := g.leases.nodes.Load()
	if nodes == nil || len(*nodes) == 0 {
		return nil, errNoNodes
	}
	if len(*nodes) > p.Nodes {
		return nil, &connpolicy.OvercommittedError{Class: connpolicy.PoolClass, Demand: "nodes that are known", Sum: len(*nodes), Budget: p.Nodes}
	}
	e := &statemachine.ConnectionPolicy{Version: 1, Text: text, MaxBrokers: uint32(p.Brokers)}
	if inForce := state.Policies().InForce; inForce != nil {
		e.Version = inForce.Version + 1
	}
	for id, n := range *nodes {
		class := p.ClassOf(n)
		e.Budgets = append(e.Budgets, statemachine.NodeBudget{
			Node:              id,
			Connections:       uint64(class.Budget),
			ReservedPerBroker: uint64(class.Floor),
		})
	}
	slices.SortFunc(e.Budgets, func(a, b statemachine.NodeBudget) int { return statemachine.CompareNodes(a.Node, b.Node) })
	return e, nil
}

// checkTenants returns an error unless a policy names exactly the tenants of the settings.
func checkTenants(policy, settings []string) error {
	for _, name := range settings {
		if !slices.Contains(policy, name) {
			return &connpolicy.IncompleteError{Reason: fmt.Sprintf("tenant %q of the settings is not in the policy", name)}
		}
	}
	for _, name := range policy {
		if !slices.Contains(settings, name) {
			return &connpolicy.IncompleteError{Reason: fmt.Sprintf("tenant %q of the policy is not in the settings", name)}
		}
	}
	return nil
}

// previousVersion returns the version of the policy in force while another waits, if both name the same tenants; else 0. Demand that brokers
// reported under that version counts too.
func (g *leaseGranting) previousVersion(inForce *statemachine.ConnectionPolicy) uint64 {
	if p, err := connpolicy.Compile("agreed", inForce.Text); err == nil && slices.Equal(p.Tenants, g.plan.Tenants) {
		return inForce.Version
	}
	return 0
}

// buildPlan makes the plan by which a policy's budgets are divided; it returns false if the policy does not compile here.
func (g *leaseGranting) buildPlan(e *statemachine.ConnectionPolicy) bool {
	p, err := connpolicy.Compile("agreed", e.Text)
	if err != nil {
		slog.Error("agreed connection policy does not compile; this leader grants nothing", "component", "connection-leases",
			"version", e.Version, "error", err)
		return false
	}
	nodes := map[decision.NodeID]connpolicy.Node{}
	if known := g.leases.nodes.Load(); known != nil {
		nodes = *known
	}
	g.plan = &connlease.BudgetPlan{Tenants: p.Tenants}
	g.version = e.Version
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

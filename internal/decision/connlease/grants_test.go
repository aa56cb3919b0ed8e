package connlease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/fairshare"
	"flaxfront/internal/decision/statemachine"
)

// A grant ends with the row that takes it over the size limit; the broker gets no further rows.
func TestGrantSize(t *testing.T) {
	const (
		tenantCount = 300
		nameBytes   = 600
		wantRows    = 268 // of 612 bytes each: 267 rows are 163,404 bytes, the limit is 163,840
	)
	node := decision.NodeID{Addr: [4]byte{10, 0, 0, 1}, Port: 80}
	plan := &BudgetPlan{Nodes: []decision.NodeID{node}, Budgets: []fairshare.Budget{{Units: 900}}}
	var counts []ConnectionCount
	for i := range tenantCount {
		plan.Tenants = append(plan.Tenants, fmt.Sprintf("%03d", i)+strings.Repeat("x", nameBytes-3))
		plan.Budgets[0].Allowances = append(plan.Budgets[0].Allowances, fairshare.Allowance{Weight: 1, Max: 9})
		counts = append(counts, ConnectionCount{LeaseKey{node, i}, 1})
	}
	s := statemachine.New()
	for i, e := range []statemachine.Entry{
		&statemachine.RegisterBroker{Slot: 1, Name: "b", Incarnation: 1, Version: "1", Zone: "z", Protocol: 1},
		&statemachine.ReturnToService{Slot: 1, Incarnation: 1},
		&statemachine.SetNodeList{Epoch: 1, Nodes: []statemachine.NodeInfo{{Node: node, Zone: "z"}}},
		&statemachine.ConnectionPolicy{Version: 1, MaxBrokers: 2, Budgets: []statemachine.NodeBudget{{Node: node, Connections: 900}}},
	} {
		index := uint64(i) + 1
		if r := s.Apply(index, statemachine.Encode(statemachine.ProposalID{Slot: 1, Incarnation: 1, Sequence: index}, e)); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	g := NewGranter(time.Second, 0, 0)
	entries := g.NextEntries(s, plan, map[statemachine.Slot][]ConnectionCount{1: counts}, 1, 0)
	if len(entries) != 1 {
		t.Fatalf("%d entries proposed, want one grant", len(entries))
	}
	grant, ok := entries[0].(*statemachine.GrantLease)
	if !ok || len(grant.Rows) != wantRows {
		t.Errorf("%T of %d rows, want %d", entries[0], len(grant.Rows), wantRows)
	}
}

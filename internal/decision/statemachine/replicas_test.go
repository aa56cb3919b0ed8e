package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawEntry draws an entry about a few brokers and nodes, so that entries often affect the same ones.
func drawEntry(t *rapid.T, s *State) Entry {
	small := func(label string, most int) uint64 { return uint64(rapid.IntRange(0, most).Draw(t, label)) }
	slot, node := Slot(small("slot", 4)), testNode(int(small("node", 3)))
	broker, _ := s.Broker(slot)
	release, _ := s.Release()
	_, term := s.Leader()
	nodeStatus, _ := s.Node(node)
	lease, _ := s.Lease(slot)
	incarnation := broker.Incarnation + 1 - small("old", 1)
	forNode := small("on node", 2) == 0
	nodePermit, _ := s.NodePermit(node)
	permit := broker.Permit
	if forNode {
		permit = nodePermit.Number
	}
	rows := []LeaseRow{{testNode(0), "x", 1 + small("units", 9)}, {node, "y", 1 + small("more", 9)}}
	all := []Entry{
		&LeaderElected{slot, term + small("term", 1)},
		&RegisterBroker{slot, fmt.Sprint("b", slot), broker.Incarnation + 1, fmt.Sprint(small("version", 2)), fmt.Sprint(slot % 2), 1},
		&ReturnToService{slot, broker.Incarnation, false, node}, &ReturnToService{slot, broker.Incarnation, false, node},
		&ReturnToService{slot, max(nodePermit.Number, nodeStatus.DownIndex), true, node},
		&MarkBrokerLost{slot, incarnation, term}, &RemoveBroker{slot},
		&ReleasePlan{From: "0", To: "1", Slots: slotRange(int(small("targets", 4))),
			Batches: []uint32{1, 4}[small("batches", 2)%2*2:], MaxOut: 1 + uint32(small("most", 2))},
		&ReleasePlan{Nodes: []NodeID{testNode(0), testNode(1), testNode(2)}, MaxOut: 2},
		&IssuePermit{release.Number, term, slot, broker.Incarnation, forNode, node}, &IssuePermit{release.Number, term, slot, broker.Incarnation, forNode, node},
		&UsePermit{permit, slot, broker.Incarnation, forNode, node}, &UsePermit{permit, slot, broker.Incarnation, forNode, node},
		&OpenNextBatch{release.Number, term, release.OpenBatch + 1}, &HaltRelease{release.Number, "x"}, &ResumeRelease{release.Number}, &RollBackRelease{release.Number, "y"},
		&DrainNode{node, "z"}, &AcknowledgeDrain{slot, broker.Incarnation, node, nodeStatus.DrainNumber}, &UndrainNode{node}, &MarkNodeDown{node, "w"},
		&ConnectionPolicy{small("policy", 20), "text", 5, []NodeBudget{
			{testNode(0), 10 + small("budget", 30), small("floor", 2)},
			{testNode(1), 20, 1},
		}},
		&AcknowledgePolicy{slot, broker.Incarnation, small("acked", 20)},
		&GrantLease{slot, broker.Incarnation, lease.Number + 1, rows[small("rows", 1):]}, &AcknowledgeLease{slot, broker.Incarnation, lease.Number},
		&RelinquishLease{slot, broker.Incarnation, lease.Number}, &ExpireLease{slot, lease.Number, term},
		&SetNodeList{s.Epoch() + 1, uint32(small("least", 1)), []NodeInfo{
			{testNode(0), "a", []uint32{1}}, {testNode(1), "b", []uint32{1, 2}}, {testNode(2), "b", []uint32{2}}}},
		&RaiseProtocol{small("gate", 1)},
	}
	return all[small("kind", len(all)-1)]
}

// Whatever is proposed, replicas have equal snapshots, even if one is restored in between, and no node's connections exceed its budget.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		applied := 0
		for i := range uint64(rapid.IntRange(1, 150).Draw(t, "entries")) {
			data := Encode(ProposalID{Slot(i % 3), 1, 1 + i/2}, drawEntry(t, a))
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				var err error
				if b, err = Restore(b.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			x, y := a.Apply(i+1, data), b.Apply(i+1, data)
			if fmt.Sprint(x) != fmt.Sprint(y) || !bytes.Equal(a.Snapshot(), b.Snapshot()) {
				t.Fatalf("entry %d: replicas differ: results %v and %v", i+1, x, y)
			}
			if x.Err == nil {
				applied++
			}
			if problem := auditBudgets(a); problem != "" {
				t.Fatal(problem)
			}
		}
	})
}

// auditBudgets recounts the connections leased at each node from the brokers' leases, and returns the first error in a sum or budget.
func auditBudgets(s *State) string {
	p := s.Policies().InForce
	for _, n := range s.nodes {
		leased := uint64(0)
		for _, b := range s.Brokers() {
			lease, _ := s.Lease(b.Slot)
			maxByTenant := map[string]uint64{}
			for _, r := range append(append([]LeaseRow{}, lease.Granted...), lease.Outstanding...) {
				if r.Node == n.Node {
					maxByTenant[r.Tenant] = max(maxByTenant[r.Tenant], r.Connections)
				}
			}
			for _, connections := range maxByTenant {
				leased += connections
			}
		}
		v, _ := s.Node(n.Node)
		if v.Leased != leased {
			return fmt.Sprintf("node %v: %d connections leased, recounted %d", n.Node, v.Leased, leased)
		}
		if p != nil && v.Leased+v.Reserved > v.Budget {
			return fmt.Sprintf("node %v: %d connections leased and %d reserved exceed the budget %d", n.Node, v.Leased, v.Reserved, v.Budget)
		}
	}
	return ""
}

// The audit finds a wrong sum and connections beyond the budget.
func TestBudgetAudit(t *testing.T) {
	tier := newTestTier(t, 1)
	tier.mustApply(&ConnectionPolicy{1, "", 2, []NodeBudget{{testNode(1), 10, 1}}})
	tier.mustApply(&GrantLease{0, 1, 1, []LeaseRow{{testNode(1), "x", 8}}})
	if problem := auditBudgets(tier.state); problem != "" {
		t.Error(problem)
	}
	tier.state.findNode(testNode(1)).leased = 7
	sum := auditBudgets(tier.state)
	tier.state.findNode(testNode(1)).leased, tier.state.policies[0].Budgets[0].ReservedPerBroker = 8, 2
	if over := auditBudgets(tier.state); sum == "" || over == "" {
		t.Errorf("the audit missed a wrong sum or budget: %q, %q", sum, over)
	}
}

// Arbitrary bytes never cause a panic, and leave a state whose snapshot can be restored; what decodes is encoded as the same entry.
func FuzzApply(f *testing.F) {
	f.Add([]byte{}, []byte{1, 2, 3})
	for k := range kindRaiseProtocol + 1 {
		if e := newEntry(k); e != nil {
			f.Add(Encode(ProposalID{1, 1, 3}, e), Encode(ProposalID{1, 1, 1}, &RegisterBroker{1, "b", 1, "v", "z", 1}))
		}
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		s := New()
		s.Apply(1, Encode(ProposalID{1, 1, 1}, &SetNodeList{1, 0, []NodeInfo{{testNode(0), "z", []uint32{1}}}}))
		s.Apply(2, Encode(ProposalID{1, 1, 2}, &ConnectionPolicy{1, "", 9, []NodeBudget{{testNode(0), 100, 1}}}))
		s.Apply(3, a)
		s.Apply(4, b)
		if r, err := Restore(s.Snapshot()); err != nil || !bytes.Equal(r.Snapshot(), s.Snapshot()) {
			t.Errorf("%v", err)
		}
		if r, err := Restore(a); err == nil {
			r.Apply(r.AppliedIndex()+1, b)
		}
		if id, e, err := Decode(a); err == nil {
			if id2, e2, err := Decode(Encode(id, e)); err != nil || id2 != id || fmt.Sprint(e2) != fmt.Sprint(e) {
				t.Errorf("%v %v: %v %v %v", id, e, id2, e2, err)
			}
		}
	})
}

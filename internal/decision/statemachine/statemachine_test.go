package statemachine

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// testTier applies entries in sequence, each proposed once by slot 0.
type testTier struct {
	t        *testing.T
	state    *State
	sequence uint64
}

func (tier *testTier) apply(e Entry) Result {
	tier.sequence++
	return tier.state.Apply(tier.state.AppliedIndex()+1, Encode(ProposalID{0, 1, tier.sequence}, e))
}

func (tier *testTier) mustApply(e Entry) uint64 {
	tier.t.Helper()
	r := tier.apply(e)
	if r.Err != nil {
		tier.t.Fatalf("%T: %v", e, r.Err)
	}
	return r.Number
}

func (tier *testTier) mustReject(want Reason, e Entry) {
	tier.t.Helper()
	var rejected *RejectedError
	if r := tier.apply(e); !errors.As(r.Err, &rejected) || rejected.Reason != want {
		tier.t.Fatalf("%T: %v, want %s", e, r.Err, reasonTexts[want].meaning)
	} else if rejected.Remedy() == "" {
		tier.t.Fatalf("%v has no remedy", rejected)
	}
}

func (tier *testTier) join(slot Slot, incarnation uint64, version string) {
	tier.t.Helper()
	tier.mustApply(&RegisterBroker{slot, fmt.Sprint("b", slot), incarnation, version, fmt.Sprint("z", slot%2), 1})
	tier.mustApply(&ReturnToService{Slot: slot, Incarnation: incarnation})
}

// newTestTier returns a tier with serving brokers and a leader.
func newTestTier(t *testing.T, brokers int) *testTier {
	tier := &testTier{t: t, state: New()}
	for i := range brokers {
		tier.join(Slot(i), 1, "1")
	}
	tier.mustApply(&LeaderElected{0, 1})
	return tier
}

func slotRange(n int) (all []Slot) {
	for i := range n {
		all = append(all, Slot(i))
	}
	return all
}

func testNode(i int) NodeID { return NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 80} }

// A release of four brokers, at most two out at once and one in a zone, is halted, resumed, rolled back and finished.
func TestRelease(t *testing.T) {
	tier := newTestTier(t, 4)
	r := tier.mustApply(&ReleasePlan{Name: "two", From: "1", To: "2", Slots: slotRange(4), Batches: []uint32{1, 4}, MaxOut: 2, MaxOutPerZone: 1})
	tier.mustReject(ReasonBusy, &ReleasePlan{Slots: slotRange(1), MaxOut: 1})
	tier.mustReject(ReasonWrongState, &IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1}) // not in an open batch
	tier.mustReject(ReasonFenced, &IssuePermit{Release: r, Term: 7, Slot: 0, Incarnation: 1})
	tier.mustReject(ReasonStale, &IssuePermit{Release: r, Term: 1, Slot: 0, Incarnation: 2})
	p := tier.mustApply(&IssuePermit{Release: r, Term: 1, Slot: 0, Incarnation: 1})
	tier.mustReject(ReasonWrongState, &OpenNextBatch{r, 1, 1})
	tier.mustApply(&UsePermit{Permit: p, Slot: 0, Incarnation: 1})
	tier.mustReject(ReasonAlreadyUsed, &UsePermit{Permit: p, Slot: 0, Incarnation: 1})
	tier.mustReject(ReasonStale, &ReturnToService{Slot: 0, Incarnation: 1}) // from before it went out
	tier.join(0, 2, "2")
	tier.mustApply(&OpenNextBatch{r, 1, 1})
	p1 := tier.mustApply(&IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1})
	tier.mustReject(ReasonZoneLimit, &IssuePermit{Release: r, Term: 1, Slot: 3, Incarnation: 1})
	tier.mustApply(&MarkBrokerLost{2, 1, 1}) // killed, so it counts as out
	tier.mustReject(ReasonTierLimit, &IssuePermit{Release: r, Term: 1, Slot: 3, Incarnation: 1})
	tier.mustApply(&HaltRelease{r, "bad"})
	tier.mustReject(ReasonNotFound, &UsePermit{Permit: p1, Slot: 1, Incarnation: 1}) // void
	tier.join(2, 2, "1")
	tier.mustApply(&ResumeRelease{r})
	p1 = tier.mustApply(&IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1})
	tier.mustApply(&UsePermit{Permit: p1, Slot: 1, Incarnation: 1})
	rollback := tier.mustApply(&RollBackRelease{r, "bad after all"})
	tier.join(1, 2, "2") // out when the rollback began; it returned with the version being rolled back, so it goes out again
	for _, slot := range slotRange(2) {
		p := tier.mustApply(&IssuePermit{Release: rollback, Term: 1, Slot: slot, Incarnation: 2})
		tier.mustReject(ReasonAlreadyUsed, &IssuePermit{Release: rollback, Term: 1, Slot: slot, Incarnation: 2})
		tier.mustApply(&UsePermit{Permit: p, Slot: slot, Incarnation: 2})
		tier.join(slot, 3, "1")
	}
	x, _ := tier.state.Release()
	if x.State != ReleaseDone || x.RollbackOf != r || len(x.Steps) != 2 {
		t.Errorf("rollback: %+v", x)
	}
	tier.mustReject(ReasonWrongState, &HaltRelease{rollback, ""})
}

// A node may go out once each live broker has acknowledged its drain, if every shard keeps its minimum of ready replicas.
func TestNodeDrain(t *testing.T) {
	tier := newTestTier(t, 3)
	tier.mustApply(&SetNodeList{1, 1, []NodeInfo{
		{testNode(1), "a", []uint32{1}},
		{testNode(2), "b", []uint32{1, 2}},
		{testNode(3), "a", []uint32{2}},
	}})
	r := tier.mustApply(&ReleasePlan{Nodes: []NodeID{testNode(1), testNode(2), testNode(3)}, MaxOut: 3})
	p := tier.mustApply(&IssuePermit{Release: r, Term: 1, ForNode: true, Node: testNode(1)})
	tier.mustReject(ReasonTooFewReplicas, &IssuePermit{Release: r, Term: 1, ForNode: true, Node: testNode(2)})
	tier.mustReject(ReasonTooFewReplicas, &DrainNode{testNode(2), ""})
	tier.mustApply(&AcknowledgeDrain{0, 1, testNode(1), p})
	tier.mustApply(&AcknowledgeDrain{1, 1, testNode(1), p})
	tier.mustReject(ReasonNotDrained, &UsePermit{Permit: p, ForNode: true, Node: testNode(1)})
	tier.mustApply(&MarkBrokerLost{2, 1, 1})
	if !tier.state.IsDrained(testNode(1)) {
		t.Error("the drain waits for a broker whose session lease has expired")
	}
	tier.mustApply(&RegisterBroker{1, "b1", 2, "1", "z1", 1}) // under its new incarnation it may send until it acknowledges
	tier.mustReject(ReasonNotDrained, &UsePermit{Permit: p, ForNode: true, Node: testNode(1)})
	tier.mustApply(&AcknowledgeDrain{1, 2, testNode(1), p})
	tier.mustApply(&UsePermit{Permit: p, ForNode: true, Node: testNode(1)})
	tier.mustReject(ReasonWrongState, &UndrainNode{testNode(1)})
	tier.mustReject(ReasonStale, &ReturnToService{ForNode: true, Node: testNode(1), Incarnation: p + 1})
	tier.mustApply(&ReturnToService{ForNode: true, Node: testNode(1), Incarnation: p})
	down := tier.mustApply(&MarkNodeDown{testNode(3), "killed"})
	tier.mustReject(ReasonTooFewReplicas, &DrainNode{testNode(2), ""})
	tier.mustApply(&ReturnToService{ForNode: true, Node: testNode(3), Incarnation: down})
	tier.mustApply(&DrainNode{testNode(2), "by hand"})
	tier.mustApply(&UndrainNode{testNode(2)})
}

// A policy with a budget lower than what brokers hold waits. The reserve of a broker that has not acknowledged it still counts.
func TestConnectionPolicy(t *testing.T) {
	tier := newTestTier(t, 2)
	n := testNode(1)
	tier.mustReject(ReasonNotFound, &GrantLease{1, 1, 1, []LeaseRow{{n, "x", 1}}})
	tier.mustReject(ReasonOverBudget, &ConnectionPolicy{1, "", 4, []NodeBudget{{n, 10, 3}}})
	tier.mustApply(&ConnectionPolicy{1, "one", 4, []NodeBudget{{n, 20, 2}}}) // 8 are reserved, 12 can be leased
	tier.mustApply(&GrantLease{0, 1, 1, []LeaseRow{{n, "x", 8}}})
	tier.mustApply(&AcknowledgeLease{0, 1, 1})
	tier.mustApply(&GrantLease{0, 1, 2, []LeaseRow{{n, "x", 3}}})
	tier.mustReject(ReasonOverBudget, &GrantLease{1, 1, 1, []LeaseRow{{n, "x", 5}}}) // broker 0 has not given the 8 back
	tier.mustApply(&GrantLease{1, 1, 2, []LeaseRow{{n, "x", 4}}})
	tier.mustApply(&ConnectionPolicy{2, "two", 4, []NodeBudget{{n, 10, 1}}})
	tier.mustApply(&AcknowledgeLease{0, 1, 2})
	tier.mustReject(ReasonOverBudget, &GrantLease{1, 1, 3, []LeaseRow{{n, "x", 5}}})
	tier.mustApply(&MarkBrokerLost{1, 1, 1}) // a lost broker may still hold its connections
	if x, _ := tier.state.Node(n); x.Leased != 7 || x.Budget != 20 {
		t.Errorf("%+v", x)
	}
	tier.mustReject(ReasonFenced, &ExpireLease{1, 2, 9})
	tier.mustApply(&ExpireLease{1, 2, 1})
	tier.mustReject(ReasonStale, &AcknowledgeLease{1, 1, 2})
	tier.mustApply(&AcknowledgePolicy{0, 1, 2})
	p := tier.state.Policies()
	x, _ := tier.state.Node(n)
	if p.InForce.Text != "two" || p.Waiting != nil || p.Previous.Text != "one" || x.Reserved != 5 { // 3 slots with 1, and 2 for the lost broker
		t.Errorf("%+v %+v %+v", p.InForce, p.Waiting, x)
	}
}

// An entry of a newer version stops the state machine, and so does raising the protocol beyond the supported one.
func TestUnknownEntry(t *testing.T) {
	for _, data := range [][]byte{{1, 99, 0}, {2, 1, 0}, Encode(ProposalID{0, 1, 100}, &RaiseProtocol{2})} {
		tier := newTestTier(t, 1)
		before, index := tier.state.Snapshot(), tier.state.AppliedIndex()
		var u *UnknownEntryError
		if r := tier.state.Apply(index+1, data); !errors.As(r.Err, &u) || tier.state.StoppedBy() == nil {
			t.Errorf("%v: %v", data, r.Err)
		}
		if r := tier.apply(&LeaderElected{0, 9}); !errors.As(r.Err, &u) || !bytes.Equal(before, tier.state.Snapshot()) {
			t.Errorf("applied an entry after one that it can't read: %v", r.Err)
		}
	}
}

// A repeated proposal gets its earlier result. One of an earlier incarnation is rejected.
func TestProposalAppliedOnce(t *testing.T) {
	b := newTestTier(t, 2)
	plan := Encode(ProposalID{1, 1, 5}, &ReleasePlan{Slots: slotRange(2), MaxOut: 1})
	first := b.state.Apply(100, plan)
	again := b.state.Apply(101, plan)
	if first.Err != nil || first.Duplicate || !again.Duplicate || again.Number != first.Number || again.Err != nil {
		t.Errorf("%+v, again %+v", first, again)
	}
	rejected := Encode(ProposalID{1, 1, 6}, &ResumeRelease{7})
	if a, b := b.state.Apply(102, rejected).Err, b.state.Apply(103, rejected).Err; a == nil || b == nil || a.Error() != b.Error() {
		t.Errorf("%v, again %v", a, b)
	}
	b.state.Apply(104, Encode(ProposalID{1, 2, 1}, &ResumeRelease{7}))
	if r := b.state.Apply(105, Encode(ProposalID{1, 1, 7}, &HaltRelease{first.Number, ""})); r.Err == nil {
		t.Error("a proposal of an earlier incarnation was accepted")
	}
	if r := b.state.Apply(105, plan); !errors.As(r.Err, new(*AlreadyAppliedError)) {
		t.Error(r.Err)
	}
}

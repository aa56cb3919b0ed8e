package statemachine

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// testTier applies entries one after another, each proposed once by slot 0.
type testTier struct {
	t        *testing.T
	state    *State
	sequence uint64
}

func (b *testTier) apply(e Entry) Result {
	b.sequence++
	return b.state.Apply(b.state.AppliedIndex()+1, Encode(ProposalID{0, 1, b.sequence}, e))
}

func (b *testTier) mustApply(e Entry) uint64 {
	b.t.Helper()
	r := b.apply(e)
	if r.Err != nil {
		b.t.Fatalf("%T: %v", e, r.Err)
	}
	return r.Number
}

func (b *testTier) mustReject(why Reason, e Entry) {
	b.t.Helper()
	var no *RejectedError
	if r := b.apply(e); !errors.As(r.Err, &no) || no.Reason != why {
		b.t.Fatalf("%T: %v, want %s", e, r.Err, reasonTexts[why].meaning)
	} else if no.Remedy() == "" {
		b.t.Fatalf("%v has no remedy", no)
	}
}

func (b *testTier) join(slot Slot, incarnation uint64, version string) {
	b.t.Helper()
	b.mustApply(&RegisterBroker{slot, fmt.Sprint("b", slot), incarnation, version, fmt.Sprint("z", slot%2), 1})
	b.mustApply(&ReturnToService{Slot: slot, Incarnation: incarnation})
}

// newTestTier is a tier that somebody leads.
func newTestTier(t *testing.T, brokers int) *testTier {
	b := &testTier{t: t, state: New()}
	for i := range brokers {
		b.join(Slot(i), 1, "1")
	}
	b.mustApply(&LeaderElected{0, 1})
	return b
}

func slotRange(n int) (all []Slot) {
	for i := range n {
		all = append(all, Slot(i))
	}
	return all
}

func testNode(i int) NodeID { return NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 80} }

// A release of four brokers, two out at once, one in a zone; halted, taken back, and over.
func TestRelease(t *testing.T) {
	b := newTestTier(t, 4)
	r := b.mustApply(&ReleasePlan{Name: "two", From: "1", To: "2", Slots: slotRange(4), Batches: []uint32{1, 4}, MaxOut: 2, MaxOutPerZone: 1})
	b.mustReject(ReasonBusy, &ReleasePlan{Slots: slotRange(1), MaxOut: 1})
	b.mustReject(ReasonWrongState, &IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1}) // not of the open batch
	b.mustReject(ReasonFenced, &IssuePermit{Release: r, Term: 7, Slot: 0, Incarnation: 1})
	b.mustReject(ReasonStale, &IssuePermit{Release: r, Term: 1, Slot: 0, Incarnation: 2})
	p := b.mustApply(&IssuePermit{Release: r, Term: 1, Slot: 0, Incarnation: 1})
	b.mustReject(ReasonWrongState, &OpenNextBatch{r, 1, 1})
	b.mustApply(&UsePermit{Permit: p, Slot: 0, Incarnation: 1})
	b.mustReject(ReasonAlreadyUsed, &UsePermit{Permit: p, Slot: 0, Incarnation: 1})
	b.mustReject(ReasonStale, &ReturnToService{Slot: 0, Incarnation: 1}) // said before it went
	b.join(0, 2, "2")
	b.mustApply(&OpenNextBatch{r, 1, 1})
	p1 := b.mustApply(&IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1})
	b.mustReject(ReasonZoneLimit, &IssuePermit{Release: r, Term: 1, Slot: 3, Incarnation: 1})
	b.mustApply(&MarkBrokerLost{2, 1, 1}) // killed: it counts as out
	b.mustReject(ReasonTierLimit, &IssuePermit{Release: r, Term: 1, Slot: 3, Incarnation: 1})
	b.mustApply(&HaltRelease{r, "bad"})
	b.mustReject(ReasonNotFound, &UsePermit{Permit: p1, Slot: 1, Incarnation: 1}) // void
	b.join(2, 2, "1")
	b.mustApply(&ResumeRelease{r})
	p1 = b.mustApply(&IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1})
	b.mustApply(&UsePermit{Permit: p1, Slot: 1, Incarnation: 1})
	back := b.mustApply(&RollBackRelease{r, "bad after all"})
	b.join(1, 2, "2") // out when the rollback began: it came back with the version that is taken back, and goes out once more
	for _, slot := range slotRange(2) {
		p := b.mustApply(&IssuePermit{Release: back, Term: 1, Slot: slot, Incarnation: 2})
		b.mustReject(ReasonAlreadyUsed, &IssuePermit{Release: back, Term: 1, Slot: slot, Incarnation: 2})
		b.mustApply(&UsePermit{Permit: p, Slot: slot, Incarnation: 2})
		b.join(slot, 3, "1")
	}
	x, _ := b.state.Release()
	if x.State != ReleaseDone || x.RollbackOf != r || len(x.Steps) != 2 {
		t.Errorf("rollback: %+v", x)
	}
	b.mustReject(ReasonWrongState, &HaltRelease{back, ""})
}

// A node goes when each living broker has acknowledged, and no shard falls below its least.
func TestNodeDrain(t *testing.T) {
	b := newTestTier(t, 3)
	b.mustApply(&SetNodeList{1, 1, []NodeInfo{
		{testNode(1), "a", []uint32{1}},
		{testNode(2), "b", []uint32{1, 2}},
		{testNode(3), "a", []uint32{2}},
	}})
	r := b.mustApply(&ReleasePlan{Nodes: []NodeID{testNode(1), testNode(2), testNode(3)}, MaxOut: 3})
	p := b.mustApply(&IssuePermit{Release: r, Term: 1, ForNode: true, Node: testNode(1)})
	b.mustReject(ReasonTooFewReplicas, &IssuePermit{Release: r, Term: 1, ForNode: true, Node: testNode(2)})
	b.mustReject(ReasonTooFewReplicas, &DrainNode{testNode(2), ""})
	b.mustApply(&AcknowledgeDrain{0, 1, testNode(1), p})
	b.mustApply(&AcknowledgeDrain{1, 1, testNode(1), p})
	b.mustReject(ReasonNotDrained, &UsePermit{Permit: p, ForNode: true, Node: testNode(1)})
	b.mustApply(&MarkBrokerLost{2, 1, 1})
	if !b.state.IsDrained(testNode(1)) {
		t.Error("a broker whose lease ran out is waited for")
	}
	b.mustApply(&RegisterBroker{1, "b1", 2, "1", "z1", 1}) // it sends under its new incarnation until it says otherwise
	b.mustReject(ReasonNotDrained, &UsePermit{Permit: p, ForNode: true, Node: testNode(1)})
	b.mustApply(&AcknowledgeDrain{1, 2, testNode(1), p})
	b.mustApply(&UsePermit{Permit: p, ForNode: true, Node: testNode(1)})
	b.mustReject(ReasonWrongState, &UndrainNode{testNode(1)})
	b.mustReject(ReasonStale, &ReturnToService{ForNode: true, Node: testNode(1), Incarnation: p + 1})
	b.mustApply(&ReturnToService{ForNode: true, Node: testNode(1), Incarnation: p})
	down := b.mustApply(&MarkNodeDown{testNode(3), "killed"})
	b.mustReject(ReasonTooFewReplicas, &DrainNode{testNode(2), ""})
	b.mustApply(&ReturnToService{ForNode: true, Node: testNode(3), Incarnation: down})
	b.mustApply(&DrainNode{testNode(2), "by hand"})
	b.mustApply(&UndrainNode{testNode(2)})
}

// A policy that leaves less than is held waits; the reserve of a broker that did not acknowledge still counts.
func TestConnectionPolicy(t *testing.T) {
	b := newTestTier(t, 2)
	n := testNode(1)
	b.mustReject(ReasonNotFound, &GrantLease{1, 1, 1, []LeaseRow{{n, "x", 1}}})
	b.mustReject(ReasonOverBudget, &ConnectionPolicy{1, "", 4, []NodeBudget{{n, 10, 3}}})
	b.mustApply(&ConnectionPolicy{1, "one", 4, []NodeBudget{{n, 20, 2}}}) // 8 are reserved, 12 may be granted
	b.mustApply(&GrantLease{0, 1, 1, []LeaseRow{{n, "x", 8}}})
	b.mustApply(&AcknowledgeLease{0, 1, 1})
	b.mustApply(&GrantLease{0, 1, 2, []LeaseRow{{n, "x", 3}}})
	b.mustReject(ReasonOverBudget, &GrantLease{1, 1, 1, []LeaseRow{{n, "x", 5}}}) // the 8 are not given back
	b.mustApply(&GrantLease{1, 1, 2, []LeaseRow{{n, "x", 4}}})
	b.mustApply(&ConnectionPolicy{2, "two", 4, []NodeBudget{{n, 10, 1}}})
	b.mustApply(&AcknowledgeLease{0, 1, 2})
	b.mustReject(ReasonOverBudget, &GrantLease{1, 1, 3, []LeaseRow{{n, "x", 5}}})
	b.mustApply(&MarkBrokerLost{1, 1, 1}) // silence frees nothing
	if x, _ := b.state.Node(n); x.Leased != 7 || x.Budget != 20 {
		t.Errorf("%+v", x)
	}
	b.mustReject(ReasonFenced, &ExpireLease{1, 2, 9})
	b.mustApply(&ExpireLease{1, 2, 1})
	b.mustReject(ReasonStale, &AcknowledgeLease{1, 1, 2})
	b.mustApply(&AcknowledgePolicy{0, 1, 2})
	p := b.state.Policies()
	x, _ := b.state.Node(n)
	if p.InForce.Text != "two" || p.Waiting != nil || p.Previous.Text != "one" || x.Reserved != 5 { // 1 x 3 + 2 for the one that is lost
		t.Errorf("%+v %+v %+v", p.InForce, p.Waiting, x)
	}
}

// What a newer version wrote stops the machine; so does a protocol that it can't read. A broker that can't read it keeps it back.
func TestUnknownEntry(t *testing.T) {
	for _, data := range [][]byte{{1, 99, 0}, {2, 1, 0}, Encode(ProposalID{0, 1, 100}, &RaiseProtocol{2})} {
		b := newTestTier(t, 1)
		before, index := b.state.Snapshot(), b.state.AppliedIndex()
		var u *UnknownEntryError
		if r := b.state.Apply(index+1, data); !errors.As(r.Err, &u) || b.state.StoppedBy() == nil {
			t.Errorf("%v: %v", data, r.Err)
		}
		if r := b.apply(&LeaderElected{0, 9}); !errors.As(r.Err, &u) || !bytes.Equal(before, b.state.Snapshot()) {
			t.Errorf("it goes on after what it can't read: %v", r.Err)
		}
	}
}

// A proposal that is sent again has the result it had; one from before a restart, or too old to tell, is refused.
func TestProposalAppliedOnce(t *testing.T) {
	b := newTestTier(t, 2)
	plan := Encode(ProposalID{1, 1, 5}, &ReleasePlan{Slots: slotRange(2), MaxOut: 1})
	first := b.state.Apply(100, plan)
	again := b.state.Apply(101, plan)
	if first.Err != nil || first.Duplicate || !again.Duplicate || again.Number != first.Number || again.Err != nil {
		t.Errorf("%+v, again %+v", first, again)
	}
	no := Encode(ProposalID{1, 1, 6}, &ResumeRelease{7})
	if a, b := b.state.Apply(102, no).Err, b.state.Apply(103, no).Err; a == nil || b == nil || a.Error() != b.Error() {
		t.Errorf("%v, again %v", a, b)
	}
	b.state.Apply(104, Encode(ProposalID{1, 2, 1}, &ResumeRelease{7}))
	if r := b.state.Apply(105, Encode(ProposalID{1, 1, 7}, &HaltRelease{first.Number, ""})); r.Err == nil {
		t.Error("of a process that has ended")
	}
	if r := b.state.Apply(105, plan); !errors.As(r.Err, new(*AlreadyAppliedError)) {
		t.Error(r.Err)
	}
}

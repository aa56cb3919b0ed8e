package statemachine

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// bench applies entries one after another, each proposed once by slot 0.
type bench struct {
	t   *testing.T
	s   *State
	seq uint64
}

func (b *bench) apply(e Entry) Result {
	b.seq++
	return b.s.Apply(b.s.AppliedIndex()+1, Encode(ProposalID{0, 1, b.seq}, e))
}

func (b *bench) must(e Entry) uint64 {
	b.t.Helper()
	r := b.apply(e)
	if r.Err != nil {
		b.t.Fatalf("%T: %v", e, r.Err)
	}
	return r.Number
}

func (b *bench) refused(why Reason, e Entry) {
	b.t.Helper()
	var no *RejectedError
	if r := b.apply(e); !errors.As(r.Err, &no) || no.Reason != why {
		b.t.Fatalf("%T: %v, want %s", e, r.Err, reasons[why][0])
	} else if no.Remedy() == "" {
		b.t.Fatalf("%v has no remedy", no)
	}
}

func (b *bench) join(slot Slot, incarnation uint64, version string) {
	b.t.Helper()
	b.must(&RegisterBroker{slot, fmt.Sprint("b", slot), incarnation, version, fmt.Sprint("z", slot%2), 1})
	b.must(&ReturnToService{Slot: slot, Incarnation: incarnation})
}

// newBench is a tier that somebody leads.
func newBench(t *testing.T, brokers int) *bench {
	b := &bench{t: t, s: New()}
	for i := range brokers {
		b.join(Slot(i), 1, "1")
	}
	b.must(&LeaderElected{0, 1})
	return b
}

func slots(n int) (all []Slot) {
	for i := range n {
		all = append(all, Slot(i))
	}
	return all
}

func at(i int) NodeID { return NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 80} }

// A release of four brokers, two out at once, one in a zone; halted, taken back, and over.
func TestRelease(t *testing.T) {
	b := newBench(t, 4)
	r := b.must(&ReleasePlan{Name: "two", From: "1", To: "2", Slots: slots(4), Batches: []uint32{1, 4}, MaxOut: 2, MaxOutPerZone: 1})
	b.refused(ReasonBusy, &ReleasePlan{Slots: slots(1), MaxOut: 1})
	b.refused(ReasonWrongState, &IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1}) // not of the open batch
	b.refused(ReasonFenced, &IssuePermit{Release: r, Term: 7, Slot: 0, Incarnation: 1})
	b.refused(ReasonStale, &IssuePermit{Release: r, Term: 1, Slot: 0, Incarnation: 2})
	p := b.must(&IssuePermit{Release: r, Term: 1, Slot: 0, Incarnation: 1})
	b.refused(ReasonWrongState, &OpenNextBatch{r, 1, 1})
	b.must(&UsePermit{Permit: p, Slot: 0, Incarnation: 1})
	b.refused(ReasonAlreadyUsed, &UsePermit{Permit: p, Slot: 0, Incarnation: 1})
	b.refused(ReasonStale, &ReturnToService{Slot: 0, Incarnation: 1}) // said before it went
	b.join(0, 2, "2")
	b.must(&OpenNextBatch{r, 1, 1})
	p1 := b.must(&IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1})
	b.refused(ReasonZoneLimit, &IssuePermit{Release: r, Term: 1, Slot: 3, Incarnation: 1})
	b.must(&MarkBrokerLost{2, 1, 1}) // killed: it counts as out
	b.refused(ReasonTierLimit, &IssuePermit{Release: r, Term: 1, Slot: 3, Incarnation: 1})
	b.must(&HaltRelease{r, "bad"})
	b.refused(ReasonNotFound, &UsePermit{Permit: p1, Slot: 1, Incarnation: 1}) // void
	b.join(2, 2, "1")
	b.must(&ResumeRelease{r})
	p1 = b.must(&IssuePermit{Release: r, Term: 1, Slot: 1, Incarnation: 1})
	b.must(&UsePermit{Permit: p1, Slot: 1, Incarnation: 1})
	back := b.must(&RollBackRelease{r, "bad after all"})
	b.join(1, 2, "2") // out when the way back began: it came back with what is taken back, and goes once more
	for _, slot := range slots(2) {
		p := b.must(&IssuePermit{Release: back, Term: 1, Slot: slot, Incarnation: 2})
		b.refused(ReasonAlreadyUsed, &IssuePermit{Release: back, Term: 1, Slot: slot, Incarnation: 2})
		b.must(&UsePermit{Permit: p, Slot: slot, Incarnation: 2})
		b.join(slot, 3, "1")
	}
	x, _ := b.s.Release()
	if x.State != ReleaseDone || x.RollbackOf != r || len(x.Steps) != 2 {
		t.Errorf("way back: %+v", x)
	}
	b.refused(ReasonWrongState, &HaltRelease{back, ""})
}

// A node goes when each living broker has acknowledged, and no shard falls below its least.
func TestDrain(t *testing.T) {
	b := newBench(t, 3)
	b.must(&SetNodeList{1, 1, []NodeInfo{{at(1), "a", []uint32{1}}, {at(2), "b", []uint32{1, 2}}, {at(3), "a", []uint32{2}}}})
	r := b.must(&ReleasePlan{Nodes: []NodeID{at(1), at(2), at(3)}, MaxOut: 3})
	p := b.must(&IssuePermit{Release: r, Term: 1, ForNode: true, Node: at(1)})
	b.refused(ReasonTooFewReplicas, &IssuePermit{Release: r, Term: 1, ForNode: true, Node: at(2)})
	b.refused(ReasonTooFewReplicas, &DrainNode{at(2), ""})
	b.must(&AcknowledgeDrain{0, 1, at(1), p})
	b.must(&AcknowledgeDrain{1, 1, at(1), p})
	b.refused(ReasonNotDrained, &UsePermit{Permit: p, ForNode: true, Node: at(1)})
	b.must(&MarkBrokerLost{2, 1, 1})
	if !b.s.IsDrained(at(1)) {
		t.Error("a broker whose lease ran out is waited for")
	}
	b.must(&RegisterBroker{1, "b1", 2, "1", "z1", 1}) // it sends under its new incarnation until it says otherwise
	b.refused(ReasonNotDrained, &UsePermit{Permit: p, ForNode: true, Node: at(1)})
	b.must(&AcknowledgeDrain{1, 2, at(1), p})
	b.must(&UsePermit{Permit: p, ForNode: true, Node: at(1)})
	b.refused(ReasonWrongState, &UndrainNode{at(1)})
	b.refused(ReasonStale, &ReturnToService{ForNode: true, Node: at(1), Incarnation: p + 1})
	b.must(&ReturnToService{ForNode: true, Node: at(1), Incarnation: p})
	down := b.must(&MarkNodeDown{at(3), "killed"})
	b.refused(ReasonTooFewReplicas, &DrainNode{at(2), ""})
	b.must(&ReturnToService{ForNode: true, Node: at(3), Incarnation: down})
	b.must(&DrainNode{at(2), "by hand"})
	b.must(&UndrainNode{at(2)})
}

// A policy that leaves less than is held waits; floors of a broker that did not acknowledge count on.
func TestPolicy(t *testing.T) {
	b := newBench(t, 2)
	n := at(1)
	b.refused(ReasonNotFound, &GrantLease{1, 1, 1, []LeaseRow{{n, "x", 1}}})
	b.refused(ReasonOverBudget, &ConnectionPolicy{1, "", 4, []NodeBudget{{n, 10, 3}}})
	b.must(&ConnectionPolicy{1, "one", 4, []NodeBudget{{n, 20, 2}}}) // 8 are floors, 12 may be granted
	b.must(&GrantLease{0, 1, 1, []LeaseRow{{n, "x", 8}}})
	b.must(&AcknowledgeLease{0, 1, 1})
	b.must(&GrantLease{0, 1, 2, []LeaseRow{{n, "x", 3}}})
	b.refused(ReasonOverBudget, &GrantLease{1, 1, 1, []LeaseRow{{n, "x", 5}}}) // the 8 are not given back
	b.must(&GrantLease{1, 1, 2, []LeaseRow{{n, "x", 4}}})
	b.must(&ConnectionPolicy{2, "two", 4, []NodeBudget{{n, 10, 1}}})
	b.must(&AcknowledgeLease{0, 1, 2})
	b.refused(ReasonOverBudget, &GrantLease{1, 1, 3, []LeaseRow{{n, "x", 5}}})
	b.must(&MarkBrokerLost{1, 1, 1}) // silence frees nothing
	if x, _ := b.s.Node(n); x.Leased != 7 || x.Budget != 20 {
		t.Errorf("%+v", x)
	}
	b.refused(ReasonFenced, &ExpireLease{1, 2, 9})
	b.must(&ExpireLease{1, 2, 1})
	b.refused(ReasonStale, &AcknowledgeLease{1, 1, 2})
	b.must(&AcknowledgePolicy{0, 1, 2})
	now, waits, before := b.s.Policies()
	if x, _ := b.s.Node(n); now.Text != "two" || waits != nil || before.Text != "one" || x.Reserved != 5 { // 1 x 3 + 2 for the one that is lost
		t.Errorf("%+v %+v %+v", now, waits, x)
	}
}

// What a newer version wrote stops the machine; so does a protocol that it can't read. A broker that can't read it keeps it back.
func TestUnknown(t *testing.T) {
	for _, data := range [][]byte{{1, 99, 0}, {2, 1, 0}, Encode(ProposalID{0, 1, 100}, &RaiseProtocol{2})} {
		b := newBench(t, 1)
		before, index := b.s.Snapshot(), b.s.AppliedIndex()
		var u *UnknownEntryError
		if r := b.s.Apply(index+1, data); !errors.As(r.Err, &u) || b.s.StoppedBy() == nil {
			t.Errorf("%v: %v", data, r.Err)
		}
		if r := b.apply(&LeaderElected{0, 9}); !errors.As(r.Err, &u) || !bytes.Equal(before, b.s.Snapshot()) {
			t.Errorf("it goes on after what it can't read: %v", r.Err)
		}
	}
}

// A proposal that is sent again has the result it had; one from before a restart, or too old to tell, is refused.
func TestOnce(t *testing.T) {
	b := newBench(t, 2)
	plan := Encode(ProposalID{1, 1, 5}, &ReleasePlan{Slots: slots(2), MaxOut: 1})
	first := b.s.Apply(100, plan)
	again := b.s.Apply(101, plan)
	if first.Err != nil || first.Duplicate || !again.Duplicate || again.Number != first.Number || again.Err != nil {
		t.Errorf("%+v, again %+v", first, again)
	}
	no := Encode(ProposalID{1, 1, 6}, &ResumeRelease{7})
	if a, b := b.s.Apply(102, no).Err, b.s.Apply(103, no).Err; a == nil || b == nil || a.Error() != b.Error() {
		t.Errorf("%v, again %v", a, b)
	}
	b.s.Apply(104, Encode(ProposalID{1, 2, 1}, &ResumeRelease{7}))
	if r := b.s.Apply(105, Encode(ProposalID{1, 1, 7}, &HaltRelease{first.Number, ""})); r.Err == nil {
		t.Error("of a process that has ended")
	}
	if r := b.s.Apply(105, plan); !errors.As(r.Err, new(*AlreadyAppliedError)) {
		t.Error(r.Err)
	}
}

package statemachine

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
)

// storedEntries returns one entry of each kind, in the order of kinds, with distinct values in its fields.
func storedEntries() []Entry {
	return []Entry{
		&LeaderElected{3, 300},
		&RegisterBroker{4, "broker-four", 401, "1.4", "zone-a", 1},
		&MarkBrokerLost{5, 501, 502},
		&RemoveBroker{6},
		&ReturnToService{7, 701, true, testNode(7)},
		&ReleasePlan{"plan", "1.0", "2.0", []Slot{1, 200}, []NodeID{testNode(8), testNode(9)}, []uint32{1, 4}, 11, 12, 13, 14000, "gates"},
		&IssuePermit{801, 802, 803, 804, true, testNode(80)},
		&UsePermit{901, 902, 903, true, testNode(90)},
		&OpenNextBatch{1001, 1002, 1003},
		&HaltRelease{1101, "worse"},
		&ResumeRelease{1201},
		&RollBackRelease{1301, "back"},
		&DrainNode{testNode(14), "by hand"},
		&AcknowledgeDrain{1501, 1502, testNode(15), 1503},
		&UndrainNode{testNode(16)},
		&MarkNodeDown{testNode(17), "killed"},
		&ConnectionPolicy{1801, "policy text", 1802, []NodeBudget{{testNode(18), 1803, 1804}, {testNode(19), 1805, 1806}}},
		&AcknowledgePolicy{1901, 1902, 1903},
		&GrantLease{2001, 2002, 2003, []LeaseRow{{testNode(20), "tenant-a", 2004}, {testNode(21), "tenant-b", 2005}}},
		&AcknowledgeLease{2101, 2102, 2103},
		&RelinquishLease{2201, 2202, 2203},
		&ExpireLease{2301, 2302, 2303},
		&SetNodeList{2401, 2402, []NodeInfo{{testNode(24), "zone-b", []uint32{2403, 2404}}, {testNode(25), "zone-c", nil}}},
		&RaiseProtocol{1},
	}
}

// storedMachine returns a state machine in which no part of the state is empty.
func storedMachine(t *testing.T) *State {
	tier := newTestTier(t, 4)
	tier.mustApply(&SetNodeList{1, 1, []NodeInfo{
		{testNode(1), "a", []uint32{1}},
		{testNode(2), "b", []uint32{1, 2}},
		{testNode(3), "a", []uint32{2}},
	}})
	tier.mustApply(&ConnectionPolicy{1, "one", 8, []NodeBudget{{testNode(1), 40, 2}, {testNode(2), 40, 1}}})
	tier.mustApply(&GrantLease{0, 1, 1, []LeaseRow{{testNode(1), "x", 8}, {testNode(2), "y", 3}}})
	tier.mustApply(&AcknowledgeLease{0, 1, 1})
	tier.mustApply(&GrantLease{0, 1, 2, []LeaseRow{{testNode(1), "x", 3}}})
	tier.mustApply(&GrantLease{1, 1, 1, []LeaseRow{{testNode(2), "z", 4}}})
	tier.mustApply(&RelinquishLease{1, 1, 1})
	tier.mustApply(&ConnectionPolicy{2, "two", 8, []NodeBudget{{testNode(1), 30, 1}, {testNode(2), 30, 1}}})
	tier.mustApply(&AcknowledgePolicy{0, 1, 2})
	tier.mustApply(&ConnectionPolicy{3, "three", 8, []NodeBudget{{testNode(1), 9, 1}, {testNode(2), 9, 1}}})
	tier.mustApply(&MarkNodeDown{testNode(3), "killed"})
	tier.mustApply(&ReturnToService{ForNode: true, Node: testNode(3), Incarnation: tier.state.AppliedIndex()})
	tier.mustApply(&DrainNode{testNode(2), "by hand"})
	tier.mustApply(&AcknowledgeDrain{2, 1, testNode(2), tier.state.AppliedIndex()})
	r := tier.mustApply(&ReleasePlan{Name: "two", From: "1", To: "2", Slots: slotRange(4), Batches: []uint32{2, 4},
		MaxOut: 2, MaxOutPerZone: 1, MinReadyReplicas: 1, PauseMS: 5, Gates: "g"})
	p := tier.mustApply(&IssuePermit{Release: r, Term: 1, Slot: 0, Incarnation: 1})
	tier.mustApply(&UsePermit{Permit: p, Slot: 0, Incarnation: 1})
	tier.mustApply(&RollBackRelease{r, "bad"})
	tier.mustApply(&MarkBrokerLost{3, 1, 1})
	tier.mustReject(ReasonWrongState, &ResumeRelease{tier.state.AppliedIndex() - 1})
	return tier.state
}

const (
	storedEntriesFile  = "testdata/entries-1a4b6be.txt"
	storedSnapshotFile = "testdata/snapshot-1a4b6be.bin"
)

var storedID = ProposalID{12, 34, 56}

// Entries of every kind that commit 1a4b6be encoded decode to the same values, and are encoded as the same bytes.
func TestStoredEntries(t *testing.T) {
	f, err := os.Open(storedEntriesFile)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	want := storedEntries()
	lines := bufio.NewScanner(f)
	seen := 0
	for ; lines.Scan(); seen++ {
		data, err := hex.DecodeString(lines.Text())
		if err != nil || seen >= len(want) {
			t.Fatalf("line %d: %v", seen+1, err)
		}
		id, e, err := Decode(data)
		if err != nil || id != storedID || !reflect.DeepEqual(e, want[seen]) {
			t.Errorf("line %d: %v %+v %v, want %+v", seen+1, id, e, err, want[seen])
			continue
		}
		if uint64(e.kind()) != uint64(seen+1) {
			t.Errorf("line %d is of kind %d", seen+1, e.kind())
		}
		if again := Encode(id, e); !bytes.Equal(again, data) {
			t.Errorf("line %d: %x is encoded again as %x", seen+1, data, again)
		}
	}
	if seen != int(kindRaiseProtocol) || seen != len(want) {
		t.Errorf("%d kinds recorded, want %d", seen, kindRaiseProtocol)
	}
}

// A snapshot that commit 1a4b6be wrote is restored to the same state, and is written as the same bytes.
func TestStoredSnapshot(t *testing.T) {
	data, err := os.ReadFile(storedSnapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(s.Snapshot(), data) {
		t.Error("the snapshot of the restored state machine differs from the recorded one")
	}
	same := storedMachine(t)
	if !bytes.Equal(same.Snapshot(), data) {
		t.Error("the snapshot after the same entries differs from the recorded one")
	}
	var got, want strings.Builder
	(&goldenRun{state: s, out: &got}).writeQueries()
	(&goldenRun{state: same, out: &want}).writeQueries()
	if got.String() != want.String() {
		t.Errorf("queries of the restored state machine return\n%swant\n%s", got.String(), want.String())
	}
}

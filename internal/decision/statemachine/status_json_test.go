package statemachine

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// reportedTypes are the types of the state that the tier's status reports to operators as JSON.
type reportedTypes struct {
	Broker  Broker
	Release Release
	Drain   NodeDrain
	Policy  ConnectionPolicy
	Node    Node
}

func reportedValues() reportedTypes {
	plan := ReleasePlan{"plan", "1.0", "2.0", []Slot{1}, []NodeID{testNode(1)}, []uint32{1}, 2, 3, 4, 5, "gates"}
	return reportedTypes{
		Broker:  Broker{1, "broker", 2, "1.0", "zone", 3, BrokerLost, true, 4, 5},
		Release: Release{1, plan, true, ReleaseHalted, "why", []ReleaseStep{{1, testNode(2), StepOut, true, true, "2.0"}}, 2, 3, 4},
		Drain:   NodeDrain{testNode(3), 1, "why", 2, []BrokerIncarnation{{3, 4}}},
		Policy:  ConnectionPolicy{1, "text", 2, []NodeBudget{{testNode(4), 3, 4}}},
		Node:    Node{NodeInfo{testNode(5), "zone", []uint32{1}}, 1, 2, true, 3, 4, 5},
	}
}

const reportedFile = "testdata/status-1a4b6be.json"

// The JSON names of the reported state equal those recorded at commit 1a4b6be, as operators' programs read them.
func TestReportedNames(t *testing.T) {
	want, err := os.ReadFile(reportedFile)
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(reportedValues(), "", "\t")
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v\n%s\nwant\n%s", err, got, want)
	}
	var decoded reportedTypes
	if err := json.Unmarshal(want, &decoded); err != nil || !reflect.DeepEqual(decoded, reportedValues()) {
		t.Errorf("%v: decoded as %+v", err, decoded)
	}
}

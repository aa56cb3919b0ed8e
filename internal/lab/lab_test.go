package lab

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// The same seed gives the same run. In sixty starts with a list of which half the entries are wrong, every second one with cold
// nodes, no rule is broken and few shard requests go to wrong nodes.
func TestStarts(t *testing.T) {
	requests, wrong := 0, 0
	for seed := range uint64(60) {
		s := Start{Seed: seed, Policy: TrustByProbability, ListAge: time.Duration(seed%8) * 24 * time.Hour, Wrong: 0.5, ColdNodes: seed%2 == 1, Nodes: 16,
			Brokers: 3, Rate: 120, For: 3 * time.Second}
		w := SimulateStart(s)
		if len(w.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.Violations[0])
		}
		requests, wrong = requests+w.Tally.ShardRequests, wrong+w.Tally.Wrong
		if again := SimulateStart(s); seed < 5 && again.Tally != w.Tally {
			t.Errorf("seed %d: %+v, then %+v", seed, w.Tally, again.Tally)
		}
	}
	if wrong*8 > requests {
		t.Errorf("%d of %d shard requests went to wrong nodes", wrong, requests)
	}
}

// The audits find violations: a cold node that is offered too much crashes, and an effect that ran twice, or ran although the
// query was shed, is reported.
func TestAuditsFindViolations(t *testing.T) {
	model := NewNodeModel("b", 0, 2, 10*time.Millisecond, WarmUpParams{InitialCapacity: 0.3, RampTime: 10 * time.Second, OverloadMultiple: 2, For: time.Second}, 1)
	model.LastStart = 0
	for i := 0; i < 1000 && !model.Crashed; i++ {
		model.Offer(time.Duration(i) * time.Millisecond)
	}
	if !model.Crashed {
		t.Error("a cold node never crashed, whatever it was offered")
	}
	node := &Node{runs: map[string]int{"s.1": 2, "r.1": 1}}
	a := Audit{Fleet: []*Fleet{{Nodes: []*Node{node}}}}
	a.RecordResult("s", "sign", []int{1}, 200)
	a.RecordResult("r", "sign", []int{1}, 503)
	a.RecordResult("ok", "sign", []int{2}, 503)
	broken, n := a.Check()
	if text := fmt.Sprint(broken); n != 3 || len(broken) != 2 || !strings.Contains(text, "s.1 ran 2 times") || !strings.Contains(text, "r was shed") {
		t.Errorf("%d queries: %v", n, broken)
	}
}

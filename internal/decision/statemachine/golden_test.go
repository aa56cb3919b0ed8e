package statemachine

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

const (
	goldenBlocks    = 150
	goldenSequences = 20 // per block
	goldenEntries   = 160
	goldenSeed      = 37
)

func (g *goldenRun) apply(index uint64, data []byte) {
	r := g.state.Apply(index, data)
	outcome, reason := "", Reason(0)
	var rejected *RejectedError
	switch {
	case errors.As(r.Err, &rejected):
		outcome, reason = "refused", rejected.Reason
	case errors.As(r.Err, new(*UnknownEntryError)):
		outcome = "unknown"
	case errors.As(r.Err, new(*MalformedEntryError)):
		outcome = "malformed"
	case errors.As(r.Err, new(*AlreadyAppliedError)):
		outcome = "replayed"
	}
	fmt.Fprintln(g.out, index, r.Number, r.Duplicate, outcome, uint8(reason), g.state.AppliedIndex(), g.state.StoppedBy() != nil)
}

// writeQueries writes the results of all queries.
func (g *goldenRun) writeQueries() {
	leader, term := g.state.Leader()
	fmt.Fprintln(g.out, leader, term, g.state.TierProtocol(), g.state.Epoch(), g.state.Brokers(), g.state.Nodes(), g.state.Drains())
	r, ok := g.state.Release()
	fmt.Fprintln(g.out, r, ok)
	policies := g.state.Policies()
	for _, p := range []*ConnectionPolicy{policies.InForce, policies.Waiting, policies.Previous} {
		if p != nil {
			fmt.Fprintln(g.out, *p)
		}
	}
	for i := range Slot(6) {
		p, ok := g.state.BrokerPermit(i)
		lease, has := g.state.Lease(i)
		fmt.Fprintln(g.out, p, ok, lease, has, g.state.AcknowledgedPolicy(i))
	}
	for i := range 5 {
		p, ok := g.state.NodePermit(testNode(i))
		fmt.Fprintln(g.out, p, ok, g.state.IsDrained(testNode(i)), g.state.MissingDrainAcks(testNode(i)))
	}
	permit := &IssuePermit{r.Number, term, 1, 1, r.ForNodes, testNode(1)}
	var rejected *RejectedError
	if errors.As(g.state.CheckPermit(permit), &rejected) {
		fmt.Fprintln(g.out, uint8(rejected.Reason))
	}
}

func (g *goldenRun) run(t *testing.T) {
	if !g.oneIn(10) {
		for i := range Slot(5) {
			g.apply(g.state.AppliedIndex()+1, g.proposal(&RegisterBroker{i, fmt.Sprint("b", i), 1, "1", fmt.Sprint("z", i%2), 1}))
			g.apply(g.state.AppliedIndex()+1, g.proposal(&ReturnToService{Slot: i, Incarnation: 1}))
		}
		g.apply(g.state.AppliedIndex()+1, g.proposal(&LeaderElected{0, 1}))
		g.apply(g.state.AppliedIndex()+1, g.proposal(g.nodeList()))
		g.apply(g.state.AppliedIndex()+1, g.proposal(&ConnectionPolicy{1, "one", 6, []NodeBudget{
			{testNode(0), 30, 2},
			{testNode(1), 30, 3},
			{testNode(2), 40, 1},
			{testNode(4), 9, 0},
		}}))
	}
	for range goldenEntries {
		index := g.state.AppliedIndex() + 1
		if g.oneIn(30) {
			index = g.state.AppliedIndex() + g.upTo(3)
		}
		g.apply(index, g.proposal(g.entry()))
		if g.oneIn(16) {
			g.writeQueries()
		}
		if g.oneIn(10) {
			g.out.Write(g.state.Snapshot())
		}
		if g.oneIn(20) {
			s, err := Restore(g.state.Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(s.Snapshot(), g.state.Snapshot()) {
				t.Fatal("the snapshot of a restored state machine differs from the one it was restored from")
			}
			g.state = s
		}
	}
	g.writeQueries()
	g.out.Write(g.state.Snapshot())
}

// goldenDigests returns one digest per block of sequences, over results, queries and snapshots.
func goldenDigests(t *testing.T) string {
	var all strings.Builder
	for block := range goldenBlocks {
		h := fnv.New64a()
		for i := range goldenSequences {
			g := &goldenRun{rng: rand.New(rand.NewPCG(goldenSeed, uint64(block*goldenSequences+i))), state: New(), out: h}
			g.run(t)
		}
		fmt.Fprintf(&all, "%016x\n", h.Sum64())
	}
	return all.String()
}

// Results, queries and snapshots of 3,000 pseudo-random sequences equal those recorded at commit 1a4b6be.
func TestGolden(t *testing.T) {
	want, err := os.ReadFile("testdata/golden-1a4b6be.txt")
	if err != nil {
		t.Fatal(err)
	}
	old, now := strings.Fields(string(want)), strings.Fields(goldenDigests(t))
	if len(old) != len(now) {
		t.Fatalf("%d blocks recorded, %d run", len(old), len(now))
	}
	for i := range old {
		if old[i] != now[i] {
			t.Errorf("block %d: digest %s recorded, %s now", i, old[i], now[i])
		}
	}
}

package release

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

func seeds(fewest int) int {
	if n, err := strconv.Atoi(os.Getenv("RELEASE_SEEDS")); err == nil {
		return n
	}
	return fewest
}

// A version that fails five queries of a hundred more is halted while under a tenth of 300 brokers have it, within five seconds
// of the evidence, and in half the seeds of the first search that counts (where all fails at the time it takes more to be sure).
// All that have it are brought back; never are more out than may be, nobody goes twice.
func TestBadVersion(t *testing.T) {
	var haltTimes []time.Duration
	maxAffected, maxAfterEvidence := 0, time.Duration(0)
	for seed := range uint64(seeds(10)) {
		w := newSimulatedTier(t, seed, 300, 100, 0.05)
		number := w.plan(10)
		r := w.run(10 * time.Minute)
		if r.State != statemachine.ReleaseHalted || !strings.HasPrefix(r.Reason, "gate: ") || w.affected(r) >= 30 {
			t.Fatalf("seed %d: %v %s, %d touched", seed, r.State, r.Reason, w.affected(r))
		}
		maxAffected = max(maxAffected, w.affected(r))
		maxAfterEvidence = max(maxAfterEvidence, w.haltedAt-w.evidenceAt)
		haltTimes = append(haltTimes, w.haltedAt-w.firstBadAt)
		for range 20 { // whoever went before comes back
			w.step()
		}
		w.apply(&statemachine.RollBackRelease{Release: number, Reason: r.Reason})
		if r = w.run(10 * time.Minute); r.State != statemachine.ReleaseDone || r.RollbackOf != number {
			t.Errorf("seed %d: rollback %v %s", seed, r.State, r.Reason)
		}
		for _, b := range w.brokers {
			if b.version != "1" {
				t.Errorf("seed %d: broker %d has version %s", seed, b.slot, b.version)
			}
		}
		w.checkLimits(10)
	}
	slices.Sort(haltTimes)
	median, worst := haltTimes[len(haltTimes)/2], haltTimes[len(haltTimes)-1]
	t.Logf("halted %v after the first search of the bad version, at most %v; at most %v after the evidence; at most %d of 300 touched",
		median, worst, maxAfterEvidence, maxAffected)
	if maxAfterEvidence > 5*time.Second || median > 5*time.Second+Defaults().WarmUpTime {
		t.Errorf("halted %v after the evidence, %v after the first search", maxAfterEvidence, median)
	}
}

// The same version again: brokers differ for good, noise comes and goes, everything fails for a while, leaders change. No gate
// fails. A test that takes all queries for independent throws raises false alarms here.
func TestSameVersion(t *testing.T) {
	alarms, naive, longest := 0, 0, time.Duration(0)
	n := uint64(seeds(10))
	for seed := range n {
		w := newSimulatedTier(t, 1000+seed, 300, 100, 0)
		w.plan(10)
		var r statemachine.Release
		for r.State = statemachine.ReleaseRunning; r.State == statemachine.ReleaseRunning && w.now < 20*time.Minute; r, _ = w.state.Release() {
			w.step()
			if w.rng.IntN(200) == 0 {
				w.elect()
			}
		}
		if r.State == statemachine.ReleaseHalted {
			alarms++
			t.Logf("seed %d: %s", seed, r.Reason)
		} else if r.State != statemachine.ReleaseDone {
			t.Errorf("seed %d: %v, %d touched", seed, r.State, w.affected(r))
		}
		if w.naiveAlarm {
			naive++
		}
		longest = max(longest, w.now)
		w.checkLimits(10)
	}
	t.Logf("%d false alarms in %d releases of 300 brokers, by independent throws %d; the longest took %v", alarms, n, naive, longest)
	if alarms > int(n)/100 || naive == 0 {
		t.Errorf("%d false alarms, by the planted fault %d", alarms, naive)
	}
}

// A new leader lets nobody go before it has watched by itself, and before it knows the counts of nearly all.
func TestNewLeader(t *testing.T) {
	w := newSimulatedTier(t, 1, 20, 100, 0)
	w.plan(2)
	b := w.brokers[3]
	for began := w.now; ; {
		w.now += 250 * time.Millisecond
		for _, o := range w.brokers[:17] {
			counts := Counts{Queries: uint64(w.now / time.Millisecond)}
			w.planner.RecordReport(Report{Target: Target{Slot: o.slot}, Incarnation: 1, Classes: []Counts{counts}}, w.now)
		}
		if all, _ := w.planner.NextEntries(w.state, w.now); len(all) > 0 {
			t.Fatalf("it proposes %v after %v, with 17 of 20 known", all, w.now-began)
		}
		if w.now-began > 20*time.Second {
			break
		}
	}
	began := w.now
	w.elect()
	for w.proposals == 0 && w.now < began+time.Minute {
		w.step()
	}
	if took := w.now - began; took < Defaults().ObserveTime || took > Defaults().ObserveTime+2*time.Second || b.incarnation != 1 {
		t.Errorf("the first proposal after %v", took)
	}
}

// A release of nodes over two cells goes to its end though both hold the same shards, two ready replicas of each at every moment.
// Without a minimum the check finds fewer.
func TestNodeRelease(t *testing.T) {
	if fewest, r := releaseNodes(t, 2); r.State != statemachine.ReleaseDone || fewest < 2 {
		t.Errorf("%d ready replicas, %v: %+v", fewest, r.State, r.Steps)
	}
	if fewest, _ := releaseNodes(t, 0); fewest >= 2 {
		t.Errorf("%d ready replicas where no minimum is kept", fewest)
	}
}

// More out at once than may be are seen.
func TestExcessOutIsDetected(t *testing.T) {
	w := newSimulatedTier(t, 1, 60, 100, 0)
	w.plan(12)
	if w.run(10 * time.Minute); w.maxOut <= 10 {
		t.Errorf("%d out at once where 12 may be", w.maxOut)
	}
}

func releaseNodes(t *testing.T, minReadyReplicas uint32) (fewest int, r statemachine.Release) {
	fewest = 9
	w := newSimulatedTier(t, 1, 3, 100, 0)
	var list []statemachine.NodeInfo
	var nodes []statemachine.NodeID
	for i := range byte(8) {
		id := statemachine.NodeID{Addr: [4]byte{10, 0, 0, i}, Port: 80}
		nodes = append(nodes, id)
		list = append(list, statemachine.NodeInfo{Node: id, Zone: fmt.Sprint(i / 4), Shards: []uint32{uint32(i % 4), uint32(i%4+1) % 4}})
	}
	w.apply(&statemachine.SetNodeList{Epoch: 1, MinReadyReplicas: minReadyReplicas, Nodes: list})
	w.apply(&statemachine.ReleasePlan{Nodes: nodes, MaxOut: 8, Gates: "off"})
	for range 400 {
		w.step()
		ready := map[uint32]int{0: 0, 1: 0, 2: 0, 3: 0}
		for _, n := range w.state.Nodes() {
			for _, shard := range n.Shards {
				if n.DrainNumber == 0 {
					ready[shard]++
				}
			}
			p, ok := w.state.NodePermit(n.Node)
			switch {
			case ok && p.Used:
				w.apply(&statemachine.ReturnToService{ForNode: true, Node: n.Node, Incarnation: p.Number})
			case ok && w.state.IsDrained(n.Node):
				w.apply(&statemachine.UsePermit{Permit: p.Number, ForNode: true, Node: n.Node})
			case ok:
				for _, slot := range w.state.MissingDrainAcks(n.Node) {
					w.apply(&statemachine.AcknowledgeDrain{Slot: slot, Incarnation: 1, Node: n.Node, Number: n.DrainNumber})
				}
			}
		}
		for _, n := range ready {
			fewest = min(fewest, n)
		}
	}
	r, _ = w.state.Release()
	return fewest, r
}

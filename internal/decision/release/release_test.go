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

// seeds returns how many seeds a test runs: RELEASE_SEEDS, or fewest.
func seeds(fewest int) int {
	if n, err := strconv.Atoi(os.Getenv("RELEASE_SEEDS")); err == nil {
		return n
	}
	return fewest
}

// A version that fails five percent more queries is halted before a tenth of 300 brokers have it: within five seconds of the evidence and,
// in half of the seeds, within five seconds plus WarmUpTime of the first query at the new version (more evidence is needed while all
// brokers fail). The rollback returns all brokers to the old version; no more are out than allowed, and none goes out twice in a release.
func TestBadVersion(t *testing.T) {
	var haltTimes []time.Duration
	maxAffected, maxAfterEvidence := 0, time.Duration(0)
	for seed := range uint64(seeds(10)) {
		w := newSimulatedTier(t, seed, 300, 100, 0.05)
		number := w.plan(10)
		r := w.run(10 * time.Minute)
		if r.State != statemachine.ReleaseHalted || !strings.HasPrefix(r.Reason, "gate: ") || w.affected(r) >= 30 {
			t.Fatalf("seed %d: release %v, reason %q, %d brokers affected", seed, r.State, r.Reason, w.affected(r))
		}
		maxAffected = max(maxAffected, w.affected(r))
		maxAfterEvidence = max(maxAfterEvidence, w.haltedAt-w.evidenceAt)
		haltTimes = append(haltTimes, w.haltedAt-w.firstBadAt)
		for range 20 { // brokers that are out return
			w.step()
		}
		w.apply(&statemachine.RollBackRelease{Release: number, Reason: r.Reason})
		if r = w.run(10 * time.Minute); r.State != statemachine.ReleaseDone || r.RollbackOf != number {
			t.Errorf("seed %d: rollback %v, reason %q", seed, r.State, r.Reason)
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
	t.Logf("median halt %v after the first query at the bad version, at most %v; at most %v after the evidence; at most %d of 300 brokers affected",
		median, worst, maxAfterEvidence, maxAffected)
	if maxAfterEvidence > 5*time.Second || median > 5*time.Second+Defaults().WarmUpTime {
		t.Errorf("halted up to %v after the evidence; median %v after the first query at the bad version", maxAfterEvidence, median)
	}
}

// A release of an equivalent version raises no false alarm, although brokers differ lastingly, noise varies, all brokers fail for a while,
// and leaders change. A test that assumes independent queries does raise false alarms here.
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
			t.Errorf("seed %d: release %v, %d brokers affected", seed, r.State, w.affected(r))
		}
		if w.naiveAlarm {
			naive++
		}
		longest = max(longest, w.now)
		w.checkLimits(10)
	}
	t.Logf("%d false alarms in %d releases of 300 brokers, %d by the test that assumes independent queries; the longest release took %v", alarms, n, naive, longest)
	if alarms > int(n)/100 || naive == 0 {
		t.Errorf("%d false alarms, %d by the test that assumes independent queries", alarms, naive)
	}
}

// A new leader issues no permit before it has observed for ObserveTime, or without reports of nine tenths of the targets.
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
			t.Fatalf("proposed %v after %v, with reports of 17 of 20 brokers", all, w.now-began)
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
		t.Errorf("first proposal %v after the election", took)
	}
}

// A release of nodes in two cells that hold the same shards finishes with two ready replicas of each shard at all times. Without a minimum,
// the check finds fewer.
func TestNodeRelease(t *testing.T) {
	if fewest, r := releaseNodes(t, 2); r.State != statemachine.ReleaseDone || fewest < 2 {
		t.Errorf("at least %d ready replicas, release %v: %+v", fewest, r.State, r.Steps)
	}
	if fewest, _ := releaseNodes(t, 0); fewest >= 2 {
		t.Errorf("at least %d ready replicas although no minimum is set", fewest)
	}
}

// The simulation detects more targets out at once than another limit allows.
func TestExcessOutIsDetected(t *testing.T) {
	w := newSimulatedTier(t, 1, 60, 100, 0)
	w.plan(12)
	if w.run(10 * time.Minute); w.maxOut <= 10 {
		t.Errorf("at most %d brokers out at once, want more than 10 as the plan allows 12", w.maxOut)
	}
}

// releaseNodes runs a release of eight nodes, and returns the fewest ready replicas that a shard had.
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

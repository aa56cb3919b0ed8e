package readpin

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/decision"
)

const ms = time.Millisecond

func id(i int) decision.NodeID {
	return decision.NodeID{Addr: [4]byte{10, 0, byte(i >> 8), byte(i)}, Port: 9}
}

// testTracker returns a tracker of ready nodes in one cell, each of which holds all shards.
func testTracker(nodes, shards int) *Tracker {
	tracker := NewTracker(DefaultConfig(shards, 1, 1))
	tracker.UpdateEndpoints(0, true, readyEndpoints(nodes))
	return tracker
}

func readyEndpoints(nodes int) (all []decision.Endpoint) {
	for i := range nodes {
		all = append(all, decision.Endpoint{Node: id(i), State: decision.Ready})
	}
	return all
}

func require(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

func firstReplica(tracker *Tracker, now time.Duration, pin uint64, shard int) decision.NodeID {
	got, _, _ := tracker.EligibleReplicas(now, shard, 0, &Requirement{Pin: pin, ReceivedAt: now}, nil)
	return got[0]
}

// If a node is removed, only the pins that it had move. Brokers that learned of the nodes in different orders agree, and pins are spread
// evenly.
func TestPinsMoveByTheLeast(t *testing.T) {
	a, b := testTracker(9, 4), NewTracker(DefaultConfig(4, 1, 1))
	all := readyEndpoints(9)
	rand.New(rand.NewPCG(1, 1)).Shuffle(9, func(i, j int) { all[i], all[j] = all[j], all[i] })
	for i := range all {
		b.UpdateEndpoints(0, false, all[i:i+1])
	}
	had := map[decision.NodeID]int{}
	var before []decision.NodeID
	for pin := range uint64(9000) {
		n := firstReplica(a, 0, pin+1, 2)
		require(t, n == firstReplica(b, 0, pin+1, 2), "brokers differ on pin %d", pin)
		before, had[n] = append(before, n), had[n]+1
	}
	for n, pins := range had {
		require(t, pins > 850 && pins < 1150, "%v has %d of 9000 pins, want 851 to 1149", n, pins)
	}
	a.UpdateEndpoints(0, false, []decision.Endpoint{{Node: id(4), State: decision.Removed}})
	for pin := range uint64(9000) {
		n := firstReplica(a, 0, pin+1, 2)
		require(t, n != id(4) && (n == before[pin] || before[pin] == id(4)), "pin %d moved from %v to %v", pin, before[pin], n)
	}
}

// A node that the endpoint list names takes over no pin until the agreed list of an epoch names it too.
func TestPinsFollowTheEpoch(t *testing.T) {
	tracker := testTracker(4, 1)
	tracker.SetEpoch(7, []decision.NodeID{id(0), id(1), id(2), id(3)})
	var before []decision.NodeID
	for pin := range uint64(100) {
		before = append(before, firstReplica(tracker, 0, pin+1, 0))
	}
	tracker.UpdateEndpoints(0, false, []decision.Endpoint{{Node: id(9), State: decision.Ready}})
	tracker.SetEpoch(6, []decision.NodeID{id(9)})
	for pin := range uint64(100) {
		require(t, firstReplica(tracker, 0, pin+1, 0) == before[pin], "pin %d moved without a newer epoch", pin)
	}
	tracker.SetEpoch(8, []decision.NodeID{id(0), id(1), id(2), id(3), id(9)})
	moved := 0
	for pin := range uint64(100) {
		if n := firstReplica(tracker, 0, pin+1, 0); n != before[pin] {
			moved++
			require(t, n == id(9), "pin %d moved, but not to the new node", pin)
		}
	}
	require(t, moved > 8 && moved < 35, "%d of 100 pins moved to the new node, want 9 to 34", moved)
}

// Replicas known to be behind are excluded for a while, and retryAfter says for how long. A query that allows stale answers gets them.
func TestRefusal(t *testing.T) {
	tracker := testTracker(2, 1)
	now := time.Second
	for i := range 2 {
		tracker.Observe(now, id(i), 0, now-2*ms, Report{Offset: 70 + uint64(i), HeadAge: 4 * time.Second})
	}
	requirement := Requirement{ReceivedAt: now, MaxStaleness: 250 * ms}
	got, _, retryAfter := tracker.EligibleReplicas(now, 0, 0, &requirement, nil)
	require(t, len(got) == 0 && retryAfter > 500*ms && retryAfter < 2*time.Second, "both replicas too old: eligible %v, retry after %v", got, retryAfter)
	requirement.AllowStale = true
	got, promise, _ := tracker.EligibleReplicas(now, 0, 0, &requirement, nil)
	require(t, len(got) == 2 && !tracker.Assess(promise, now, Report{70, 4 * time.Second}, true).Fresh, "stale allowed: eligible %v, or a stale answer counts as fresh", got)
	requirement = Requirement{ReceivedAt: now}
	got, _, retryAfter = tracker.EligibleReplicas(now, 0, 71, &requirement, nil)
	require(t, len(got) == 1 && got[0] == id(1) && retryAfter == 0, "position of one replica: eligible %v, retry after %v", got, retryAfter)
	got, _, retryAfter = tracker.EligibleReplicas(now, 0, 72, &requirement, nil)
	require(t, len(got) == 0 && retryAfter > 0 && retryAfter <= 50*ms, "position of no replica: eligible %v, retry after %v", got, retryAfter)
	got, _, _ = tracker.EligibleReplicas(now+retryAfter, 0, 72, &requirement, nil)
	require(t, len(got) == 2, "not eligible again after retryAfter: %v", got)
	got, _, _ = tracker.EligibleReplicas(now+retryAfter, 0, 72, &requirement, nil)
	require(t, len(got) == 0, "eligible twice at the same time: %v", got)
}

// The second replica takes over from a removed first only once it has reached the first one's known position. A restarted replica that has
// lost positions is not fresh, and older observations don't hide its restart.
func TestHandOver(t *testing.T) {
	tracker := testTracker(2, 1)
	requirement := Requirement{Pin: 5}
	all, _, _ := tracker.EligibleReplicas(0, 0, 0, &requirement, nil)
	first, second := all[0], all[1]
	tracker.Observe(100*ms, first, 0, 99*ms, Report{90, 0})
	tracker.Observe(100*ms, second, 0, 99*ms, Report{80, 0})
	tracker.UpdateEndpoints(101*ms, false, []decision.Endpoint{{Node: first, State: decision.Removed}})
	got, promise, retryAfter := tracker.EligibleReplicas(101*ms, 0, 0, &requirement, nil)
	require(t, len(got) == 0 && retryAfter > 0 && promise.Offset == 90, "before the second has caught up: eligible %v, promise %+v", got, promise)
	tracker.Observe(120*ms, second, 0, 119*ms, Report{91, 0})
	got, _, _ = tracker.EligibleReplicas(121*ms, 0, 0, &requirement, nil)
	require(t, len(got) == 1 && got[0] == second, "after the second has caught up: eligible %v", got)
	require(t, !tracker.Assess(promise, 121*ms, Report{89, 0}, true).Fresh, "an answer from an earlier position counts as fresh")
	tracker.Observe(130*ms, second, 0, 129*ms, Report{40, 0})
	require(t, tracker.Counts.Regressed == 1 && tracker.StalenessBound(130*ms, second, 0) < 20*ms, "a restart to an earlier position is not detected")
	tracker.merge(tracker.position(&tracker.nodes[tracker.byID[second]], 0), &position{known: true, offset: 91, observedAfter: 119 * ms, observedBefore: 120 * ms, asOf: 119 * ms})
	got, _, _ = tracker.EligibleReplicas(130*ms, 0, 91, &Requirement{}, nil)
	require(t, len(got) == 0, "an observation from before the restart is used")
}

// A pin that is at its limit at its first replica goes to the next one, and returns later. A shard request is never refused for the limit.
func TestHotPin(t *testing.T) {
	tracker := testTracker(3, 1)
	requirement := Requirement{Pin: 5}
	all, _, _ := tracker.EligibleReplicas(0, 0, 0, &requirement, nil)
	for range tracker.config.MaxInFlight {
		tracker.AttemptSent(0, 5, all[0])
	}
	got, _, _ := tracker.EligibleReplicas(0, 0, 0, &requirement, nil)
	require(t, len(got) == 2 && got[0] == all[1] && tracker.Counts.Spilled == 1, "at its limit at the first replica: eligible %v, or not counted as spilled", got)
	tracker.AttemptEnded(5, all[0])
	require(t, firstReplica(tracker, 0, 5, 0) == all[0], "the pin does not return to its first replica")
	now := time.Duration(0)
	for range 400 { // 200 shard requests a second of one pin, and 50 without a pin
		now += 5 * ms
		n := firstReplica(tracker, now, 5, 0)
		tracker.AttemptSent(now, 5, n)
		tracker.AttemptEnded(5, n)
		for i := range 3 {
			if now%(60*ms) == time.Duration(i)*20*ms {
				tracker.AttemptSent(now, 0, all[i])
			}
		}
	}
	firstRate := tracker.hotKeys[bucketOf(5, all[0])].rate.read(now)
	require(t, firstRate < 80, "%.0f shard requests a second of one pin at its first replica, want fewer than 80", firstRate)
	for i := range all {
		for range tracker.config.MaxInFlight {
			tracker.AttemptSent(now, 5, all[i])
		}
	}
	got, _, _ = tracker.EligibleReplicas(now, 0, 0, &requirement, nil)
	require(t, len(got) == 3, "at its limit at all replicas: eligible %v, want all", got)
}

func TestReport(t *testing.T) {
	for text, want := range map[string]Report{"p=7;h=12": {7, 12 * ms}, "q=1;h=0;p=9;x": {9, 0}, "p=3": {3, UnknownAge}, "p=3;h=9999999": {3, UnknownAge}} {
		r, ok := ParseReport(text)
		require(t, ok && r == want, "%q is parsed as %+v", text, r)
	}
	for _, text := range []string{"-", "", "h=3", "p=", "p=-1", "p=1;p=2", "p=1;h=x", "p=1;h=1;h=1", "p=1;h=-4"} {
		_, ok := ParseReport(text)
		require(t, !ok, "%q is accepted", text)
	}
	rapid.Check(t, func(t *rapid.T) {
		r := Report{rapid.Uint64().Draw(t, "p"), time.Duration(rapid.Int64Range(0, 3600_000).Draw(t, "h")) * ms}
		if got, ok := ParseReport(string(AppendReport(nil, r))); !ok || got != r {
			t.Fatalf("%+v was parsed as %+v after formatting", r, got)
		}
	})
}

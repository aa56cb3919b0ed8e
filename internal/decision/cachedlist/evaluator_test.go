package cachedlist

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Each run draws the same random sequences, unless -rapid.seed is given on the command line.
func init() { flag.Set("rapid.seed", "1") }

const day = 24 * time.Hour

var (
	policy    = Policy{HalfLife: 7 * day, MaxAge: 30 * day, EjectionThreshold: 0.95, TrialInterval: 30 * time.Second}
	startedAt = Timestamp(1_700_000_000_000)
	addr      = netip.MustParseAddrPort("127.0.0.1:80")
)

func id(name string) (id decision.NodeID) {
	copy(id.Addr[:], name)
	return id
}

func entry(i int, age time.Duration) Entry {
	return Entry{Name: fmt.Sprintf("n%02d", i), Address: addr, Zone: "a", Cell: i % 2, ConfirmedAt: startedAt - Timestamp(age.Milliseconds()),
		StateSince: startedAt - Timestamp(age.Milliseconds())}
}

// newTestEvaluator returns a started evaluator of n entries of the same age, and its table.
func newTestEvaluator(n int, age time.Duration) (*Evaluator, *EntryTable) {
	var all []Entry
	for i := range n {
		all = append(all, entry(i, age))
	}
	table := NewEntryTable(Head{}, all)
	evaluator := NewEvaluator(policy, table, startedAt)
	evaluator.Start(id)
	return evaluator, table
}

// failuresToEject returns how many failures of a kind, one a second, it takes until an entry of the given age is ejected; 100: 99 do not suffice.
func failuresToEject(age time.Duration, outcome decision.Outcome) int {
	evaluator, _ := newTestEvaluator(8, age)
	for n := 1; n < 100; n++ {
		now := time.Duration(n) * time.Second
		evaluator.RecordOutcome(id("n01"), decision.OK, time.Millisecond, now) // two other endpoints succeed
		evaluator.RecordOutcome(id("n02"), decision.OK, time.Millisecond, now)
		evaluator.RecordOutcome(id("n00"), outcome, time.Second, now)
		updates, _ := evaluator.Tick(now)
		for _, u := range updates {
			if u.ID == id("n00") && !u.Usable {
				return n
			}
		}
	}
	return 100
}

func TestOlderEntriesNeedLessEvidence(t *testing.T) {
	failures := []decision.Outcome{decision.ConnectFailed, decision.TimedOut, decision.Rejected, decision.ConnectionReset, decision.Errored}
	for _, outcome := range failures {
		last := 100
		for _, age := range []time.Duration{0, time.Hour, day, 7 * day, 29 * day} {
			n := failuresToEject(age, outcome)
			if n > last {
				t.Errorf("%d failures of outcome %d eject an entry of age %v, but %d a younger one", n, outcome, age, last)
			}
			last = n
		}
		if fresh, old := failuresToEject(0, outcome), failuresToEject(7*day, outcome); fresh <= old {
			t.Errorf("outcome %d: %d failures eject a fresh entry, %d a week-old one", outcome, fresh, old)
		}
	}
	if n := failuresToEject(7*day, decision.ConnectFailed); n > 2 {
		t.Errorf("a week-old entry that refuses connections is ejected after %d failures, want at most 2", n)
	}
}

// An ejected endpoint is tried at growing intervals. It is reinstated as soon as it answers, in slow start, as it may just have started.
func TestAnswerReinstates(t *testing.T) {
	evaluator, table := newTestEvaluator(8, 25*day)
	fail := func(now time.Duration) []EndpointUpdate {
		evaluator.RecordOutcome(id("n01"), decision.OK, 0, now)
		evaluator.RecordOutcome(id("n00"), decision.ConnectFailed, 0, now)
		updates, _ := evaluator.Tick(now)
		return updates
	}
	if f := fail(time.Second); len(f) != 1 || f[0].Usable {
		t.Fatalf("after a failure: updates %+v, want one that ejects", f)
	}
	updates, next := evaluator.Tick(2 * time.Second)
	if len(updates) != 0 || next != time.Second+policy.TrialInterval {
		t.Fatalf("before the trial: updates %+v, next tick at %v", updates, next)
	}
	if updates, _ = evaluator.Tick(next); len(updates) != 1 || !updates[0].Usable || !updates[0].SlowStart {
		t.Fatalf("after the trial interval: updates %+v, want one in slow start", updates)
	}
	if f := fail(next + time.Second); len(f) != 1 || f[0].Usable { // the trial failed: the next interval is twice as long
		t.Fatalf("after the failed trial: updates %+v, want one that ejects", f)
	}
	_, next = evaluator.Tick(next + 2*time.Second)
	evaluator.Tick(next)
	evaluator.RecordOutcome(id("n00"), decision.OK, 0, next+time.Second)
	if updates, _ = evaluator.Tick(next + time.Second); len(updates) != 1 || !updates[0].Usable || !updates[0].SlowStart {
		t.Fatalf("after an answer: updates %+v, want one in slow start", updates)
	}
	if e, _ := table.Get("n00"); e.ConfirmedBy != SourceEndpoint || e.ConfirmedAt <= startedAt {
		t.Errorf("the entry is not confirmed by its endpoint: %+v", e)
	}
	if c := evaluator.Snapshot(next + time.Second); c.Ejected != 0 || c.Reinstated != 1 || c.Trials != 2 || c.Confirmed != 2 {
		t.Errorf("counts %+v", c)
	}
}

// If all endpoints fail alike, the broker's own network is at fault: nothing is ejected, and the evidence is discarded.
func TestLocalNetworkFaultEjectsNothing(t *testing.T) {
	evaluator, _ := newTestEvaluator(8, 7*day)
	for s := range 20 {
		now := time.Duration(s) * time.Second
		for i := range 8 {
			evaluator.RecordOutcome(id(fmt.Sprintf("n%02d", i)), decision.ConnectFailed, 0, now)
		}
		if updates, _ := evaluator.Tick(now); len(updates) != 0 {
			t.Fatalf("ejected %+v", updates)
		}
	}
	if !evaluator.Snapshot(time.Minute).LocalNetworkFault {
		t.Error("the local network fault is not detected")
	}
	for i := range 7 {
		evaluator.RecordOutcome(id(fmt.Sprintf("n%02d", i)), decision.OK, 0, 21*time.Second)
	}
	if updates, _ := evaluator.Tick(21 * time.Second); len(updates) != 0 || evaluator.Snapshot(time.Minute).LocalNetworkFault {
		t.Errorf("after the fault: updates %+v, or the fault is still reported", updates)
	}
}

// If tested entries prove wrong, the other entries of the list become less credible; if they prove right, more so.
func TestTestedEntriesMoveErrorProbability(t *testing.T) {
	errorProbability := func(outcome decision.Outcome) float64 {
		evaluator, _ := newTestEvaluator(40, day)
		for i := range 20 {
			now := time.Duration(i) * time.Second
			evaluator.RecordOutcome(id("n38"), decision.OK, 0, now)
			for range 9 {
				now += 110 * time.Millisecond
				evaluator.RecordOutcome(id(fmt.Sprintf("n%02d", i)), outcome, 0, now)
			}
			evaluator.Tick(now)
		}
		d, _ := evaluator.ErrorProbability(id("n39"), 20*time.Second)
		return d
	}
	evaluator, _ := newTestEvaluator(1, day)
	plain, _ := evaluator.ErrorProbability(id("n00"), 0)
	if good, bad := errorProbability(decision.OK), errorProbability(decision.ConnectFailed); good >= plain || bad <= 2*plain {
		t.Errorf("error probability %.3f by age, %.3f after 20 entries proved right, %.3f after 20 proved wrong", plain, good, bad)
	}
}

// A drain, an end or too great an age known before a restart remains in force after it until discovery lists the endpoint again. Entries
// confirmed in the future, as the clock was set back, count as being as old as possible.
func TestExcludedStayExcluded(t *testing.T) {
	drained, ended, old, future := entry(0, 0), entry(1, 0), entry(2, 31*day), entry(3, -time.Hour)
	drained.State, ended.State = Draining, Ended
	table := NewEntryTable(Head{}, []Entry{drained, ended, old, future, entry(4, 0)})
	evaluator := NewEvaluator(policy, table, startedAt)
	use := map[string]bool{}
	for _, u := range evaluator.Start(id) {
		use[u.Entry.Name] = u.Usable
	}
	if len(use) != 4 || use["n00"] || use["n02"] || !use["n03"] || !use["n04"] {
		t.Fatalf("entries in use: %v, want n03 and n04", use)
	}
	if d, _ := evaluator.ErrorProbability(id("n03"), 0); d < 0.9 {
		t.Errorf("an entry confirmed in the future has an error probability of %.2f, want at least 0.9", d)
	}
	for _, name := range []string{"n00", "n02"} {
		evaluator.RecordOutcome(id(name), decision.OK, 0, time.Second)
	}
	if updates, _ := evaluator.Tick(time.Second); len(updates) != 0 {
		t.Errorf("answers brought excluded entries back: %+v", updates)
	}
	fresh := entry(0, 0)
	evaluator.ApplyList(List{Service: "d", Generation: 5, Full: true, Entries: []Entry{fresh, entry(1, 0)}}, id, 2*time.Second)
	updates, _ := evaluator.Tick(2 * time.Second)
	if !slices.ContainsFunc(updates, func(u EndpointUpdate) bool { return u.Entry.Name == "n00" && u.Usable && !u.SlowStart }) {
		t.Errorf("listed again by discovery: updates %+v, want one that uses n00", updates)
	}
	if e, _ := table.Get("n04"); e.State != Ended || e.StateSince != startedAt+2000 {
		t.Errorf("an entry that a full list does not name is not ended: %+v", e)
	}
}

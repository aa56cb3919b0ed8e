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

// The courses that are drawn are the same in each run; -rapid.seed given on the command line draws others.
func init() { flag.Set("rapid.seed", "1") }

const day = 24 * time.Hour

var (
	policy = Policy{HalfLife: 7 * day, MaxAge: 30 * day, EjectionThreshold: 0.95, TrialInterval: 30 * time.Second}
	began  = Timestamp(1_700_000_000_000)
	addr   = netip.MustParseAddrPort("127.0.0.1:80")
)

func id(name string) (id decision.NodeID) {
	copy(id.Addr[:], name)
	return id
}

func entry(i int, age time.Duration) Entry {
	return Entry{Name: fmt.Sprintf("n%02d", i), Address: addr, Zone: "a", Cell: i % 2, ConfirmedAt: began - Timestamp(age.Milliseconds()),
		StateSince: began - Timestamp(age.Milliseconds())}
}

// judged is a judge of some entries of one age, after its beginning.
func judged(n int, age time.Duration) (*Evaluator, *EntryTable) {
	var all []Entry
	for i := range n {
		all = append(all, entry(i, age))
	}
	b := NewEntryTable(Head{}, all)
	j := NewEvaluator(policy, b, began)
	j.Start(id)
	return j, b
}

// strikes counts how many failures of a kind, a second apart, it takes until an entry is struck out.
func strikes(age time.Duration, how decision.Outcome) int {
	j, _ := judged(8, age)
	for n := 1; n < 100; n++ {
		now := time.Duration(n) * time.Second
		j.RecordOutcome(id("n01"), decision.OK, time.Millisecond, now) // the others do well
		j.RecordOutcome(id("n02"), decision.OK, time.Millisecond, now)
		j.RecordOutcome(id("n00"), how, time.Second, now)
		facts, _ := j.Tick(now)
		for _, f := range facts {
			if f.ID == id("n00") && !f.Usable {
				return n
			}
		}
	}
	return 100
}

func TestEvidenceWeighsMoreTheOlderTheEntry(t *testing.T) {
	for _, how := range []decision.Outcome{decision.ConnectFailed, decision.TimedOut, decision.Rejected, decision.ConnectionReset, decision.Errored} {
		last := 100
		for _, age := range []time.Duration{0, time.Hour, day, 7 * day, 29 * day} {
			n := strikes(age, how)
			if n > last {
				t.Errorf("%d failures of kind %d at the age of %v, %d for a younger one", n, how, age, last)
			}
			last = n
		}
		if fresh, old := strikes(0, how), strikes(7*day, how); fresh <= old {
			t.Errorf("kind %d: %d failures for a fresh entry, %d for an old one", how, fresh, old)
		}
	}
	if n := strikes(7*day, decision.ConnectFailed); n > 2 {
		t.Errorf("a week-old entry that refuses is struck out after %d", n)
	}
}

// A node that answers earns its place at once, also one that was struck out; then it is eased in, as it may just have started.
func TestAnswerConfirms(t *testing.T) {
	j, b := judged(8, 25*day)
	fail := func(now time.Duration) []EndpointUpdate {
		j.RecordOutcome(id("n01"), decision.OK, 0, now)
		j.RecordOutcome(id("n00"), decision.ConnectFailed, 0, now)
		facts, _ := j.Tick(now)
		return facts
	}
	if f := fail(time.Second); len(f) != 1 || f[0].Usable {
		t.Fatalf("told %+v", f)
	}
	facts, next := j.Tick(2 * time.Second)
	if len(facts) != 0 || next != time.Second+policy.TrialInterval {
		t.Fatalf("%+v, comes again at %v", facts, next)
	}
	if facts, _ = j.Tick(next); len(facts) != 1 || !facts[0].Usable || !facts[0].SlowStart {
		t.Fatalf("after its parole %+v", facts)
	}
	if f := fail(next + time.Second); len(f) != 1 || f[0].Usable { // the trial failed: twice as long
		t.Fatalf("told %+v", f)
	}
	_, next = j.Tick(next + 2*time.Second)
	j.Tick(next)
	j.RecordOutcome(id("n00"), decision.OK, 0, next+time.Second)
	if facts, _ = j.Tick(next + time.Second); len(facts) != 1 || !facts[0].Usable || !facts[0].SlowStart {
		t.Fatalf("answered: %+v", facts)
	}
	if e, _ := b.Get("n00"); e.ConfirmedBy != SourceEndpoint || e.ConfirmedAt <= began {
		t.Errorf("kept as %+v", e)
	}
	if c := j.Snapshot(next + time.Second); c.StruckOut != 0 || c.Recovered != 1 || c.Paroles != 2 || c.Confirmed != 2 {
		t.Errorf("%+v", c)
	}
}

// Where all fail alike it is the broker's own network: nothing is struck out, and nothing stays held against anyone.
func TestOwnNetwork(t *testing.T) {
	j, _ := judged(8, 7*day)
	for s := range 20 {
		now := time.Duration(s) * time.Second
		for i := range 8 {
			j.RecordOutcome(id(fmt.Sprintf("n%02d", i)), decision.ConnectFailed, 0, now)
		}
		if facts, _ := j.Tick(now); len(facts) != 0 {
			t.Fatalf("struck out %+v", facts)
		}
	}
	if !j.Snapshot(time.Minute).OwnNetwork {
		t.Error("not told")
	}
	for i := range 7 {
		j.RecordOutcome(id(fmt.Sprintf("n%02d", i)), decision.OK, 0, 21*time.Second)
	}
	if facts, _ := j.Tick(21 * time.Second); len(facts) != 0 || j.Snapshot(time.Minute).OwnNetwork {
		t.Errorf("after it ended: %+v", facts)
	}
}

// A list that proves worse than its age makes its other entries more doubtful, and one that proves well less so.
func TestListProves(t *testing.T) {
	doubt := func(how decision.Outcome) float64 {
		j, _ := judged(40, day)
		for i := range 20 {
			now := time.Duration(i) * time.Second
			j.RecordOutcome(id("n38"), decision.OK, 0, now)
			for range 9 {
				now += 110 * time.Millisecond
				j.RecordOutcome(id(fmt.Sprintf("n%02d", i)), how, 0, now)
			}
			j.Tick(now)
		}
		d, _ := j.ErrorProbability(id("n39"), 20*time.Second)
		return d
	}
	j, _ := judged(1, day)
	plain, _ := j.ErrorProbability(id("n00"), 0)
	if good, bad := doubt(decision.OK), doubt(decision.ConnectFailed); good >= plain || bad <= 2*plain {
		t.Errorf("doubt %.3f by age, %.3f after a good showing, %.3f after a bad one", plain, good, bad)
	}
}

// What was told before the restart binds after it, until discovery lists the node anew; so does age. A clock that went back
// makes entries as old as any.
func TestBarred(t *testing.T) {
	drained, ended, old, future := entry(0, 0), entry(1, 0), entry(2, 31*day), entry(3, -time.Hour)
	drained.State, ended.State = Draining, Ended
	b := NewEntryTable(Head{}, []Entry{drained, ended, old, future, entry(4, 0)})
	j := NewEvaluator(policy, b, began)
	use := map[string]bool{}
	for _, f := range j.Start(id) {
		use[f.Entry.Name] = f.Usable
	}
	if len(use) != 4 || use["n00"] || use["n02"] || !use["n03"] || !use["n04"] {
		t.Fatalf("in use %v", use)
	}
	if d, _ := j.ErrorProbability(id("n03"), 0); d < 0.9 {
		t.Errorf("an entry from the future is doubted by %.2f", d)
	}
	for _, name := range []string{"n00", "n02"} {
		j.RecordOutcome(id(name), decision.OK, 0, time.Second)
	}
	if facts, _ := j.Tick(time.Second); len(facts) != 0 {
		t.Errorf("brought back %+v", facts)
	}
	fresh := entry(0, 0)
	j.ApplyList(List{Service: "d", Generation: 5, Full: true, Entries: []Entry{fresh, entry(1, 0)}}, id, 2*time.Second)
	facts, _ := j.Tick(2 * time.Second)
	if !slices.ContainsFunc(facts, func(f EndpointUpdate) bool { return f.Entry.Name == "n00" && f.Usable && !f.SlowStart }) {
		t.Errorf("listed anew: %+v", facts)
	}
	if e, _ := b.Get("n04"); e.State != Ended || e.StateSince != began+2000 {
		t.Errorf("not named by a whole list: %+v", e)
	}
}

package trust

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/decision/broker"
)

// The courses that are drawn are the same in each run; -rapid.seed given on the command line draws others.
func init() { flag.Set("rapid.seed", "1") }

const day = 24 * time.Hour

var (
	policy = Policy{HalfLife: 7 * day, Oldest: 30 * day, StrikeAt: 0.95, Parole: 30 * time.Second}
	began  = Moment(1_700_000_000_000)
	addr   = netip.MustParseAddrPort("127.0.0.1:80")
)

func id(name string) (id broker.NodeID) {
	copy(id.Addr[:], name)
	return id
}

func entry(i int, age time.Duration) Entry {
	return Entry{Name: fmt.Sprintf("n%02d", i), Addr: addr, Zone: "a", Cell: i % 2, Confirmed: began - Moment(age.Milliseconds()),
		Told: began - Moment(age.Milliseconds())}
}

// judged is a judge of some entries of one age, after its beginning.
func judged(n int, age time.Duration) (*Judge, *Book) {
	var all []Entry
	for i := range n {
		all = append(all, entry(i, age))
	}
	b := NewBook(Head{}, all)
	j := NewJudge(policy, b, began)
	j.Begin(id)
	return j, b
}

// strikes counts how many failures of a kind, a second apart, it takes until an entry is struck out.
func strikes(age time.Duration, how broker.Outcome) int {
	j, _ := judged(8, age)
	for n := 1; n < 100; n++ {
		now := time.Duration(n) * time.Second
		j.Showed(id("n01"), broker.OK, time.Millisecond, now) // the others do well
		j.Showed(id("n02"), broker.OK, time.Millisecond, now)
		j.Showed(id("n00"), how, time.Second, now)
		facts, _ := j.Tick(now)
		for _, f := range facts {
			if f.ID == id("n00") && !f.Use {
				return n
			}
		}
	}
	return 100
}

func TestEvidenceWeighsMoreTheOlderTheEntry(t *testing.T) {
	for _, how := range []broker.Outcome{broker.ConnectFailed, broker.TimedOut, broker.Refused, broker.Reset, broker.Errored} {
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
	if n := strikes(7*day, broker.ConnectFailed); n > 2 {
		t.Errorf("a week-old entry that refuses is struck out after %d", n)
	}
}

// A node that answers earns its place at once, also one that was struck out; then it is eased in, as it may just have started.
func TestAnswerConfirms(t *testing.T) {
	j, b := judged(8, 25*day)
	fail := func(now time.Duration) []Fact {
		j.Showed(id("n01"), broker.OK, 0, now)
		j.Showed(id("n00"), broker.ConnectFailed, 0, now)
		facts, _ := j.Tick(now)
		return facts
	}
	if f := fail(time.Second); len(f) != 1 || f[0].Use {
		t.Fatalf("told %+v", f)
	}
	facts, next := j.Tick(2 * time.Second)
	if len(facts) != 0 || next != time.Second+policy.Parole {
		t.Fatalf("%+v, comes again at %v", facts, next)
	}
	if facts, _ = j.Tick(next); len(facts) != 1 || !facts[0].Use || !facts[0].Eased {
		t.Fatalf("after its parole %+v", facts)
	}
	if f := fail(next + time.Second); len(f) != 1 || f[0].Use { // the trial failed: twice as long
		t.Fatalf("told %+v", f)
	}
	_, next = j.Tick(next + 2*time.Second)
	j.Tick(next)
	j.Showed(id("n00"), broker.OK, 0, next+time.Second)
	if facts, _ = j.Tick(next + time.Second); len(facts) != 1 || !facts[0].Use || !facts[0].Eased {
		t.Fatalf("answered: %+v", facts)
	}
	if e, _ := b.Get("n00"); e.By != Itself || e.Confirmed <= began {
		t.Errorf("kept as %+v", e)
	}
	if c := j.Picture(next + time.Second); c.StruckOut != 0 || c.Recovered != 1 || c.Paroles != 2 || c.Confirmed != 2 {
		t.Errorf("%+v", c)
	}
}

// Where all fail alike it is the broker's own network: nothing is struck out, and nothing stays held against anyone.
func TestOwnNetwork(t *testing.T) {
	j, _ := judged(8, 7*day)
	for s := range 20 {
		now := time.Duration(s) * time.Second
		for i := range 8 {
			j.Showed(id(fmt.Sprintf("n%02d", i)), broker.ConnectFailed, 0, now)
		}
		if facts, _ := j.Tick(now); len(facts) != 0 {
			t.Fatalf("struck out %+v", facts)
		}
	}
	if !j.Picture(time.Minute).OwnNetwork {
		t.Error("not told")
	}
	for i := range 7 {
		j.Showed(id(fmt.Sprintf("n%02d", i)), broker.OK, 0, 21*time.Second)
	}
	if facts, _ := j.Tick(21 * time.Second); len(facts) != 0 || j.Picture(time.Minute).OwnNetwork {
		t.Errorf("after it ended: %+v", facts)
	}
}

// A list that proves worse than its age makes its other entries more doubtful, and one that proves well less so.
func TestListProves(t *testing.T) {
	doubt := func(how broker.Outcome) float64 {
		j, _ := judged(40, day)
		for i := range 20 {
			now := time.Duration(i) * time.Second
			j.Showed(id("n38"), broker.OK, 0, now)
			for range 9 {
				now += 110 * time.Millisecond
				j.Showed(id(fmt.Sprintf("n%02d", i)), how, 0, now)
			}
			j.Tick(now)
		}
		d, _ := j.Doubt(id("n39"), 20*time.Second)
		return d
	}
	j, _ := judged(1, day)
	plain, _ := j.Doubt(id("n00"), 0)
	if good, bad := doubt(broker.OK), doubt(broker.ConnectFailed); good >= plain || bad <= 2*plain {
		t.Errorf("doubt %.3f by age, %.3f after a good showing, %.3f after a bad one", plain, good, bad)
	}
}

// What was told before the restart binds after it, until discovery lists the node anew; so does age. A clock that went back
// makes entries as old as any.
func TestBarred(t *testing.T) {
	drained, ended, old, future := entry(0, 0), entry(1, 0), entry(2, 31*day), entry(3, -time.Hour)
	drained.State, ended.State = Draining, Ended
	b := NewBook(Head{}, []Entry{drained, ended, old, future, entry(4, 0)})
	j := NewJudge(policy, b, began)
	use := map[string]bool{}
	for _, f := range j.Begin(id) {
		use[f.Entry.Name] = f.Use
	}
	if len(use) != 4 || use["n00"] || use["n02"] || !use["n03"] || !use["n04"] {
		t.Fatalf("in use %v", use)
	}
	if d, _ := j.Doubt(id("n03"), 0); d < 0.9 {
		t.Errorf("an entry from the future is doubted by %.2f", d)
	}
	for _, name := range []string{"n00", "n02"} {
		j.Showed(id(name), broker.OK, 0, time.Second)
	}
	if facts, _ := j.Tick(time.Second); len(facts) != 0 {
		t.Errorf("brought back %+v", facts)
	}
	fresh := entry(0, 0)
	j.Listed(List{Service: "d", Generation: 5, Whole: true, Entries: []Entry{fresh, entry(1, 0)}}, id, 2*time.Second)
	facts, _ := j.Tick(2 * time.Second)
	if !slices.ContainsFunc(facts, func(f Fact) bool { return f.Entry.Name == "n00" && f.Use && !f.Eased }) {
		t.Errorf("listed anew: %+v", facts)
	}
	if e, _ := b.Get("n04"); e.State != Ended || e.Told != began+2000 {
		t.Errorf("not named by a whole list: %+v", e)
	}
}

// Entry by entry the later word counts.
func TestMerge(t *testing.T) {
	saved := func(i int, s State, started Moment, gen uint64) Entry {
		e := entry(i, time.Hour)
		e.State, e.Started, e.Generation = s, started, gen
		return e
	}
	for _, c := range []struct {
		what          string
		service       string
		generation    uint64
		given, wanted []State // Ready, Draining, Ended, or absent (3), of nodes 0 to 2
		started       Moment
	}{
		{"an older list of the same service says nothing", "d", 30, []State{Draining, Ready, Ready}, []State{Ready, Draining, Ended}, 0},
		{"a newer one counts", "d", 50, []State{Draining, Ready, Ready}, []State{Draining, Ready, Ready}, 0},
		{"and so does what it leaves out", "d", 50, []State{3, Ready, Ready}, []State{Ended, Ready, Ready}, 0},
		{"of another service a drain counts, and its end does not", "e", 50, []State{Draining, Ready, Ready}, []State{Draining, Draining, Ended}, 0},
		{"but a later start does", "e", 50, []State{Ready, Ready, Ready}, []State{Ready, Ready, Ready}, 90},
	} {
		b := NewBook(Head{Service: "d", Generation: 40}, []Entry{saved(0, Ready, 0, 10), saved(1, Draining, 0, 38), saved(2, Ended, 0, 39)})
		l := List{Service: c.service, Generation: c.generation, Whole: true}
		for i, s := range c.given {
			if s != 3 {
				l.Entries = append(l.Entries, saved(i, s, c.started, 0))
			}
		}
		b.Merge(l, began)
		for i, want := range c.wanted {
			if e, _ := b.Get(fmt.Sprintf("n%02d", i)); e.State != want {
				t.Errorf("%s: node %d is %v, not %v", c.what, i, e.State, want)
			}
		}
	}
}

// In random courses: no cell in use is left with nothing to try, what is barred stays so until discovery speaks, facts say
// what the standing says, and a book that is bounded stays within its bound.
func TestRandomCourses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		var all []Entry
		barred := map[broker.NodeID]bool{}
		for i := range n {
			e := entry(i, time.Duration(rapid.IntRange(0, 35).Draw(t, "days"))*day)
			e.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
			barred[id(e.Name)] = e.State != Ready || began.Since(e.Confirmed) > policy.Oldest
			all = append(all, e)
		}
		book := NewBook(Head{}, all)
		j := NewJudge(policy, book, began)
		inUse, cells := map[broker.NodeID]bool{}, map[int]bool{}
		told := false
		take := func(facts []Fact) {
			for _, f := range facts {
				if inUse[f.ID] = f.Use; f.Use && barred[f.ID] && !told {
					t.Fatalf("%s is barred and used", f.Entry.Name)
				}
			}
		}
		take(j.Begin(id))
		for _, e := range book.All() {
			cells[e.Cell] = cells[e.Cell] || inUse[id(e.Name)]
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 40000).Draw(t, "ms")) * time.Millisecond
			name := fmt.Sprintf("n%02d", rapid.IntRange(0, n-1).Draw(t, "node"))
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				told = true
				listed := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID).Draw(t, "listed")
				l := List{Service: "d", Generation: uint64(now), Whole: true}
				for _, i := range listed {
					l.Entries = append(l.Entries, entry(i, 0))
				}
				j.Listed(l, id, now)
				clear(inUse)
				for _, i := range listed {
					inUse[id(fmt.Sprintf("n%02d", i))] = true
				}
				clear(cells)
			case 1:
				j.Failed()
			default:
				j.Showed(id(name), broker.Outcome(rapid.IntRange(0, 7).Draw(t, "how")), time.Second, now)
			}
			facts, _ := j.Tick(now)
			take(facts)
			for cell, had := range cells {
				left := false
				for _, e := range book.All() {
					left = left || e.Cell == cell && inUse[id(e.Name)]
				}
				if had && !left {
					t.Fatalf("cell %d has nothing left to try", cell)
				}
			}
		}
		most := rapid.IntRange(1, 12).Draw(t, "most")
		book.Bound(most, day, began+Moment(now.Milliseconds()))
		if book.Len() > most {
			t.Fatalf("%d entries, %d at most", book.Len(), most)
		}
	})
}

// Changes are what the disk has to be told: replayed over what it held, they give the book.
func TestChangesReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book, disk := NewBook(Head{}, nil), map[string]Entry{}
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			l := List{Service: "d", Generation: uint64(step), Whole: rapid.Bool().Draw(t, "whole")}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 9, rapid.ID).Draw(t, "named") {
				e := entry(i, 0)
				e.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
				l.Entries = append(l.Entries, e)
			}
			now := began + Moment(step*5000)
			book.Listed(l, now)
			book.Forget([]string{fmt.Sprintf("n%02d", rapid.IntRange(0, 9).Draw(t, "forgotten"))})
			c, _ := book.Changes()
			for _, e := range c.Put {
				disk[e.Name] = e
			}
			for _, name := range c.Removed {
				delete(disk, name)
			}
			if len(disk) != book.Len() {
				t.Fatalf("%d on disk, %d in the book", len(disk), book.Len())
			}
			for _, e := range book.All() {
				if d := disk[e.Name]; !d.same(&e) || d.Told != e.Told {
					t.Fatalf("%+v on disk, %+v in the book", d, e)
				}
			}
		}
	})
}

// Knocks come often, calls to a service that does not answer ever more rarely, and an answer ends that.
func TestPacer(t *testing.T) {
	pace := Pace{KnockEvery: 200 * time.Millisecond, PerCall: 2 * time.Millisecond, MostDelay: 500 * time.Millisecond, Brokers: 100}
	p := NewPacer(pace, 7)
	for range 1000 {
		if k, d := p.Knock(), p.Door(); k < 100*time.Millisecond || k > 300*time.Millisecond || d < 0 || d > 200*time.Millisecond {
			t.Fatalf("knock after %v, call %v later", k, d)
		}
	}
	last := time.Duration(0)
	for range 10 {
		if w := p.Jammed(); w < last/2 || w > jamMost {
			t.Fatalf("left alone for %v after %v", w, last)
		} else {
			last = w
		}
	}
	if p.Limit() != limitMost {
		t.Errorf("a call may take %v", p.Limit())
	}
	p.Answered()
	if p.Limit() != limitFirst || p.Jammed() > jamFirst {
		t.Error("not forgotten")
	}
	q, apart := NewPacer(pace, 8), false
	for range 2 {
		apart = apart || p.Knock() != q.Knock()
	}
	if !apart {
		t.Error("two brokers in step")
	}
}

// What a turn costs does not grow with the list.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []Entry
			for i := range n {
				e := entry(i%100, day)
				e.Name = fmt.Sprintf("%04x", i)
				all = append(all, e)
			}
			j := NewJudge(policy, NewBook(Head{}, all), began)
			j.Begin(id)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Millisecond
				j.Showed(id(fmt.Sprintf("%04x", i%50)), broker.OK, time.Millisecond, now)
				j.Tick(now)
			}
		})
	}
}

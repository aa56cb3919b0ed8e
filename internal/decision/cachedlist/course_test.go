package cachedlist

// This file tests random courses of the book, the pacer, and cost.

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/decision"
)

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
		barred := map[decision.NodeID]bool{}
		for i := range n {
			e := entry(i, time.Duration(rapid.IntRange(0, 35).Draw(t, "days"))*day)
			e.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
			barred[id(e.Name)] = e.State != Ready || began.Since(e.Confirmed) > policy.Oldest
			all = append(all, e)
		}
		book := NewBook(Head{}, all)
		j := NewJudge(policy, book, began)
		inUse, cells := map[decision.NodeID]bool{}, map[int]bool{}
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
				j.Showed(id(name), decision.Outcome(rapid.IntRange(0, 7).Draw(t, "how")), time.Second, now)
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
				j.Showed(id(fmt.Sprintf("%04x", i%50)), decision.OK, time.Millisecond, now)
				j.Tick(now)
			}
		})
	}
}

package cachedlist

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/decision"
)

// For each entry, the later of the cached and the configured version prevails.
func TestMergeConfigured(t *testing.T) {
	saved := func(i int, s State, started Timestamp, gen uint64) Entry {
		e := entry(i, time.Hour)
		e.State, e.StartedAt, e.Generation = s, started, gen
		return e
	}
	for _, c := range []struct {
		what          string
		service       string
		generation    uint64
		given, wanted []State // Ready, Draining, Ended, or absent (3), of nodes 0 to 2
		started       Timestamp
	}{
		{"an older list of the same service is ignored", "d", 30, []State{Draining, Ready, Ready}, []State{Ready, Draining, Ended}, 0},
		{"a newer list of the same service prevails", "d", 50, []State{Draining, Ready, Ready}, []State{Draining, Ready, Ready}, 0},
		{"an endpoint missing from a newer list is ended", "d", 50, []State{3, Ready, Ready}, []State{Ended, Ready, Ready}, 0},
		{"a list of another service can begin a drain, but not end one", "e", 50, []State{Draining, Ready, Ready},
			[]State{Draining, Draining, Ended}, 0},
		{"a later start in a list of another service prevails", "e", 50, []State{Ready, Ready, Ready}, []State{Ready, Ready, Ready}, 90},
	} {
		table := NewEntryTable(Head{Service: "d", Generation: 40}, []Entry{saved(0, Ready, 0, 10), saved(1, Draining, 0, 38), saved(2, Ended, 0, 39)})
		l := List{Service: c.service, Generation: c.generation, Full: true}
		for i, s := range c.given {
			if s != 3 {
				l.Entries = append(l.Entries, saved(i, s, c.started, 0))
			}
		}
		table.MergeConfigured(l, startedAt)
		for i, want := range c.wanted {
			if e, _ := table.Get(fmt.Sprintf("n%02d", i)); e.State != want {
				t.Errorf("%s: node %d is %v, want %v", c.what, i, e.State, want)
			}
		}
	}
}

// In random sequences: no cell in use is left without a usable endpoint, excluded entries stay excluded until discovery sends a list, and
// eviction keeps a table within its limit.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		var all []Entry
		excluded := map[decision.NodeID]bool{}
		for i := range n {
			e := entry(i, time.Duration(rapid.IntRange(0, 35).Draw(t, "days"))*day)
			e.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
			excluded[id(e.Name)] = e.State != Ready || startedAt.Since(e.ConfirmedAt) > policy.MaxAge
			all = append(all, e)
		}
		table := NewEntryTable(Head{}, all)
		evaluator := NewEvaluator(policy, table, startedAt)
		inUse, cells := map[decision.NodeID]bool{}, map[int]bool{}
		listed := false
		apply := func(updates []EndpointUpdate) {
			for _, u := range updates {
				if inUse[u.ID] = u.Usable; u.Usable && excluded[u.ID] && !listed {
					t.Fatalf("%s is excluded, but an update puts it into use", u.Entry.Name)
				}
			}
		}
		apply(evaluator.Start(id))
		for _, e := range table.SortedByName() {
			cells[e.Cell] = cells[e.Cell] || inUse[id(e.Name)]
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 40000).Draw(t, "ms")) * time.Millisecond
			name := fmt.Sprintf("n%02d", rapid.IntRange(0, n-1).Draw(t, "node"))
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				listed = true
				named := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID).Draw(t, "listed")
				l := List{Service: "d", Generation: uint64(now), Full: true}
				for _, i := range named {
					l.Entries = append(l.Entries, entry(i, 0))
				}
				evaluator.ApplyList(l, id, now)
				clear(inUse)
				for _, i := range named {
					inUse[id(fmt.Sprintf("n%02d", i))] = true
				}
				clear(cells)
			case 1:
				evaluator.DiscoveryFailed()
			default:
				evaluator.RecordOutcome(id(name), decision.Outcome(rapid.IntRange(0, 7).Draw(t, "outcome")), time.Second, now)
			}
			updates, _ := evaluator.Tick(now)
			apply(updates)
			for cell, had := range cells {
				left := false
				for _, e := range table.SortedByName() {
					left = left || e.Cell == cell && inUse[id(e.Name)]
				}
				if had && !left {
					t.Fatalf("cell %d has no usable endpoint left", cell)
				}
			}
		}
		most := rapid.IntRange(1, 12).Draw(t, "most")
		table.Evict(most, day, startedAt+Timestamp(now.Milliseconds()))
		if table.Len() > most {
			t.Fatalf("%d entries after eviction, want at most %d", table.Len(), most)
		}
	})
}

// Changes applied to the stored entries give the entries of the table.
func TestChangesReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, disk := NewEntryTable(Head{}, nil), map[string]Entry{}
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			l := List{Service: "d", Generation: uint64(step), Full: rapid.Bool().Draw(t, "whole")}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 9, rapid.ID).Draw(t, "named") {
				e := entry(i, 0)
				e.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
				l.Entries = append(l.Entries, e)
			}
			now := startedAt + Timestamp(step*5000)
			table.ApplyList(l, now)
			table.Forget([]string{fmt.Sprintf("n%02d", rapid.IntRange(0, 9).Draw(t, "forgotten"))})
			c, _ := table.CollectChanges()
			for _, e := range c.Put {
				disk[e.Name] = e
			}
			for _, name := range c.Removed {
				delete(disk, name)
			}
			if len(disk) != table.Len() {
				t.Fatalf("%d entries on disk, %d in the table", len(disk), table.Len())
			}
			for _, e := range table.SortedByName() {
				if d := disk[e.Name]; !d.sameContent(&e) || d.StateSince != e.StateSince {
					t.Fatalf("%+v on disk, %+v in the table", d, e)
				}
			}
		}
	})
}

// The cost of a tick must not grow with the length of the list.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []Entry
			for i := range n {
				e := entry(i%100, day)
				e.Name = fmt.Sprintf("%04x", i)
				all = append(all, e)
			}
			evaluator := NewEvaluator(policy, NewEntryTable(Head{}, all), startedAt)
			evaluator.Start(id)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Millisecond
				evaluator.RecordOutcome(id(fmt.Sprintf("%04x", i%50)), decision.OK, time.Millisecond, now)
				evaluator.Tick(now)
			}
		})
	}
}

package cachedlist

import (
	"net/netip"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Another broker's word on one node takes that one out of use and confirms no other: all else of an old list stays doubtful and
// eased in, and nothing that was to be told of the node before brings it back.
func TestWordConfirmsNoOther(t *testing.T) {
	start := Timestamp(1_700_000_000_000)
	var entries []Entry
	for _, name := range []string{"a", "b", "c"} {
		entries = append(entries, Entry{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1"), ConfirmedAt: start - Timestamp((7 * 24 * time.Hour).Milliseconds())})
	}
	id := func(name string) decision.NodeID { return decision.NodeID{Port: uint16(name[0])} }
	j := NewEvaluator(Policy{HalfLife: 7 * 24 * time.Hour, MaxAge: 30 * 24 * time.Hour, EjectionThreshold: 0.95, TrialInterval: time.Second}, NewEntryTable(Head{}, entries), start)
	j.Start(id)
	j.DiscoveryFailed()
	for i := range 40 {
		j.RecordOutcome(id("a"), decision.ConnectFailed, time.Millisecond, time.Duration(i)*100*time.Millisecond)
	}
	before, _ := j.ErrorProbability(id("b"), 4*time.Second)
	j.ApplyGossip("a", id("a"), Draining, 0, 4*time.Second)
	j.ApplyGossip("nobody", id("n"), Ended, 0, 4*time.Second)
	after, standing := j.ErrorProbability(id("b"), 4*time.Second)
	for now := 4 * time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
		facts, _ := j.Tick(now)
		for _, f := range facts {
			if f.ID == id("a") && f.Usable {
				t.Fatalf("a node that drains is to be used at %v", now)
			}
		}
	}
	if after != before || standing == Confirmed || before == 0 {
		t.Errorf("doubt of another node went from %v to %v, %v", before, after, standing)
	}
	if e, _ := j.book.Get("a"); e.State != Draining || j.cells[0] != 2 {
		t.Errorf("%+v, %d in its cell", e, j.cells[0])
	}
}

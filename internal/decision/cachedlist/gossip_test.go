package cachedlist

import (
	"net/netip"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Gossip on one endpoint takes that one out of use and confirms no other: all else of an old list stays unconfirmed and
// in slow start, and no update of the endpoint from before brings it back.
func TestGossipConfirmsNoOther(t *testing.T) {
	start := Timestamp(1_700_000_000_000)
	var entries []Entry
	for _, name := range []string{"a", "b", "c"} {
		confirmedAt := start - Timestamp((7 * 24 * time.Hour).Milliseconds())
		entries = append(entries, Entry{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1"), ConfirmedAt: confirmedAt})
	}
	id := func(name string) decision.NodeID { return decision.NodeID{Port: uint16(name[0])} }
	weekly := Policy{HalfLife: 7 * 24 * time.Hour, MaxAge: 30 * 24 * time.Hour, EjectionThreshold: 0.95, TrialInterval: time.Second}
	evaluator := NewEvaluator(weekly, NewEntryTable(Head{}, entries), start)
	evaluator.Start(id)
	evaluator.DiscoveryFailed()
	for i := range 40 {
		evaluator.RecordOutcome(id("a"), decision.ConnectFailed, time.Millisecond, time.Duration(i)*100*time.Millisecond)
	}
	before, _ := evaluator.ErrorProbability(id("b"), 4*time.Second)
	evaluator.ApplyGossip("a", id("a"), Draining, 0, 4*time.Second)
	evaluator.ApplyGossip("nobody", id("n"), Ended, 0, 4*time.Second)
	after, status := evaluator.ErrorProbability(id("b"), 4*time.Second)
	for now := 4 * time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
		updates, _ := evaluator.Tick(now)
		for _, f := range updates {
			if f.ID == id("a") && f.Usable {
				t.Fatalf("a node that drains is to be used at %v", now)
			}
		}
	}
	if after != before || status == Confirmed || before == 0 {
		t.Errorf("error probability of another endpoint went from %v to %v, %v", before, after, status)
	}
	if e, _ := evaluator.table.Get("a"); e.State != Draining || evaluator.usableInCell[0] != 2 {
		t.Errorf("%+v, %d in its cell", e, evaluator.usableInCell[0])
	}
}

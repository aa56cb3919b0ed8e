package cachedlist

import (
	"net/netip"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Gossip that one endpoint drains takes it out of use and confirms no other: the other entries of an old list stay unconfirmed, and no
// earlier update brings the endpoint back.
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
		for _, u := range updates {
			if u.ID == id("a") && u.Usable {
				t.Fatalf("an update at %v puts the draining endpoint back into use", now)
			}
		}
	}
	if after != before || status == Confirmed || before == 0 {
		t.Errorf("another endpoint: error probability went from %v to %v, status %v", before, after, status)
	}
	if e, _ := evaluator.table.Get("a"); e.State != Draining || evaluator.usableInCell[0] != 2 {
		t.Errorf("entry %+v, %d usable in its cell, want 2", e, evaluator.usableInCell[0])
	}
}

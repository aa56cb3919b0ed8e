package connlease

import (
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

func FuzzDecodeDemand(f *testing.F) {
	f.Add(EncodeDemand(3, []ConnectionCount{{LeaseKey{decision.NodeID{Addr: [4]byte{10, 0, 0, 1}, Port: 7}, 2}, 300}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		version, rows, err := DecodeDemand(b)
		if err != nil {
			return
		}
		again, same, err := DecodeDemand(EncodeDemand(version, rows))
		if err != nil || again != version || !slices.Equal(rows, same) {
			t.Errorf("%v was decoded as %v after encoding", rows, same)
		}
	})
}

// Reported demand rises at once, falls slowly, stays the same under small fluctuations, and uses the reserved connections first.
func TestDemandTracker(t *testing.T) {
	n, k := NewDemandTracker(time.Second), LeaseKey{decision.NodeID{Port: 7}, 1}
	report := func(reserved int) int {
		for _, r := range n.AboveReserved(map[decision.NodeID]int{k.Node: reserved}) {
			return r.Connections
		}
		return 0
	}
	n.Observe(k, 4.2)
	if got := report(0); got != 5 {
		t.Errorf("demand of 4.2 is reported as %d, want 5", got)
	}
	if got := report(2); got != 3 {
		t.Errorf("demand of 4.2 above a reserve of 2 is reported as %d, want 3", got)
	}
	for i := range 40 { // demand fluctuates between 3.8 and 4.2
		n.Decay(time.Duration(i) * 100 * time.Millisecond)
		n.Observe(k, 3.8+0.4*float64(i%2))
		if got := report(0); got != 5 {
			t.Fatalf("demand that fluctuates between 3.8 and 4.2 is reported as %d, want 5", got)
		}
	}
	n.Decay(5 * time.Second)
	if got := report(0); got < 2 || got > 3 {
		t.Errorf("about one half-life later demand is reported as %d, want 2 or 3", got)
	}
	n.Decay(15 * time.Second)
	if got := report(0); got != 0 {
		t.Errorf("ten seconds later demand is reported as %d, want 0", got)
	}
}

package connlease

import (
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

func FuzzDecode(f *testing.F) {
	f.Add(EncodeDemand(3, []ConnectionCount{{LeaseKey{decision.NodeID{Addr: [4]byte{10, 0, 0, 1}, Port: 7}, 2}, 300}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		version, rows, ok := DecodeDemand(b)
		if !ok {
			return
		}
		again, same, ok := DecodeDemand(EncodeDemand(version, rows))
		if !ok || again != version || !slices.Equal(rows, same) {
			t.Errorf("%v was read again as %v", rows, same)
		}
	})
}

// TestNeeds has a need rise at once, fall slowly, stay where it shakes, and the floor be used first.
func TestNeeds(t *testing.T) {
	n, k := NewDemandTracker(time.Second), LeaseKey{decision.NodeID{Port: 7}, 1}
	tell := func(floor int) int {
		for _, r := range n.AboveReserved(map[decision.NodeID]int{k.Node: floor}) {
			return r.Connections
		}
		return 0
	}
	n.Observe(k, 4.2)
	if got := tell(0); got != 5 {
		t.Errorf("a need of 4.2 is told as %d", got)
	}
	if got := tell(2); got != 3 {
		t.Errorf("above a floor of 2: %d", got)
	}
	for i := range 40 { // it shakes between 3.8 and 4.2
		n.Decay(time.Duration(i) * 100 * time.Millisecond)
		n.Observe(k, 3.8+0.4*float64(i%2))
		if got := tell(0); got != 5 {
			t.Fatalf("a need that shakes is told as %d", got)
		}
	}
	n.Decay(5 * time.Second)
	if got := tell(0); got < 2 || got > 3 {
		t.Errorf("a second later, a half: %d", got)
	}
	n.Decay(15 * time.Second)
	if got := tell(0); got != 0 {
		t.Errorf("ten seconds later: %d", got)
	}
}

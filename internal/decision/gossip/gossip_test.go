package gossip

import (
	"testing"

	"flaxfront/internal/decision"
)

func node(n uint16) decision.NodeID { return decision.NodeID{Port: n} }

// Accept accepts newer updates of known nodes from the same discovery, unless they make a draining node ready without a new start.
func TestAccept(t *testing.T) {
	for name, c := range map[string]struct {
		update  EndpointUpdate
		known   bool
		state   decision.EndpointState
		started int64
		want    bool
	}{
		"a drain":             {EndpointUpdate{6, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, true},
		"a removal":           {EndpointUpdate{6, 1, node(1), decision.Removed, 0}, true, decision.Draining, 0, true},
		"a new start":         {EndpointUpdate{6, 1, node(1), decision.Ready, 9}, true, decision.Draining, 0, true},
		"ready again":         {EndpointUpdate{6, 1, node(1), decision.Ready, 0}, true, decision.Draining, 0, false},
		"an earlier process":  {EndpointUpdate{6, 1, node(1), decision.Ready, 3}, true, decision.Draining, 9, false},
		"older list version":  {EndpointUpdate{4, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"same list version":   {EndpointUpdate{5, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"another discovery":   {EndpointUpdate{6, 2, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"a node never listed": {EndpointUpdate{6, 1, node(2), decision.Draining, 0}, false, decision.Ready, 0, false},
	} {
		filter := NewUpdateFilter(1)
		filter.RecordLocal(EndpointUpdate{5, 1, node(1), decision.Ready, 0}, true)
		if got := filter.Accept(c.update, c.known, c.state, c.started); got != c.want {
			t.Errorf("%s: accepted is %v", name, got)
		}
	}
}

// The number of remembered nodes is bounded, and an encoded update decodes to itself.
func TestBounds(t *testing.T) {
	filter := NewUpdateFilter(1)
	for i := range uint16(200) {
		update := EndpointUpdate{uint64(i) + 1, 1, node(i), decision.Removed, int64(i)}
		if !filter.RecordLocal(update, false) || filter.RecordLocal(update, false) || filter.RecordLocal(update, true) {
			t.Fatal("a change is not sent exactly once, or a node of a full list is sent")
		}
		if decoded, ok := Decode(update.AppendTo(nil)); !ok || decoded != update {
			t.Fatalf("decoded %+v, %v", decoded, ok)
		}
	}
	if len(filter.RecentlyRemoved()) != maxRemoved || filter.RecentlyRemoved()[maxRemoved-1].Node != node(199) {
		t.Errorf("%d removed nodes remembered, or the last one is missing", len(filter.RecentlyRemoved()))
	}
	filter.Forget(101, func(id decision.NodeID) bool { return id.Port < 50 })
	if len(filter.versions) != 150 {
		t.Errorf("%d list versions remembered, want 150", len(filter.versions))
	}
	for _, bad := range [][]byte{nil, make([]byte, 26), append(make([]byte, 18), 9, 0, 0, 0, 0, 0, 0, 0, 0), append(make([]byte, 18), 0, 255, 0, 0, 0, 0, 0, 0, 0)} {
		if _, ok := Decode(bad); ok {
			t.Errorf("%x was decoded", bad)
		}
	}
}

package gossip

import (
	"testing"

	"flaxfront/internal/decision"
)

func node(n uint16) decision.NodeID { return decision.NodeID{Port: n} }

// Which updates of other brokers count, and which do not.
func TestAccept(t *testing.T) {
	for name, c := range map[string]struct {
		update  EndpointUpdate
		known   bool
		state   decision.EndpointState
		started int64
		want    bool
	}{
		"a drain":             {EndpointUpdate{6, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, true},
		"an end":              {EndpointUpdate{6, 1, node(1), decision.Removed, 0}, true, decision.Draining, 0, true},
		"a new start":         {EndpointUpdate{6, 1, node(1), decision.Ready, 9}, true, decision.Draining, 0, true},
		"ready again":         {EndpointUpdate{6, 1, node(1), decision.Ready, 0}, true, decision.Draining, 0, false},
		"an earlier process":  {EndpointUpdate{6, 1, node(1), decision.Ready, 3}, true, decision.Draining, 9, false},
		"late":                {EndpointUpdate{4, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"heard already":       {EndpointUpdate{5, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"another discovery":   {EndpointUpdate{6, 2, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"a node never listed": {EndpointUpdate{6, 1, node(2), decision.Draining, 0}, false, decision.Ready, 0, false},
	} {
		filter := NewUpdateFilter(1)
		filter.RecordLocal(EndpointUpdate{5, 1, node(1), decision.Ready, 0}, true)
		if got := filter.Accept(c.update, c.known, c.state, c.started); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// What is remembered is bounded, and what was encoded reads back.
func TestBounds(t *testing.T) {
	filter := NewUpdateFilter(1)
	for i := range uint16(200) {
		update := EndpointUpdate{uint64(i) + 1, 1, node(i), decision.Removed, int64(i)}
		if !filter.RecordLocal(update, false) || filter.RecordLocal(update, false) || filter.RecordLocal(update, true) {
			t.Fatal("a change is told on once, a whole list never")
		}
		if decoded, ok := Decode(update.AppendTo(nil)); !ok || decoded != update {
			t.Fatalf("%+v, %v", decoded, ok)
		}
	}
	if len(filter.RecentlyRemoved()) != maxRemoved || filter.RecentlyRemoved()[maxRemoved-1].Node != node(199) {
		t.Errorf("%d nodes that left", len(filter.RecentlyRemoved()))
	}
	filter.Forget(101, func(id decision.NodeID) bool { return id.Port < 50 })
	if len(filter.versions) != 150 {
		t.Errorf("%d nodes remembered", len(filter.versions))
	}
	for _, bad := range [][]byte{nil, make([]byte, 26), append(make([]byte, 18), 9, 0, 0, 0, 0, 0, 0, 0, 0), append(make([]byte, 18), 0, 255, 0, 0, 0, 0, 0, 0, 0)} {
		if _, ok := Decode(bad); ok {
			t.Errorf("%x was read", bad)
		}
	}
}

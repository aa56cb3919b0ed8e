package gossip

import (
	"testing"

	"flaxfront/internal/decision"
)

func node(n uint16) decision.NodeID { return decision.NodeID{Port: n} }

// Which words count, and which do not.
func TestHear(t *testing.T) {
	for name, c := range map[string]struct {
		w       Word
		known   bool
		state   decision.EndpointState
		started int64
		want    bool
	}{
		"a drain":             {Word{6, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, true},
		"an end":              {Word{6, 1, node(1), decision.Removed, 0}, true, decision.Draining, 0, true},
		"a new start":         {Word{6, 1, node(1), decision.Ready, 9}, true, decision.Draining, 0, true},
		"ready again":         {Word{6, 1, node(1), decision.Ready, 0}, true, decision.Draining, 0, false},
		"an earlier process":  {Word{6, 1, node(1), decision.Ready, 3}, true, decision.Draining, 9, false},
		"late":                {Word{4, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"heard already":       {Word{5, 1, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"another discovery":   {Word{6, 2, node(1), decision.Draining, 0}, true, decision.Ready, 0, false},
		"a node never listed": {Word{6, 1, node(2), decision.Draining, 0}, false, decision.Ready, 0, false},
	} {
		b := NewBook(1)
		b.Told(Word{5, 1, node(1), decision.Ready, 0}, true)
		if got := b.Hear(c.w, c.known, c.state, c.started); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// What is remembered is bounded, and what was encoded reads back.
func TestBounds(t *testing.T) {
	b := NewBook(1)
	for i := range uint16(200) {
		w := Word{uint64(i) + 1, 1, node(i), decision.Removed, int64(i)}
		if !b.Told(w, false) || b.Told(w, false) || b.Told(w, true) {
			t.Fatal("a change is told on once, a whole list never")
		}
		if back, ok := Read(w.Append(nil)); !ok || back != w {
			t.Fatalf("%+v, %v", back, ok)
		}
	}
	if len(b.Left()) != mostLeft || b.Left()[mostLeft-1].Node != node(199) {
		t.Errorf("%d nodes that left", len(b.Left()))
	}
	b.Forget(101, func(id decision.NodeID) bool { return id.Port < 50 })
	if len(b.told) != 150 {
		t.Errorf("%d nodes remembered", len(b.told))
	}
	for _, bad := range [][]byte{nil, make([]byte, 26), append(make([]byte, 18), 9, 0, 0, 0, 0, 0, 0, 0, 0), append(make([]byte, 18), 0, 255, 0, 0, 0, 0, 0, 0, 0)} {
		if _, ok := Read(bad); ok {
			t.Errorf("%x was read", bad)
		}
	}
}

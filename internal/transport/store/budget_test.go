package store

import (
	"io"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// purse is a budget of so many connections: one is the broker's, the others belong to tenant 1.
type purse struct {
	floor, own int
	has        map[int]int
	byNode     int
}

func (p *purse) Open(_ decision.NodeID, tenant int) Leave {
	switch {
	case tenant == 1 && p.has[1] < p.own:
		p.has[1]++
		return Own
	case p.floor > 0:
		p.floor--
		p.has[tenant]++
		return Floor
	}
	return No
}

func (p *purse) Closed(_ decision.NodeID, tenant int, byNode bool) {
	if p.has[tenant]--; byNode {
		p.byNode++
	}
}

func (b *bench) part(id string, tenant int) {
	b.Send(at, []*Part{{ID: id, Tenant: tenant, Text: "x", Deadline: time.Hour, Node: at}})
	b.settle()
}

// TestBudget has connections opened as far as the budget gives leave, parts keep to their tenants' and to the broker's, and what
// is not held any more closed: idle ones first, those in use once they have done, or at once.
func TestBudget(t *testing.T) {
	run(t, Limits{Streams: 1, Idle: time.Hour, Dial: time.Second, Silent: time.Hour, Conns: 9}, func(b *bench) {
		p := &purse{floor: 1, own: 2, has: map[int]int{}}
		b.Keep(p)
		b.part("a.1", 1)
		b.part("a.2", 1)
		b.part("b.1", 2) // over the broker's
		b.part("b.2", 2) // waits unread at the node over the same
		b.part("a.3", 1) // over the least laden
		if len(b.pipes) != 3 || p.has[1] != 2 || p.has[2] != 1 {
			t.Fatalf("%d connections, %v", len(b.pipes), p.has)
		}
		b.pipes[1].say <- frame('a', "a.2 served 1 -\nv")
		b.settle()
		b.expect("a.2 1v")
		left := b.Shed(at, 1, 1, false)
		if b.settle(); left != 0 || !b.pipes[1].closed || p.has[1] != 1 {
			t.Errorf("an idle one: %d left, %v", left, p.has)
		}
		for range 2 { // what is asked for again is the same
			if left := b.Shed(at, 1, 1, false); left != 1 || b.pipes[0].closed {
				t.Errorf("one in use: %d left, closed %t", left, b.pipes[0].closed)
			}
		}
		p.own = 0
		b.part("a.4", 1) // not over the one that is to go
		b.pipes[0].say <- frame('a', "a.3 served 1 -\nv")
		b.pipes[0].say <- frame('a', "a.1 served 1 -\nv")
		b.settle()
		b.expect("a.1 1v", "a.3 1v")
		b.Sweep(b.since())
		if b.settle(); !b.pipes[0].closed || p.has[1] != 0 {
			t.Errorf("a drained one stays: %v", p.has)
		}
		b.Shed(at, 2, 1, true)
		b.settle()
		b.expect("a.4 5", "b.1 5", "b.2 5") // reset
		b.part("b.3", 2)
		b.expect("b.3 7") // the purse is empty: never sent, and the node is not to blame
		p.floor = 1
		b.part("b.4", 2)
		b.pipes[3].end(io.EOF)
		b.settle()
		if p.byNode != 1 || p.has[2] != 0 {
			t.Errorf("an end by the node was told %d times, %v", p.byNode, p.has)
		}
	})
}

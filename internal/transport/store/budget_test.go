package store

import (
	"io"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// fakeBudget is a budget of perTenant connections for tenant 1, and of shared ones for all tenants.
type fakeBudget struct {
	shared, perTenant int
	open              map[int]int
	byNode            int
}

func (p *fakeBudget) Open(_ decision.NodeID, tenant int) OpenDecision {
	switch {
	case tenant == 1 && p.open[1] < p.perTenant:
		p.open[1]++
		return OpenForTenant
	case p.shared > 0:
		p.shared--
		p.open[tenant]++
		return OpenShared
	}
	return Denied
}

func (p *fakeBudget) Closed(_ decision.NodeID, tenant int, byNode bool) {
	if p.open[tenant]--; byNode {
		p.byNode++
	}
}

func (b *poolTest) sendFor(id string, tenant int) {
	b.Send(testNode, []*Subrequest{{ID: id, Tenant: tenant, Text: "x", Deadline: time.Hour, Node: testNode}})
	b.handleEvents()
}

// The pool opens connections only as far as the budget allows, and sends attempts over their tenant's and over shared connections only. Released
// connections are closed: idle ones first, those in use once they are idle, or all at once.
func TestBudget(t *testing.T) {
	runPoolTest(t, Limits{Streams: 1, Idle: time.Hour, Dial: time.Second, Silent: time.Hour, Conns: 9}, func(b *poolTest) {
		p := &fakeBudget{shared: 1, perTenant: 2, open: map[int]int{}}
		b.SetBudget(p)
		b.sendFor("a.1", 1)
		b.sendFor("a.2", 1)
		b.sendFor("b.1", 2) // over the shared one
		b.sendFor("b.2", 2) // also over the shared one; waits in the node's receive buffer
		b.sendFor("a.3", 1) // over the one with the fewest in flight
		if len(b.fakeConns) != 3 || p.open[1] != 2 || p.open[2] != 1 {
			t.Fatalf("%d connections, %v", len(b.fakeConns), p.open)
		}
		b.fakeConns[1].incoming <- frame('a', "a.2 served 1 -\nv")
		b.handleEvents()
		b.expect("a.2 1v")
		left := b.ReleaseConnections(testNode, 1, 1, false)
		if b.handleEvents(); left != 0 || !b.fakeConns[1].closed || p.open[1] != 1 {
			t.Errorf("release of an idle connection: %d retired, open %v", left, p.open)
		}
		for range 2 { // a repeated release selects the same connection
			if left := b.ReleaseConnections(testNode, 1, 1, false); left != 1 || b.fakeConns[0].closed {
				t.Errorf("release of a connection in use: %d retired, closed %t", left, b.fakeConns[0].closed)
			}
		}
		p.perTenant = 0
		b.sendFor("a.4", 1) // not over the retired one
		b.fakeConns[0].incoming <- frame('a', "a.3 served 1 -\nv")
		b.fakeConns[0].incoming <- frame('a', "a.1 served 1 -\nv")
		b.handleEvents()
		b.expect("a.1 1v", "a.3 1v")
		b.Sweep(b.since())
		if b.handleEvents(); !b.fakeConns[0].closed || p.open[1] != 0 {
			t.Errorf("a retired connection that became idle stays open: %v", p.open)
		}
		b.ReleaseConnections(testNode, 2, 1, true)
		b.handleEvents()
		b.expect("a.4 5", "b.1 5", "b.2 5") // reset
		b.sendFor("b.3", 2)
		b.expect("b.3 7") // the budget allows none: never sent, which is not the node's fault
		p.shared = 1
		b.sendFor("b.4", 2)
		b.fakeConns[3].end(io.EOF)
		b.handleEvents()
		if p.byNode != 1 || p.open[2] != 0 {
			t.Errorf("the budget was told of %d ends by the node, open %v", p.byNode, p.open)
		}
	})
}

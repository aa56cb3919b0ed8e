package server

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/cluster/fleet"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision/broker"
	"flaxfront/internal/decision/ledger"
	"flaxfront/internal/decision/pins"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// listening is a module that keeps what it is told of nodes, and sends what it is given to one of them.
type listening struct {
	state map[broker.NodeID]broker.ListState
	to    broker.NodeID
}

func (m *listening) Turn(_ time.Duration, events []broker.Event, actions []broker.Action) []broker.Action {
	for _, e := range events {
		for _, n := range e.Entries {
			m.state[n.Node] = n.State
		}
		if e.Kind == broker.PartIn {
			actions = append(actions, broker.Action{Kind: broker.Send, ID: e.ID, Node: m.to})
		}
	}
	return actions
}

func nodeAt(name string, state broker.ListState) discovery.Node {
	return discovery.Node{Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Entry: broker.Entry{Node: discovery.ID(name), State: state}}
}

// An agreed drain lies over what discovery says, is acknowledged once nothing is out, lets nothing through from then on, and gives
// way to what discovery says by then.
func TestAgreedDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &listening{state: map[broker.NodeID]broker.ListState{}}
		l := newLoop(time.Now(), m, &broker.Terms{MaxOpen: 100, BatchParts: 8})
		hung := func(ctx context.Context, _ string, _ time.Duration) (store.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		l.pool = store.NewPool(ctx, store.Limits{Streams: 1, Idle: time.Minute, Dial: time.Second, Silent: time.Minute, Conns: 9}, hung, l.since,
			func(fn func() error) { go fn() }, func(store.Event) {}, l.subrequestEnded)
		under := decoded(t)
		l.under = &under
		l.agreed = newAgreed([]string{"a"})
		l.agreed.list = &(&fleetPart{}).list
		l.pins = newPinning(&operator.Fleet{}, &under)
		hintedTo := func() (to []broker.NodeID) {
			to, _, _ = l.pins.book.Choose(l.since(), 0, 0, &pins.Ask{}, nil)
			return to
		}
		var acks []uint64
		l.agreed.ack = func(_ broker.NodeID, number uint64) { acks = append(acks, number) }
		a, b := discovery.ID("a"), discovery.ID("b")
		l.list(&discovery.List{Whole: true, Nodes: []discovery.Node{nodeAt("a", broker.Ready), nodeAt("b", broker.Ready)}}, nil)
		m.to = a
		admit := func(id string) *search {
			s := &search{ask: &ask{id: id, parts: []askPart{{name: id + ".0", weight: 1}}}, deadline: l.since() + 5*time.Second,
				verdict: make(chan result, 1)}
			l.take(queryReceived{s})
			l.step()
			return s
		}
		admit("x")
		if l.pool.OutTo(a) != 1 {
			t.Fatal("nothing is out")
		}
		me := ledger.Broker{Incarnation: 1}
		l.take(viewed{&fleet.View{Me: me, Drains: []fleet.Drain{{Node: a, Number: 5}}}})
		l.step()
		l.step()
		if slices.Contains(hintedTo(), a) {
			t.Error("reads with a hint count on a drained node")
		}
		if m.state[a] != broker.Draining || m.state[b] != broker.Ready || len(acks) != 0 {
			t.Fatalf("told %v, acknowledged %v while a part is out", m.state, acks)
		}
		time.Sleep(6 * time.Second) // the part runs out of time
		l.step()
		l.step()
		if !slices.Equal(acks, []uint64{5}) {
			t.Fatalf("acknowledged %v", acks)
		}
		admit("y")
		if l.pool.OutTo(a) != 0 {
			t.Error("a part went to a node that was acknowledged as drained")
		}
		l.take(unacked{a, 5}) // the proposal was lost
		l.step()
		if !slices.Equal(acks, []uint64{5, 5}) {
			t.Errorf("acknowledged %v", acks)
		}
		l.take(viewed{&fleet.View{Me: me, Drains: []fleet.Drain{{Node: a, Number: 5, Acked: true}, {Node: b, Number: 6}}}})
		l.list(&discovery.List{Nodes: []discovery.Node{nodeAt("a", broker.Ready), nodeAt("b", broker.Gone)}}, nil)
		l.step()
		if m.state[a] != broker.Draining || m.state[b] != broker.Gone {
			t.Errorf("told %v: discovery's word on a node does not end its drain, and a drain revives none", m.state)
		}
		l.take(viewed{&fleet.View{Me: me}})
		l.step()
		if m.state[a] != broker.Ready || m.state[b] != broker.Gone {
			t.Errorf("after the drains told %v", m.state)
		}
		if !slices.Contains(hintedTo(), a) {
			t.Error("reads with a hint pass a node by whose drain has ended")
		}
	})
}

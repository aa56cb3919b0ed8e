package server

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/readpin"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/discovery"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// stateRecorder is a router that records the states of nodes that it is told, and sends every shard request to one node.
type stateRecorder struct {
	state map[decision.NodeID]decision.EndpointState
	to    decision.NodeID
}

func (m *stateRecorder) Step(_ time.Duration, events []decision.Event, actions []decision.Action) []decision.Action {
	for _, e := range events {
		for _, n := range e.Endpoints {
			m.state[n.Node] = n.State
		}
		if e.Kind == decision.ShardRequestReceived {
			actions = append(actions, decision.Action{Kind: decision.SendAttempt, ID: e.ID, Node: m.to})
		}
	}
	return actions
}

func nodeAt(name string, state decision.EndpointState) discovery.Node {
	return discovery.Node{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1"), Endpoint: decision.Endpoint{Node: discovery.IDOfName(name), State: state}}
}

// An agreed drain must override the node's state in the endpoint list. It is acknowledged once no attempt is in flight to the node, and
// nothing is sent to the node from then on. After its end the listed state counts again.
func TestAgreedDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		router := &stateRecorder{state: map[decision.NodeID]decision.EndpointState{}}
		l := newLoop(time.Now(), router, &decision.Settings{MaxInFlight: 100, MaxBatch: 8})
		hang := func(ctx context.Context, _ string, _ time.Duration) (store.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		l.pool = store.NewPool(ctx, store.Limits{Streams: 1, Idle: time.Minute, Dial: time.Second, Silent: time.Minute, Conns: 9}, hang, l.since,
			func(fn func() error) { go fn() }, func(store.Event) {}, l.attemptEnded)
		loopTerms := testTerms(t)
		l.settings = &loopTerms
		l.useControlPlane(newControlPlaneView([]string{"a"}))
		l.controlPlane.endpoints = &(&tierControlPlane{}).endpoints
		l.useReadPins(newReadPinTracker(&operator.ControlPlaneSettings{}, &loopTerms))
		eligible := func() (to []decision.NodeID) {
			to, _, _ = l.readPins.positions.EligibleReplicas(l.since(), 0, 0, &readpin.Requirement{}, nil)
			return to
		}
		var acks []uint64
		l.controlPlane.proposeAck = func(_ decision.NodeID, number uint64) { acks = append(acks, number) }
		a, b := discovery.IDOfName("a"), discovery.IDOfName("b")
		l.handleList(&discovery.List{Full: true, Nodes: []discovery.Node{nodeAt("a", decision.Ready), nodeAt("b", decision.Ready)}}, nil)
		router.to = a
		admit := func(id string) *activeQuery {
			s := &activeQuery{Request: &query.Request{ID: id, Shards: []query.ShardRequest{{Name: id + ".0", Weight: 1}}}, deadline: l.since() + 5*time.Second,
				result: make(chan query.Result, 1)}
			l.handle(queryReceived{s})
			l.advance()
			return s
		}
		admit("x")
		if l.pool.InFlightTo(a) != 1 {
			t.Fatal("no attempt in flight")
		}
		self := statemachine.Broker{Incarnation: 1}
		l.handle(viewReceived{&controlplane.View{Self: self, Drains: []controlplane.Drain{{Node: a, Number: 5}}}})
		l.advance()
		l.advance()
		if slices.Contains(eligible(), a) {
			t.Error("a drained node is an eligible replica")
		}
		if router.state[a] != decision.Draining || router.state[b] != decision.Ready || len(acks) != 0 {
			t.Fatalf("node states %v, drains acknowledged %v while an attempt is in flight", router.state, acks)
		}
		time.Sleep(6 * time.Second) // past the attempt's deadline
		l.advance()
		l.advance()
		if !slices.Equal(acks, []uint64{5}) {
			t.Fatalf("drains acknowledged: %v", acks)
		}
		admit("y")
		if l.pool.InFlightTo(a) != 0 {
			t.Error("an attempt was sent to a node whose drain was acknowledged")
		}
		l.handle(drainAckFailed{a, 5}) // the proposal was lost
		l.advance()
		if !slices.Equal(acks, []uint64{5, 5}) {
			t.Errorf("drains acknowledged after a lost proposal: %v", acks)
		}
		l.handle(viewReceived{&controlplane.View{Self: self, Drains: []controlplane.Drain{{Node: a, Number: 5, Acked: true}, {Node: b, Number: 6}}}})
		l.handleList(&discovery.List{Nodes: []discovery.Node{nodeAt("a", decision.Ready), nodeAt("b", decision.Removed)}}, nil)
		l.advance()
		if router.state[a] != decision.Draining || router.state[b] != decision.Removed {
			t.Errorf("node states %v: the endpoint list must not end a drain, and a drain must not bring back a removed node", router.state)
		}
		l.handle(viewReceived{&controlplane.View{Self: self}})
		l.advance()
		if router.state[a] != decision.Ready || router.state[b] != decision.Removed {
			t.Errorf("node states after the drains: %v", router.state)
		}
		if !slices.Contains(eligible(), a) {
			t.Error("a node whose drain has ended is no eligible replica")
		}
	})
}

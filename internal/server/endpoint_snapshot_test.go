package server

import (
	"errors"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// A leader proposes an epoch once discovery has answered and the list has been stable for epochInterval, however often discovery repeats it.
func TestEpochIsProposedForStableList(t *testing.T) {
	now := time.Hour
	l := newLoop(time.Now(), nil, &decision.Settings{})
	l.clock = func() time.Duration { return now }
	l.pool = store.NewPool(t.Context(), store.Limits{Streams: 1, Conns: 9}, nil, l.since, nil, nil, nil)
	current := testTerms(t)
	l.settings = &current
	l.useControlPlane(newControlPlaneView(nil))
	l.controlPlane.endpoints = &(&tierControlPlane{}).endpoints
	propose := epochProposals(l.controlPlane.endpoints)
	proposed := func() int { return len(propose(controlplane.LeaderContext{State: statemachine.New(), Now: now})) }
	list := discovery.List{Full: true, Nodes: []discovery.Node{nodeAt("a", decision.Ready)}}
	l.applyList(&list) // from the configuration
	if now += time.Minute; proposed() != 0 {
		t.Error("a list was proposed that discovery has not confirmed since the start")
	}
	list.Nodes = append(list.Nodes, nodeAt("b", decision.Ready))
	l.handleList(&list, nil)
	for _, want := range []int{0, 0, 1} { // discovery repeats the same list
		if n := proposed(); n != want {
			t.Errorf("%d entries proposed of a list that is stable since %v, at %v", n, l.controlPlane.endpoints.Load().StableSince, now)
		}
		now += time.Second
		l.handleList(&discovery.List{}, nil)
	}
	// While discovery fails, other leaders may agree on newer lists; a proposal of this one's old list would revert them for the whole tier.
	l.handleList(nil, errors.New("silent"))
	if now += time.Minute; proposed() != 0 {
		t.Error("a list was proposed while discovery fails")
	}
	l.handleList(&discovery.List{}, nil)
	if proposed() != 1 {
		t.Error("nothing is proposed after discovery answers again")
	}
}

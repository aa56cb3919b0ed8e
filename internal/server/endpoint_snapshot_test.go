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

// A leader agrees on its list once discovery has spoken and the list has stood for a moment, however often it is told the same.
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
	l.applyList(&list) // of the configuration
	if now += time.Minute; proposed() != 0 {
		t.Error("the list of an earlier life was proposed")
	}
	list.Nodes = append(list.Nodes, nodeAt("b", decision.Ready))
	l.handleList(&list, nil)
	for _, want := range []int{0, 0, 1} { // it is told the same again and again
		if n := proposed(); n != want {
			t.Errorf("%d proposed of a list that has stood since %v, %v", n, l.controlPlane.endpoints.Load().StableSince, now)
		}
		now += time.Second
		l.handleList(&discovery.List{}, nil)
	}
	// While discovery is silent the tier moves on, and an old list of one leader would come back for all.
	l.handleList(nil, errors.New("silent"))
	if now += time.Minute; proposed() != 0 {
		t.Error("a list was proposed that discovery no longer speaks for")
	}
	l.handleList(&discovery.List{}, nil)
	if proposed() != 1 {
		t.Error("nothing is proposed after discovery's return")
	}
}

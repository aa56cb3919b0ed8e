package server

import (
	"context"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
)

const (
	collectInterval = 200 * time.Millisecond
	positionsQueue  = 64 // messages of other brokers; while so many wait for the loop, further ones are dropped
)

// localPositions is the replicas' positions that this broker knew at a time.
type localPositions struct {
	data []byte
	at   time.Duration
}

// remotePositions is the replicas' positions that another broker collected.
type remotePositions struct {
	data        []byte
	collectedAt time.Duration // at the earliest, by this broker's clock
}

// sharePositions exchanges replicas' positions over the control plane. Neither the control plane's goroutine nor the loop waits for the other:
// positions are collected in advance and kept with the time of their collection.
func (s *Server) sharePositions(p *tierControlPlane) {
	var latest atomic.Pointer[localPositions]
	received := make(chan remotePositions, positionsQueue)
	collect := func() ([]byte, time.Duration) {
		if positions := latest.Load(); positions != nil {
			return positions.data, positions.at
		}
		return nil, 0
	}
	merge := func(data []byte, transitTime time.Duration) {
		select {
		case received <- remotePositions{data, s.loop.since() - transitTime}:
		default:
		}
	}
	p.AddTopic(controlplane.Topic{Name: "pins", Collect: collect, Merge: merge})
	p.background = append(p.background, func() {
		s.startGoroutine(func(ctx context.Context) error {
			s.exchangePositions(ctx, received, &latest)
			return nil
		})
	})
}

// exchangePositions merges received positions and regularly collects those that this broker knows, until ctx ends.
func (s *Server) exchangePositions(ctx context.Context, received <-chan remotePositions, latest *atomic.Pointer[localPositions]) {
	tick := time.NewTicker(collectInterval)
	defer tick.Stop()
	for {
		select {
		case r := <-received:
			s.MergePositions(r.data, s.loop.since()-r.collectedAt)
		case <-tick.C:
			at := s.loop.since()
			latest.Store(&localPositions{s.CollectPositions(), at})
		case <-ctx.Done():
			return
		}
	}
}

// shareEpoch passes the agreed list of nodes to read pins if its epoch is new.
func (s *Server) shareEpoch(v *controlplane.View) {
	if s.loop.readPins == nil || v.Epoch == s.controlPlane.epoch {
		return
	}
	s.controlPlane.epoch = v.Epoch
	var nodes []decision.NodeID
	for _, n := range v.Nodes {
		nodes = append(nodes, n.Node)
	}
	s.AgreeEpoch(v.Epoch, nodes)
}

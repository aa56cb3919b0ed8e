package server

// This file owns the way of facts between the fleet's goroutine and the loop. Neither waits for the other: what is collected lies
// ready with its moment, and what comes while the loop is behind is dropped.

import (
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
)

const (
	collectInterval = 200 * time.Millisecond
	positionsQueue  = 64
)

type localPositions struct {
	data []byte
	at   time.Duration
}

type remotePositions struct {
	data        []byte
	collectedAt time.Duration
}

// sharePositions has replicas' positions shared, and their list agreed.
func (s *Server) sharePositions(p *tierControlPlane) {
	var latest atomic.Pointer[localPositions]
	in := make(chan remotePositions, positionsQueue)
	p.AddTopic(controlplane.Topic{Name: "pins",
		Collect: func() ([]byte, time.Duration) {
			if c := latest.Load(); c != nil {
				return c.data, c.at
			}
			return nil, 0
		},
		Merge: func(data []byte, older time.Duration) {
			select {
			case in <- remotePositions{data, s.loop.since() - older}:
			default:
			}
		}})
	p.background = append(p.background, func() {
		s.group.Go(func() error {
			tick := time.NewTicker(collectInterval)
			defer tick.Stop()
			for {
				select {
				case c := <-in:
					s.MergePositions(c.data, s.loop.since()-c.collectedAt)
				case <-tick.C:
					at := s.loop.since()
					latest.Store(&localPositions{s.CollectPositions(), at})
				case <-s.ctx.Done():
					return nil
				}
			}
		})
	})
}

// shareEpoch hands the agreed list on when it is another one.
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

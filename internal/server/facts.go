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
	collectEvery = 200 * time.Millisecond
	factsDepth   = 64
)

type collected struct {
	data []byte
	at   time.Duration
}

type came struct {
	data   []byte
	oldest time.Duration
}

// sharePins has replicas' positions shared, and their list agreed.
func (s *Server) sharePins(p *fleetPart) {
	var latest atomic.Pointer[collected]
	in := make(chan came, factsDepth)
	p.Share(controlplane.Topic{Name: "pins",
		Collect: func() ([]byte, time.Duration) {
			if c := latest.Load(); c != nil {
				return c.data, c.at
			}
			return nil, 0
		},
		Take: func(data []byte, older time.Duration) {
			select {
			case in <- came{data, s.loop.since() - older}:
			default:
			}
		}})
	p.starts = append(p.starts, func() {
		s.group.Go(func() error {
			tick := time.NewTicker(collectEvery)
			defer tick.Stop()
			for {
				select {
				case c := <-in:
					s.TakePins(c.data, s.loop.since()-c.oldest)
				case <-tick.C:
					at := s.loop.since()
					latest.Store(&collected{s.CollectPins(), at})
				case <-s.ctx.Done():
					return nil
				}
			}
		})
	})
}

// agreePins hands the agreed list on when it is another one.
func (s *Server) agreePins(v *controlplane.View) {
	if s.loop.pins == nil || v.Epoch == s.fleet.epoch {
		return
	}
	s.fleet.epoch = v.Epoch
	var nodes []decision.NodeID
	for _, n := range v.Nodes {
		nodes = append(nodes, n.Node)
	}
	s.AgreePins(v.Epoch, nodes)
}

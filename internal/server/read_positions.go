package server

import (
	"time"

	"flaxfront/internal/decision"
)

// CollectPositions returns the replicas' positions that this broker knows, with their ages; nil: read pins are off, or the broker ends.
func (s *Server) CollectPositions() []byte {
	request := positionsRequested{make(chan []byte, 1)}
	if s.loop.readPins == nil || !s.deliver(request) {
		return nil
	}
	select {
	case data := <-request.reply:
		return data
	case <-s.ctx.Done():
		return nil
	}
}

// MergePositions merges the positions that another broker collected. transitTime is an upper bound on how long they were on the way.
func (s *Server) MergePositions(data []byte, transitTime time.Duration) {
	if s.loop.readPins != nil {
		s.deliver(positionsReceived{data, s.loop.since() - transitTime})
	}
}

// AgreeEpoch sets the agreed list of nodes over which pins are spread.
func (s *Server) AgreeEpoch(number uint64, nodes []decision.NodeID) {
	if s.loop.readPins != nil {
		s.deliver(epochAgreed{number, nodes})
	}
}

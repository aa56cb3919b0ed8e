package server

import (
	"time"

	"flaxfront/internal/decision"
)

// CollectPositions is what this broker knows of replicas' positions, with their ages; nil: read pins are off, or the broker ends.
func (s *Server) CollectPositions() []byte {
	request := positionsRequested{make(chan []byte, 1)}
	if s.loop.readPins == nil || !s.deliver(request) {
		return nil
	}
	select {
	case data := <-request.to:
		return data
	case <-s.ctx.Done():
		return nil
	}
}

// MergePositions takes what another broker collected; older is the most by which it has aged on the way.
func (s *Server) MergePositions(data []byte, transitTime time.Duration) {
	if s.loop.readPins != nil {
		s.deliver(positionsReceived{data, s.loop.since() - transitTime})
	}
}

// AgreeEpoch sets the agreed list whose nodes pins are spread over.
func (s *Server) AgreeEpoch(number uint64, nodes []decision.NodeID) {
	if s.loop.readPins != nil {
		s.deliver(epochAgreed{number, nodes})
	}
}

package server

// This file owns how replicas' positions and the agreed list come in and go out. They pass through the loop, which alone touches
// what is known; what waits there grows older, and that counts.

import (
	"log/slog"
	"time"

	"flaxfront/internal/decision"
)

// What is delivered to the loop.
type (
	positionsRequested struct{ to chan []byte }
	positionsReceived  struct {
		data        []byte
		collectedAt time.Duration // the moment, by the loop's clock, since which they have grown older at the most
	}
	epochAgreed struct {
		number uint64
		nodes  []decision.NodeID
	}
)

// handlePositions takes one of those, and tells whether it was one.
func (l *loop) handlePositions(d any) bool {
	switch d := d.(type) {
	case positionsRequested:
		d.to <- l.readPins.positions.EncodePositions(l.since())
	case positionsReceived:
		now := l.since()
		if err := l.readPins.positions.MergePositions(now, d.data, now-d.collectedAt); err != nil {
			slog.Debug("positions of another broker not taken", "error", err)
		}
	case epochAgreed:
		l.readPins.positions.SetEpoch(d.number, d.nodes)
	default:
		return false
	}
	return true
}

// readPinState is what the counters tell.
func (l *loop) readPinState() *ReadPinState {
	return &ReadPinState{l.readPins.positions.Counts, l.readPins.ignoredHints.Load(), l.readPins.positions.EpochNumber()}
}

// CollectPositions is what this broker knows of replicas' positions, ages inside; nil: pins are off, or it ends.
func (s *Server) CollectPositions() []byte {
	c := positionsRequested{make(chan []byte, 1)}
	if s.loop.readPins == nil || !s.deliver(c) {
		return nil
	}
	select {
	case data := <-c.to:
		return data
	case <-s.ctx.Done():
		return nil
	}
}

// MergePositions takes what another broker collected; older is the most by which it has grown older on the way.
func (s *Server) MergePositions(data []byte, older time.Duration) {
	if s.loop.readPins != nil {
		s.deliver(positionsReceived{data, s.loop.since() - older})
	}
}

// AgreeEpoch takes over the agreed list whose nodes pins are dealt out over.
func (s *Server) AgreeEpoch(number uint64, nodes []decision.NodeID) {
	if s.loop.readPins != nil {
		s.deliver(epochAgreed{number, nodes})
	}
}

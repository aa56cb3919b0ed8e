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
	pinCollect struct{ to chan []byte }
	pinFacts   struct {
		data   []byte
		oldest time.Duration // the moment, by the loop's clock, since which they have grown older at the most
	}
	pinEpoch struct {
		number uint64
		nodes  []decision.NodeID
	}
)

// pinTold takes one of those, and tells whether it was one.
func (l *loop) pinTold(d any) bool {
	switch d := d.(type) {
	case pinCollect:
		d.to <- l.pins.book.EncodePositions(l.since())
	case pinFacts:
		now := l.since()
		if err := l.pins.book.MergePositions(now, d.data, now-d.oldest); err != nil {
			slog.Debug("positions of another broker not taken", "error", err)
		}
	case pinEpoch:
		l.pins.book.SetEpoch(d.number, d.nodes)
	default:
		return false
	}
	return true
}

// pinState is what the counters tell.
func (l *loop) pinState() *ReadPinState {
	return &ReadPinState{l.pins.book.Counts, l.pins.wrong.Load(), l.pins.book.EpochNumber()}
}

// CollectPins is what this broker knows of replicas' positions, ages inside; nil: pins are off, or it ends.
func (s *Server) CollectPins() []byte {
	c := pinCollect{make(chan []byte, 1)}
	if s.loop.pins == nil || !s.deliver(c) {
		return nil
	}
	select {
	case data := <-c.to:
		return data
	case <-s.ctx.Done():
		return nil
	}
}

// TakePins takes what another broker collected; older is the most by which it has grown older on the way.
func (s *Server) TakePins(data []byte, older time.Duration) {
	if s.loop.pins != nil {
		s.deliver(pinFacts{data, s.loop.since() - older})
	}
}

// AgreePins takes over the agreed list whose nodes pins are dealt out over.
func (s *Server) AgreePins(number uint64, nodes []decision.NodeID) {
	if s.loop.pins != nil {
		s.deliver(pinEpoch{number, nodes})
	}
}

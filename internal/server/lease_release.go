package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

// heldLease is what is to be given up; number 0: nothing.
type heldLease struct {
	incarnation, number uint64
	closing             time.Duration
}

// release closes what is open and opens nothing any more.
func (b *connectionLeases) release() heldLease {
	b.stopped = true
	b.loop.connections().End("stopping")
	nothing := connlease.EncodeDemand(b.version, nil)
	b.needReport.Store(&nothing) // else it would be granted more
	if b.view == nil || b.view.Lease.Ended || b.view.Lease.Incarnation != b.view.Self.Incarnation {
		return heldLease{}
	}
	return heldLease{b.view.Self.Incarnation, b.view.Lease.Number, b.closing}
}

// releaseLeases waits until nodes have noticed, and says it. Danger: with each restart of a release a broker's units would lie idle for a
// lease and the nodes' idle time. It hurts a stop by the closing time, and by a second where nobody takes the word.
func (s *Server) releaseLeases() {
	d := leaseReleaseRequested{make(chan heldLease, 1)}
	if !s.deliver(d) {
		return
	}
	var h heldLease
	select {
	case h = <-d.holds:
	case <-s.ctx.Done():
		return
	}
	if h.number == 0 {
		return
	}
	select {
	case <-s.after(h.closing):
	case <-s.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	for {
		e := &statemachine.RelinquishLease{Slot: statemachine.Slot(s.operator.Fleet.Slot), Incarnation: h.incarnation, Number: h.number}
		_, err := s.controlPlane.Propose(ctx, e)
		if err == nil {
			break
		}
		// A grant came meanwhile. It is as void as the one before it, since nothing is opened any more.
		var no *statemachine.RejectedError
		g := s.controlPlane.View().Lease
		if !errors.As(err, &no) || no.Reason != statemachine.ReasonStale || g.Incarnation != h.incarnation || g.Ended || ctx.Err() != nil {
			slog.Info("fleet: what this broker held is not given up; its lease ends it", "error", err)
			return
		}
		if g.Number == h.number { // the view is older than what refused it
			select {
			case <-s.after(20 * time.Millisecond):
			case <-ctx.Done():
			}
		}
		h.number = g.Number
	}
	slog.Info("fleet: gave up what it held", "number", h.number)
}

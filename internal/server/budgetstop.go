package server

// This file owns how a broker that stops in good order gives up what it holds, so that nobody waits for its lease. It must never
// give up what a node may still count.

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

// yielded asks the loop to close all connections to nodes, for good. All searches are over by then.
type yielded struct{ holds chan held }

// held is what is to be given up; number 0: nothing.
type held struct {
	incarnation, number uint64
	closing             time.Duration
}

// yield closes what is open and opens nothing any more.
func (b *budgets) yield() held {
	b.shut = true
	b.loop.pool.End("stopping")
	nothing := connlease.EncodeDemand(b.version, nil)
	b.report.Store(&nothing) // else it would be granted more
	if b.view == nil || b.view.Grant.Ended || b.view.Grant.Incarnation != b.view.Me.Incarnation {
		return held{}
	}
	return held{b.view.Me.Incarnation, b.view.Grant.Number, b.closing}
}

// giveUp waits until nodes have noticed, and says it. Danger: with each restart of a release a broker's units would lie idle for a
// lease and the nodes' idle time. It hurts a stop by the closing time, and by a second where nobody takes the word.
func (s *Server) giveUp() {
	d := yielded{make(chan held, 1)}
	if !s.deliver(d) {
		return
	}
	var h held
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
		_, err := s.fleet.Propose(ctx, e)
		if err == nil {
			break
		}
		// A grant came meanwhile. It is as void as the one before it, since nothing is opened any more.
		var no *statemachine.RejectedError
		g := s.fleet.View().Grant
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

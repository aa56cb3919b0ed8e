package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

const (
	releaseTimeout       = time.Second
	releaseRetryInterval = 20 * time.Millisecond // while the view is older than what rejected the release
)

// leaseToRelease is a lease to be released; number 0: none.
type leaseToRelease struct {
	incarnation uint64
	number      uint64
	closeDelay  time.Duration // within which nodes notice that connections are closed
}

// release closes all connections and opens none any more.
func (b *connectionLeases) release() leaseToRelease {
	b.stopped = true
	b.loop.connections().End("stopping")
	noDemand := connlease.EncodeDemand(b.version, nil)
	b.demandReport.Store(&noDemand) // else it would be granted more
	if b.view == nil || b.view.Lease.Ended || b.view.Lease.Incarnation != b.view.Self.Incarnation {
		return leaseToRelease{}
	}
	return leaseToRelease{incarnation: b.view.Self.Incarnation, number: b.view.Lease.Number, closeDelay: b.closeDelay}
}

// releaseLeases gives up what this broker holds once nodes have noticed that its connections are closed: otherwise, with each restart of a
// release, a broker's connections would lie idle for a lease and the nodes' idle time. A shutdown takes longer by the closing time, and by
// releaseTimeout where the release is not agreed.
func (s *Server) releaseLeases() {
	request := leaseReleaseRequested{make(chan leaseToRelease, 1)}
	if !s.deliver(request) {
		return
	}
	var lease leaseToRelease
	select {
	case lease = <-request.holds:
	case <-s.ctx.Done():
		return
	}
	if lease.number == 0 {
		return
	}
	select {
	case <-s.after(lease.closeDelay):
	case <-s.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, releaseTimeout)
	defer cancel()
	if err := s.proposeRelease(ctx, &lease); err != nil {
		slog.Info("lease release failed; it expires by itself", "component", "connection-leases", "error", err)
		return
	}
	slog.Info("connection leases released", "component", "connection-leases", "number", lease.number)
}

// proposeRelease has the release agreed. A grant that came meanwhile is released too, as no connection is opened any more.
func (s *Server) proposeRelease(ctx context.Context, held *leaseToRelease) error {
	for {
		_, err := s.controlPlane.Propose(ctx, &statemachine.RelinquishLease{
			Slot:        statemachine.Slot(s.operator.Fleet.Slot),
			Incarnation: held.incarnation,
			Number:      held.number,
		})
		if err == nil {
			return nil
		}
		var rejected *statemachine.RejectedError
		lease := s.controlPlane.View().Lease
		stale := errors.As(err, &rejected) && rejected.Reason == statemachine.ReasonStale
		if !stale || lease.Incarnation != held.incarnation || lease.Ended || ctx.Err() != nil {
			return err
		}
		if lease.Number == held.number { // the view is older than what rejected it
			select {
			case <-s.after(releaseRetryInterval):
			case <-ctx.Done():
			}
		}
		held.number = lease.Number
	}
}

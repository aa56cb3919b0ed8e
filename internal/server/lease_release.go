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
	releaseRetryInterval = 20 * time.Millisecond // while the view is older than the state that rejected the release
)

// leaseToRelease is a lease to be released; number 0: none.
type leaseToRelease struct {
	incarnation uint64
	number      uint64
	closeDelay  time.Duration // within which nodes notice that connections were closed
}

// release closes all connections to nodes for good and returns the lease that this broker still holds.
func (b *connectionLeases) release() leaseToRelease {
	b.stopped = true
	b.loop.connections().CloseAll("stopping")
	noDemand := connlease.EncodeDemand(b.version, nil)
	b.demandReport.Store(&noDemand) // else this broker could be granted more connections
	if b.view == nil || b.view.Lease.Ended || b.view.Lease.Incarnation != b.view.Self.Incarnation {
		return leaseToRelease{}
	}
	return leaseToRelease{incarnation: b.view.Self.Incarnation, number: b.view.Lease.Number, closeDelay: b.closeDelay}
}

// releaseLeases gives up this broker's lease once nodes have noticed that its connections are closed. Otherwise no broker could use these
// connections for the lease's duration and the nodes' idle time, at each restart of a rollout. A shutdown takes longer by the close delay, and
// by up to releaseTimeout more while the release of the lease is not agreed.
func (s *Server) releaseLeases() {
	request := leaseReleaseRequested{make(chan leaseToRelease, 1)}
	if !s.deliver(request) {
		return
	}
	var lease leaseToRelease
	select {
	case lease = <-request.reply:
	case <-s.ctx.Done():
		return
	}
	if lease.number == 0 {
		return
	}
	select {
	case <-s.timeAfter(lease.closeDelay):
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

// proposeRelease proposes the release of the lease until it is agreed or fails. A newer grant is released too, as it is not used.
func (s *Server) proposeRelease(ctx context.Context, held *leaseToRelease) error {
	for {
		_, err := s.controlPlane.Propose(ctx, &statemachine.RelinquishLease{
			Slot:        statemachine.Slot(s.operator.ControlPlaneSettings.Slot),
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
		if lease.Number == held.number { // the view is older than the state that rejected the release
			select {
			case <-s.timeAfter(releaseRetryInterval):
			case <-ctx.Done():
			}
		}
		held.number = lease.Number
	}
}

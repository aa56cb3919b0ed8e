package controlplane

// This file owns this broker's session: its place in the roster, and the lease that tells it that it is not cut off. It counts
// from before it asked; the leader counts from after it granted (lead.go).

import (
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/statemachine"
)

const registerInterval = 200 * time.Millisecond

// sessionLease is what was granted to this broker.
type sessionLease struct {
	expiresAt        time.Duration // on this clock; holds only if now is before it
	connected        bool          // as told last
	since            time.Duration
	leader           string
	conflictLoggedAt time.Duration // a conflict was logged
}

// runsAt tells whether the lease runs at this moment. Danger: a process that was stopped and wakes up believes what was true when
// it fell asleep; so whoever acts asks here, with the time just read.
func (l *sessionLease) runsAt(now time.Duration) bool { return now < l.expiresAt }

// maintainSession does what is due for it.
func (f *Participant) maintainSession(now time.Duration) (next time.Duration) {
	if up := f.session.runsAt(now); up != f.session.connected {
		f.session.connected, f.session.since, f.viewOutdated = up, now, true
		f.dueAt.publish = 0
		if up {
			slog.Info("fleet: connected to the majority", "leader", f.session.leader, "index", f.state.AppliedIndex(), "incarnation", f.incarnation)
		} else {
			slog.Warn("fleet: cut off from the majority; searches go on with what this broker holds, and it takes no permit")
		}
	}
	if now >= f.dueAt.join {
		f.dueAt.join = now + registerInterval
		f.registerIfNeeded(now)
	}
	if now >= f.dueAt.renew {
		f.dueAt.renew = now + f.options.LeaseDuration/4
		if !f.session.runsAt(now + f.options.LeaseDuration/2) { // it is late: ask more often
			f.dueAt.renew = now + f.options.LeaseDuration/10
		}
		if f.isRegistered() && f.haltedBy == nil { // one that sees no drain any more must not have others wait for its word
			f.outbox.Renewals = append(f.outbox.Renewals, leaseRenewal{uint32(f.options.Slot), f.incarnation, uint64(now) + 1})
		}
	}
	next = min(f.dueAt.join, f.dueAt.renew)
	if f.session.connected {
		next = min(next, f.session.expiresAt)
	}
	return next
}

// isRegistered tells whether the ledger has this broker under its present incarnation.
func (f *Participant) isRegistered() bool {
	b, ok := f.state.Broker(f.options.Slot)
	return ok && b.Name == f.name && b.Incarnation == f.incarnation && b.Status != statemachine.BrokerLost
}

// mustExit tells whether this very process went by a permit, though it may not have heard that this was agreed.
func (f *Participant) mustExit() bool {
	b, known := f.state.Broker(f.options.Slot)
	p, holds := f.state.BrokerPermit(f.options.Slot)
	return known && holds && p.Used && b.Name == f.name && b.Incarnation == f.incarnation && p.Incarnation == f.incarnation
}

// registerIfNeeded proposes what this broker's line in the roster lacks.
func (f *Participant) registerIfNeeded(now time.Duration) {
	if f.registering || f.haltedBy != nil || f.leaving.Load() {
		return
	}
	b, known := f.state.Broker(f.options.Slot)
	if f.mustExit() { // it comes back as the process that is started next, or not at all
		return
	}
	var e statemachine.Entry
	switch {
	case f.isRegistered() && (b.Status == statemachine.BrokerJoining || b.Status == statemachine.BrokerReturning) && f.serving.Load():
		e = &statemachine.ReturnToService{Slot: f.options.Slot, Incarnation: f.incarnation}
	case f.isRegistered():
		return
	case known && b.Name != f.name && b.Status != statemachine.BrokerLost && b.Status != statemachine.BrokerOut:
		if now-f.session.conflictLoggedAt > 10*time.Second || f.session.conflictLoggedAt == 0 {
			f.session.conflictLoggedAt = now
			slog.Error("fleet: not registered", "error", &SlotTakenError{f.options.Slot, b.Name})
		}
		return
	default:
		if known && b.Incarnation >= f.incarnation { // lost while it lived: it comes back as a new one
			f.incarnation = b.Incarnation + 1
			f.failProposals(errors.New("the session was lost"))
			f.session.expiresAt = 0
		}
		e = &statemachine.RegisterBroker{Slot: f.options.Slot, Name: f.name, Incarnation: f.incarnation, Version: f.options.Version, Zone: f.options.Zone, Protocol: statemachine.SupportedProtocol}
	}
	f.registering = true
	f.propose(e, func(r statemachine.Result, err error) {
		f.registering = false
		if f.dueAt.renew = 0; err != nil && !errors.As(err, new(*UncertainOutcomeError)) {
			slog.Warn("fleet: not registered", "error", err)
		}
		f.dueAt.join = 0
		if err != nil {
			f.dueAt.join = f.options.Now() + registerInterval
		}
	})
}

// SetServing says that this broker takes searches: it counts as back.
func (f *Participant) SetServing() { f.serving.Store(true) }

// SetLeaving says that it stops: it does not come back by itself.
func (f *Participant) SetLeaving() { f.leaving.Store(true) }

// handleGrants takes leases that the leader granted, and passes on those of others: to any, where it leads, else to those that follow.
func (f *Participant) handleGrants(c *conn, d grantsFrame, now time.Duration) {
	if c != nil && c != f.source && c.peer.Role != roleVoter || d.Lease <= 0 || len(d.Grants) > maxBatch {
		return
	}
	others := map[*conn]*grantsFrame{}
	for _, g := range d.Grants {
		if statemachine.Slot(g.Slot) == f.options.Slot {
			f.acceptGrant(g, d, now)
		} else if to := f.routes[statemachine.Slot(g.Slot)]; to != nil && (c == nil || to.isFollower) {
			if others[to] == nil {
				others[to] = &grantsFrame{Lease: d.Lease, Leader: d.Leader}
			}
			others[to].Grants = append(others[to].Grants, g)
		}
	}
	for to, d := range others {
		f.send(to, frameGrants, *d)
	}
}

// acceptGrant counts from when this broker asked, and takes the drift of clocks off.
func (f *Participant) acceptGrant(g leaseRenewal, d grantsFrame, now time.Duration) {
	if g.Incarnation != f.incarnation || g.Token == 0 || g.Token-1 > uint64(now) || !f.isRegistered() {
		return
	}
	until := time.Duration(g.Token-1) + time.Duration(float64(d.Lease)*(1-f.options.MaxClockDrift))
	if until > f.session.expiresAt {
		f.session.expiresAt, f.session.leader, f.viewOutdated = until, d.Leader, true
	}
}

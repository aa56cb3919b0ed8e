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
func (p *Participant) maintainSession(now time.Duration) (next time.Duration) {
	if up := p.session.runsAt(now); up != p.session.connected {
		p.session.connected, p.session.since, p.viewOutdated = up, now, true
		p.dueAt.publish = 0
		if up {
			slog.Info("fleet: connected to the majority", "leader", p.session.leader, "index", p.state.AppliedIndex(), "incarnation", p.incarnation)
		} else {
			slog.Warn("fleet: cut off from the majority; searches go on with what this broker holds, and it takes no permit")
		}
	}
	if now >= p.dueAt.join {
		p.dueAt.join = now + registerInterval
		p.registerIfNeeded(now)
	}
	if now >= p.dueAt.renew {
		p.dueAt.renew = now + p.options.LeaseDuration/4
		if !p.session.runsAt(now + p.options.LeaseDuration/2) { // it is late: ask more often
			p.dueAt.renew = now + p.options.LeaseDuration/10
		}
		if p.isRegistered() && p.haltedBy == nil { // one that sees no drain any more must not have others wait for its word
			p.outbox.Renewals = append(p.outbox.Renewals, leaseRenewal{uint32(p.options.Slot), p.incarnation, uint64(now) + 1})
		}
	}
	next = min(p.dueAt.join, p.dueAt.renew)
	if p.session.connected {
		next = min(next, p.session.expiresAt)
	}
	return next
}

// isRegistered tells whether the ledger has this broker under its present incarnation.
func (p *Participant) isRegistered() bool {
	b, ok := p.state.Broker(p.options.Slot)
	return ok && b.Name == p.name && b.Incarnation == p.incarnation && b.Status != statemachine.BrokerLost
}

// mustExit tells whether this very process went by a permit, though it may not have heard that this was agreed.
func (p *Participant) mustExit() bool {
	b, known := p.state.Broker(p.options.Slot)
	permit, holds := p.state.BrokerPermit(p.options.Slot)
	return known && holds && permit.Used && b.Name == p.name && b.Incarnation == p.incarnation && permit.Incarnation == p.incarnation
}

// registerIfNeeded proposes what this broker's line in the roster lacks.
func (p *Participant) registerIfNeeded(now time.Duration) {
	if p.registering || p.haltedBy != nil || p.leaving.Load() {
		return
	}
	b, known := p.state.Broker(p.options.Slot)
	if p.mustExit() { // it comes back as the process that is started next, or not at all
		return
	}
	var e statemachine.Entry
	switch {
	case p.isRegistered() && (b.Status == statemachine.BrokerJoining || b.Status == statemachine.BrokerReturning) && p.serving.Load():
		e = &statemachine.ReturnToService{Slot: p.options.Slot, Incarnation: p.incarnation}
	case p.isRegistered():
		return
	case known && b.Name != p.name && b.Status != statemachine.BrokerLost && b.Status != statemachine.BrokerOut:
		if now-p.session.conflictLoggedAt > 10*time.Second || p.session.conflictLoggedAt == 0 {
			p.session.conflictLoggedAt = now
			slog.Error("fleet: not registered", "error", &SlotTakenError{p.options.Slot, b.Name})
		}
		return
	default:
		if known && b.Incarnation >= p.incarnation { // lost while it lived: it comes back as a new one
			p.incarnation = b.Incarnation + 1
			p.failProposals(errors.New("the session was lost"))
			p.session.expiresAt = 0
		}
		e = &statemachine.RegisterBroker{Slot: p.options.Slot, Name: p.name, Incarnation: p.incarnation, Version: p.options.Version, Zone: p.options.Zone, Protocol: statemachine.SupportedProtocol}
	}
	p.registering = true
	p.propose(e, func(r statemachine.Result, err error) {
		p.registering = false
		if p.dueAt.renew = 0; err != nil && !errors.As(err, new(*UncertainOutcomeError)) {
			slog.Warn("fleet: not registered", "error", err)
		}
		p.dueAt.join = 0
		if err != nil {
			p.dueAt.join = p.options.Now() + registerInterval
		}
	})
}

// SetServing says that this broker takes searches: it counts as back.
func (p *Participant) SetServing() { p.serving.Store(true) }

// SetLeaving says that it stops: it does not come back by itself.
func (p *Participant) SetLeaving() { p.leaving.Store(true) }

// handleGrants takes leases that the leader granted, and passes on those of others: to any, where it leads, else to those that follow.
func (p *Participant) handleGrants(c *conn, d grantsFrame, now time.Duration) {
	if c != nil && c != p.source && c.peer.Role != roleVoter || d.Lease <= 0 || len(d.Grants) > maxBatch {
		return
	}
	others := map[*conn]*grantsFrame{}
	for _, g := range d.Grants {
		if statemachine.Slot(g.Slot) == p.options.Slot {
			p.acceptGrant(g, d, now)
		} else if to := p.routes[statemachine.Slot(g.Slot)]; to != nil && (c == nil || to.isFollower) {
			if others[to] == nil {
				others[to] = &grantsFrame{Lease: d.Lease, Leader: d.Leader}
			}
			others[to].Grants = append(others[to].Grants, g)
		}
	}
	for to, d := range others {
		p.send(to, frameGrants, *d)
	}
}

// acceptGrant counts from when this broker asked, and takes the drift of clocks off.
func (p *Participant) acceptGrant(g leaseRenewal, d grantsFrame, now time.Duration) {
	if g.Incarnation != p.incarnation || g.Token == 0 || g.Token-1 > uint64(now) || !p.isRegistered() {
		return
	}
	until := time.Duration(g.Token-1) + time.Duration(float64(d.Lease)*(1-p.options.MaxClockDrift))
	if until > p.session.expiresAt {
		p.session.expiresAt, p.session.leader, p.viewOutdated = until, d.Leader, true
	}
}

package controlplane

import (
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/statemachine"
)

const (
	registerInterval    = 200 * time.Millisecond
	conflictLogInterval = 10 * time.Second
)

// sessionLease is the lease that tells a broker that it is not cut off from the majority. It counts from before it was asked for.
type sessionLease struct {
	expiresAt        time.Duration // by this broker's clock
	connected        bool          // the lease ran when it was last looked at
	since            time.Duration // when connected last changed
	leader           string
	conflictLoggedAt time.Duration // 0: never
}

// runsAt reports whether the lease runs. A process that was stopped and resumes knows what was true before; so whoever acts on the lease
// asks here, with the time just read.
func (l *sessionLease) runsAt(now time.Duration) bool { return now < l.expiresAt }

// maintainSession registers and renews as due, and returns when to come again.
func (p *Participant) maintainSession(now time.Duration) (next time.Duration) {
	p.noteConnected(p.session.runsAt(now), now)
	if now >= p.dueAt.register {
		p.dueAt.register = now + registerInterval
		p.registerIfNeeded(now)
	}
	if now >= p.dueAt.renewal {
		p.renewSession(now)
	}
	next = min(p.dueAt.register, p.dueAt.renewal)
	if p.session.connected {
		next = min(next, p.session.expiresAt)
	}
	return next
}

func (p *Participant) noteConnected(connected bool, now time.Duration) {
	if connected == p.session.connected {
		return
	}
	p.session.connected = connected
	p.session.since = now
	p.viewOutdated = true
	p.dueAt.view = 0
	if connected {
		slog.Info("connected to the majority", "component", component, "leader", p.session.leader,
			"index", p.state.AppliedIndex(), "incarnation", p.incarnation)
	} else {
		slog.Warn("cut off from the majority", "component", component, "leader", p.session.leader)
	}
}

// renewSession asks for the lease anew: four times in its duration, or ten times once half of it has passed.
func (p *Participant) renewSession(now time.Duration) {
	lease := p.options.LeaseDuration
	p.dueAt.renewal = now + lease/4
	if !p.session.runsAt(now + lease/2) {
		p.dueAt.renewal = now + lease/10
	}
	// A broker that stands still before an entry no longer sees drains, and must not have others wait for its acknowledgement.
	if !p.isRegistered() || p.haltedBy != nil {
		return
	}
	renewal := leaseRenewal{Slot: uint32(p.options.Slot), Incarnation: p.incarnation, Token: tokenAt(now)}
	p.outbox.Renewals = append(p.outbox.Renewals, renewal)
}

// tokenAt makes a token of a moment, never 0. Only the broker that sent it reads it.
func tokenAt(now time.Duration) uint64 { return uint64(now) + 1 }

// tokenTime is the moment of a token that came back; false: this broker can't have sent it.
func tokenTime(token uint64, now time.Duration) (sentAt time.Duration, ok bool) {
	if token == 0 || token-1 > uint64(now) {
		return 0, false
	}
	return time.Duration(token - 1), true
}

// isRegistered reports whether the state machine has this broker under its present incarnation.
func (p *Participant) isRegistered() bool {
	broker, known := p.state.Broker(p.options.Slot)
	return known && broker.Name == p.name && broker.Incarnation == p.incarnation && broker.Status != statemachine.BrokerLost
}

// mustExit reports whether this very process went out by a permit, though it may not have heard that this was agreed.
func (p *Participant) mustExit() bool {
	broker, known := p.state.Broker(p.options.Slot)
	permit, holds := p.state.BrokerPermit(p.options.Slot)
	isOwn := known && broker.Name == p.name && broker.Incarnation == p.incarnation
	return isOwn && holds && permit.Used && permit.Incarnation == p.incarnation
}

// registerIfNeeded proposes what this broker's line in the roster lacks.
func (p *Participant) registerIfNeeded(now time.Duration) {
	if p.registering || p.haltedBy != nil || p.leaving.Load() {
		return
	}
	if p.mustExit() { // it returns as the process that is started next, or not at all
		return
	}
	entry := p.registration(now)
	if entry == nil {
		return
	}
	p.registering = true
	p.propose(entry, func(_ statemachine.Result, err error) { p.noteRegistered(err) })
}

// registration is the entry that this broker's line in the roster lacks; nil: none.
func (p *Participant) registration(now time.Duration) statemachine.Entry {
	broker, known := p.state.Broker(p.options.Slot)
	if p.isRegistered() {
		isBack := broker.Status == statemachine.BrokerJoining || broker.Status == statemachine.BrokerReturning
		if isBack && p.serving.Load() {
			return &statemachine.ReturnToService{Slot: p.options.Slot, Incarnation: p.incarnation}
		}
		return nil
	}
	isGone := broker.Status == statemachine.BrokerLost || broker.Status == statemachine.BrokerOut
	if known && broker.Name != p.name && !isGone {
		p.logSlotConflict(broker.Name, now)
		return nil
	}
	if known && broker.Incarnation >= p.incarnation { // lost while it lived: it returns as a new one
		p.incarnation = broker.Incarnation + 1
		p.failProposals(errSessionLost)
		p.session.expiresAt = 0
	}
	return &statemachine.RegisterBroker{
		Slot:        p.options.Slot,
		Name:        p.name,
		Incarnation: p.incarnation,
		Version:     p.options.Version,
		Zone:        p.options.Zone,
		Protocol:    statemachine.SupportedProtocol,
	}
}

func (p *Participant) logSlotConflict(holder string, now time.Duration) {
	last := p.session.conflictLoggedAt
	if last != 0 && now-last <= conflictLogInterval {
		return
	}
	p.session.conflictLoggedAt = now
	err := &SlotConflictError{Slot: p.options.Slot, Holder: holder}
	slog.Error("registration rejected", "component", component, "error", err, "remedy", err.Remedy())
}

func (p *Participant) noteRegistered(err error) {
	p.registering = false
	p.dueAt.renewal = 0
	p.dueAt.register = 0
	if err == nil {
		return
	}
	p.dueAt.register = p.options.Now() + registerInterval
	if !errors.As(err, new(*UncertainOutcomeError)) {
		slog.Warn("registration rejected", "component", component, "error", err, "remedy", remedyOf(err))
	}
}

// handleGrants takes leases that the leader granted, and passes on those of others: all of them where this broker leads, else those of its
// followers.
func (p *Participant) handleGrants(c *conn, granted grantsFrame, now time.Duration) {
	isTrusted := c == nil || c == p.source || c.peer.Role == roleVoter
	if !isTrusted || granted.LeaseNS <= 0 || len(granted.Grants) > maxBatch {
		return
	}
	others := map[*conn]*grantsFrame{}
	for _, grant := range granted.Grants {
		slot := statemachine.Slot(grant.Slot)
		if slot == p.options.Slot {
			p.acceptGrant(grant, granted, now)
			continue
		}
		to := p.routes[slot]
		if to == nil || c != nil && !to.isFollower {
			continue
		}
		if others[to] == nil {
			others[to] = &grantsFrame{LeaseNS: granted.LeaseNS, Leader: granted.Leader}
		}
		others[to].Grants = append(others[to].Grants, grant)
	}
	for to, grants := range others {
		p.send(to, frameGrants, *grants)
	}
}

// acceptGrant counts the lease from when this broker asked for it, less the drift of clocks.
func (p *Participant) acceptGrant(grant leaseRenewal, granted grantsFrame, now time.Duration) {
	askedAt, ok := tokenTime(grant.Token, now)
	if !ok || grant.Incarnation != p.incarnation || !p.isRegistered() {
		return
	}
	expiresAt := askedAt + time.Duration(float64(granted.LeaseNS)*(1-p.options.MaxClockDrift))
	if expiresAt > p.session.expiresAt {
		p.session.expiresAt = expiresAt
		p.session.leader = granted.Leader
		p.viewOutdated = true
	}
}

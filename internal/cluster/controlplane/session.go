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

// sessionLease is the lease by which a broker knows that it is not cut off from the majority. It counts from the moment at which the broker
// asked for it.
type sessionLease struct {
	expiresAt        time.Duration // by this broker's clock
	connected        bool          // the lease was valid when the loop last checked it
	since            time.Duration // when connected last changed
	leader           string
	conflictLoggedAt time.Duration // 0: never
}

// runsAt reports whether the lease is valid at a time. What a process knew before it was suspended may no longer be true when it resumes, so
// callers that act on the lease must read the clock just before they do.
func (l *sessionLease) runsAt(now time.Duration) bool { return now < l.expiresAt }

// maintainSession registers this broker and renews its lease when due, and returns when it must be called again.
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

// renewSession asks for the lease again: every quarter of its duration, and every tenth once less than half of it is left.
func (p *Participant) renewSession(now time.Duration) {
	lease := p.options.LeaseDuration
	p.dueAt.renewal = now + lease/4
	if !p.session.runsAt(now + lease/2) {
		p.dueAt.renewal = now + lease/10
	}
	// A broker that has halted at an entry no longer sees drains. Its lease must expire, so that others do not wait for its acknowledgement.
	if !p.isRegistered() || p.haltedBy != nil {
		return
	}
	renewal := leaseRenewal{Slot: uint32(p.options.Slot), Incarnation: p.incarnation, Token: tokenAt(now)}
	p.outbox.Renewals = append(p.outbox.Renewals, renewal)
}

// tokenAt returns a token for a moment, which is never 0. Only the broker that made a token interprets it.
func tokenAt(now time.Duration) uint64 { return uint64(now) + 1 }

// tokenTime returns the moment of a token that came back. It returns false if this broker cannot have sent the token.
func tokenTime(token uint64, now time.Duration) (sentAt time.Duration, ok bool) {
	if token == 0 || token-1 > uint64(now) {
		return 0, false
	}
	return time.Duration(token - 1), true
}

// isRegistered reports whether the state machine has this broker with its current incarnation, and not as lost.
func (p *Participant) isRegistered() bool {
	broker, known := p.state.Broker(p.options.Slot)
	return known && broker.Name == p.name && broker.Incarnation == p.incarnation && broker.Status != statemachine.BrokerLost
}

// mustExit reports whether this process has used its permit to leave service. This process may not have received the result of that proposal.
func (p *Participant) mustExit() bool {
	broker, known := p.state.Broker(p.options.Slot)
	permit, holds := p.state.BrokerPermit(p.options.Slot)
	isOwn := known && broker.Name == p.name && broker.Incarnation == p.incarnation
	return isOwn && holds && permit.Used && permit.Incarnation == p.incarnation
}

// registerIfNeeded proposes the entry that registers this broker or returns it to service, if one is needed and none is in flight.
func (p *Participant) registerIfNeeded(now time.Duration) {
	if p.registering || p.haltedBy != nil || p.leaving.Load() {
		return
	}
	if p.mustExit() { // only the next process in this slot registers again
		return
	}
	entry := p.registration(now)
	if entry == nil {
		return
	}
	p.registering = true
	p.propose(entry, func(_ statemachine.Result, err error) { p.noteRegistered(err) })
}

// registration returns the entry that registers this broker or returns it to service; nil if neither is needed or possible.
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
	if known && broker.Incarnation >= p.incarnation { // marked as lost, or its clock was set back: it registers as a new incarnation
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

// handleGrants accepts this broker's own lease among those that the leader granted, and forwards those of others: the leader over all
// connections, other brokers to their followers only. c is nil for the leader's own grants.
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

// acceptGrant extends the session's lease: its duration less the drift of clocks, counted from when this broker asked for it.
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

package controlplane

import (
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// maxConfirmedReads bounds the batches of renewals that wait for a majority.
const maxConfirmedReads = 4

// grantedLease is when a session's lease was last granted by this leader. It counts from after the grant, so that it ends no earlier
// than the holder believes.
type grantedLease struct {
	incarnation uint64
	grantedAt   time.Duration
}

// lastGrant is when the broker's lease was last granted, at the latest; if it was granted none, since when this leader leads.
func (l *leadership) lastGrant(b statemachine.Broker) time.Duration {
	s := l.sessions[b.Slot]
	if s.incarnation != b.Incarnation {
		return l.establishedAt
	}
	return max(l.establishedAt, s.grantedAt)
}

// queueRenewals takes requests for a lease.
func (p *Participant) queueRenewals(renewals []leaseRenewal) {
	if p.leadership.established && len(p.leadership.renewals) < maxBatch {
		p.leadership.renewals = append(p.leadership.renewals, renewals...)
	}
}

// grantLeases has a majority confirm that this broker leads, for all renewals that wait, and then grants them.
func (p *Participant) grantLeases(now time.Duration) {
	l := &p.leadership
	if len(l.renewals) == 0 || l.readsInFlight >= maxConfirmedReads {
		return
	}
	batch := l.renewals
	term := l.term
	l.renewals = nil
	l.readsInFlight++
	p.confirmedRead(func(err error) {
		if p.leadership.term != term {
			return
		}
		p.leadership.readsInFlight--
		if err == nil && p.raft.IsLeader() {
			p.grant(batch)
		}
	})
}

// grant counts leases from now, after they were asked for; their holders count from before they asked.
func (p *Participant) grant(renewals []leaseRenewal) {
	now := p.options.Now()
	grants := grantsFrame{LeaseNS: int64(p.options.LeaseDuration), Leader: p.name}
	for _, renewal := range renewals {
		slot := statemachine.Slot(renewal.Slot)
		if !p.mayRenew(slot, renewal.Incarnation) {
			continue
		}
		p.leadership.sessions[slot] = grantedLease{incarnation: renewal.Incarnation, grantedAt: now}
		grants.Grants = append(grants.Grants, renewal)
	}
	p.handleGrants(nil, grants, now)
}

func (p *Participant) mayRenew(slot statemachine.Slot, incarnation uint64) bool {
	broker, known := p.state.Broker(slot)
	isLossProposed := p.leadership.proposedLosses[slot] == incarnation
	return known && broker.Incarnation == incarnation && broker.Status != statemachine.BrokerLost && !isLossProposed
}

// proposeLosses proposes that brokers are lost whose lease has surely expired: counted from the later of its grant and the start of
// this leadership, and with the drift of clocks.
func (p *Participant) proposeLosses(now time.Duration) {
	l := &p.leadership
	lease := p.options.LeaseDuration
	expiredAfter := lease + time.Duration(float64(lease)*p.options.MaxClockDrift)
	for _, broker := range p.state.Brokers() {
		if broker.Status == statemachine.BrokerLost || l.proposedLosses[broker.Slot] == broker.Incarnation {
			continue
		}
		lastGrant := l.lastGrant(broker)
		if now <= lastGrant+expiredAfter {
			continue
		}
		slog.Warn("broker lost", "component", component, "broker", broker.Name, "slot", broker.Slot,
			"incarnation", broker.Incarnation, "silent_for", now-lastGrant)
		p.proposeLoss(broker)
	}
}

func (p *Participant) proposeLoss(broker statemachine.Broker) {
	p.leadership.proposedLosses[broker.Slot] = broker.Incarnation
	entry := &statemachine.MarkBrokerLost{Slot: broker.Slot, Incarnation: broker.Incarnation, Term: p.leadership.term}
	p.propose(entry, func(_ statemachine.Result, err error) {
		// One with an unknown outcome may take effect later, and must not stand against a lease granted meanwhile.
		isUncertain := errors.As(err, new(*UncertainOutcomeError))
		isLossProposed := p.leadership.term != 0 && p.leadership.proposedLosses[broker.Slot] == broker.Incarnation
		if isLossProposed && !isUncertain {
			delete(p.leadership.proposedLosses, broker.Slot)
		}
	})
}

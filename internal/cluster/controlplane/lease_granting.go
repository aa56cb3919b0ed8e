package controlplane

import (
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// maxConfirmedReads bounds the batches of renewals for which a confirmed read is in flight.
const maxConfirmedReads = 4

// grantedLease records when this leader last granted a session's lease. The leader counts the lease from the grant, the holder from its
// earlier request, so that the lease does not end for the leader while the holder still relies on it.
type grantedLease struct {
	incarnation uint64
	grantedAt   time.Duration
}

// lastGrant returns the latest time at which the broker's lease can have been granted. If this leader has granted none, that is the start
// of its leadership.
func (l *leadership) lastGrant(b statemachine.Broker) time.Duration {
	s := l.sessions[b.Slot]
	if s.incarnation != b.Incarnation {
		return l.establishedAt
	}
	return max(l.establishedAt, s.grantedAt)
}

// queueRenewals queues lease renewals at the leader. It drops them if the leadership is not established, or if maxBatch already wait; their
// brokers ask again.
func (p *Participant) queueRenewals(renewals []leaseRenewal) {
	if p.leadership.established && len(p.leadership.renewals) < maxBatch {
		p.leadership.renewals = append(p.leadership.renewals, renewals...)
	}
}

// grantLeases grants all queued renewals once a majority has confirmed that this broker still leads.
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

// grant grants leases and sends them to their holders. The leader counts a lease from now, its holder from when it asked.
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

// proposeLosses proposes to mark brokers as lost whose session lease has certainly expired: counted from its grant or from the start of
// this leadership, whichever is later, plus the drift of clocks.
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
		// A proposal with an unknown outcome may still take effect, so the broker must not be granted a lease in the meantime.
		isUncertain := errors.As(err, new(*UncertainOutcomeError))
		isLossProposed := p.leadership.term != 0 && p.leadership.proposedLosses[broker.Slot] == broker.Incarnation
		if isLossProposed && !isUncertain {
			delete(p.leadership.proposedLosses, broker.Slot)
		}
	})
}

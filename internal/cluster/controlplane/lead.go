package controlplane

// This file owns what the leader does beside Raft: leases of sessions, losses, and the duties that others hand in. A lease is
// granted only after a majority confirmed, later than the request came, that this broker leads; and a loss is proposed only when
// the lease surely ran out, counted from the later of its grant and the start of this lead.

import (
	"encoding/binary"
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

const leaderInterval = 100 * time.Millisecond

// leadership is empty unless this broker leads.
type leadership struct {
	term          uint64
	proposing     bool          // its Lead is on its way
	established   bool          // its Lead is applied
	establishedAt time.Duration // when that was
	sessions      map[statemachine.Slot]grantedLease
	losing        map[statemachine.Slot]uint64 // incarnations whose loss is proposed: they are granted nothing more
	reports       map[statemachine.Slot]ReceivedReport
	renewals      []leaseRenewal
	readsInFlight int
	dueAt         time.Duration
	transferAfter time.Duration // the lead is offered to another no sooner
	planner       *release.Planner
	planProposals int // its proposals that are not applied yet
	planAt        time.Duration
}

// grantedLease is when a session's lease was granted last.
type grantedLease struct {
	incarnation uint64
	grantedAt   time.Duration
}

// ReceivedReport is a broker's last report, as it came to the leader.
type ReceivedReport struct {
	Report
	Incarnation uint64
	ReceivedAt  time.Duration
}

// advanceRaft does what is due of Raft, and takes the lead up or lays it down.
func (p *Participant) advanceRaft(now time.Duration) (next time.Duration) {
	next = p.raft.Tick(now)
	p.sendPackets()
	if err := p.raft.Err(); err != nil && !p.voterStopped {
		p.voterStopped = true
		slog.Error("fleet: this voter has stopped and only follows; searches go on", "error", err, "remedy", remedyOf(errors.Join(p.haltedBy, err)))
		p.startFollowing()
	}
	if p.leaving.Load() && p.raft.IsLeader() && now >= p.leadership.transferAfter {
		p.leadership.transferAfter = now + p.options.ElectionTimeout
		p.raft.TransferLeadership(now)
		p.sendPackets()
	}
	if !p.raft.IsLeader() {
		if p.leadership.term != 0 {
			slog.Info("fleet: leads no more", "term", p.leadership.term)
			p.leadership = leadership{}
		}
		return next
	}
	if p.leadership.term != p.raft.Term() {
		p.leadership = leadership{term: p.raft.Term(), sessions: map[statemachine.Slot]grantedLease{}, losing: map[statemachine.Slot]uint64{},
			reports: map[statemachine.Slot]ReceivedReport{}}
		slog.Info("fleet: leads", "term", p.leadership.term)
	}
	if !p.leadership.established && !p.leadership.proposing && now >= p.leadership.dueAt {
		// It may be refused, as of an earlier life, or given up with an incarnation; without it the term would pass with nothing done.
		p.leadership.proposing, p.leadership.dueAt = true, now+leaderInterval
		term := p.leadership.term
		p.propose(&statemachine.LeaderElected{Slot: p.options.Slot, Term: term}, func(statemachine.Result, error) {
			if p.leadership.term == term {
				p.leadership.proposing = false
			}
		})
	}
	if p.leadership.established && now >= p.leadership.dueAt {
		p.leadership.dueAt = now + leaderInterval
		p.proposeLosses(now)
		p.runLeaderTasks(now)
	}
	p.grantLeases(now)
	return min(next, now+leaderInterval)
}

// sendPackets saves and sends what Raft has for the others.
func (p *Participant) sendPackets() {
	for _, packet := range p.raft.ProcessReady() {
		if c := p.voterConns[p.options.Voters[packet.To-1].Name]; c != nil {
			p.send(c, framePacket, packet.Data)
		}
	}
	for _, r := range p.raft.CompletedReads() {
		id := binary.BigEndian.Uint64(r.RequestContext)
		if fn := p.pendingReads[id]; fn != nil {
			delete(p.pendingReads, id)
			fn(r.Err)
		}
	}
}

// confirmedRead calls fn once this broker's copy is known to hold all that was agreed before this moment.
func (p *Participant) confirmedRead(fn func(error)) {
	p.lastReadID++
	p.pendingReads[p.lastReadID] = fn
	if err := p.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, p.lastReadID)); err != nil {
		delete(p.pendingReads, p.lastReadID)
		fn(err)
	}
}

// queueRenewals takes requests for a lease.
func (p *Participant) queueRenewals(all []leaseRenewal, now time.Duration) {
	if p.leadership.established && len(p.leadership.renewals) < maxBatch {
		p.leadership.renewals = append(p.leadership.renewals, all...)
	}
}

// grantLeases has a majority confirm that this broker leads, for all requests that wait, and then grants them.
func (p *Participant) grantLeases(now time.Duration) {
	l := &p.leadership
	if len(l.renewals) == 0 || l.readsInFlight >= 4 {
		return
	}
	batch, term := l.renewals, l.term
	l.renewals, l.readsInFlight = nil, l.readsInFlight+1
	p.confirmedRead(func(err error) {
		if p.leadership.term != term {
			return
		}
		p.leadership.readsInFlight--
		if err != nil || !p.raft.IsLeader() {
			return
		}
		// The granter counts from now, after the request; the holder from before it.
		at := p.options.Now()
		d := grantsFrame{Lease: int64(p.options.LeaseDuration), Leader: p.name}
		for _, r := range batch {
			slot := statemachine.Slot(r.Slot)
			b, known := p.state.Broker(slot)
			if !known || b.Incarnation != r.Incarnation || b.Status == statemachine.BrokerLost || p.leadership.losing[slot] == r.Incarnation {
				continue
			}
			p.leadership.sessions[slot] = grantedLease{r.Incarnation, at}
			d.Grants = append(d.Grants, r)
		}
		p.handleGrants(nil, d, at)
	})
}

// noteAppliedByLeader takes note of entries that matter to the leader.
func (p *Participant) noteAppliedByLeader(e statemachine.Entry, r statemachine.Result) {
	switch e := e.(type) {
	case *statemachine.LeaderElected:
		if p.leadership.term != 0 && e.Slot == p.options.Slot && e.Term == p.leadership.term && r.Err == nil {
			p.leadership.established, p.leadership.establishedAt = true, p.options.Now()
			p.leadership.planner = release.New(p.options.ReleaseGates, e.Term, p.leadership.establishedAt)
		}
	case *statemachine.RegisterBroker:
		if p.leadership.established && r.Err == nil && !r.Duplicate {
			p.leadership.sessions[e.Slot] = grantedLease{e.Incarnation, p.options.Now()}
		}
	}
}

// proposeLosses proposes that brokers are lost whose lease surely ran out.
func (p *Participant) proposeLosses(now time.Duration) {
	l := &p.leadership
	surely := p.options.LeaseDuration + time.Duration(float64(p.options.LeaseDuration)*p.options.MaxClockDrift)
	for _, b := range p.state.Brokers() {
		if b.Status == statemachine.BrokerLost {
			continue
		}
		last := l.establishedAt
		if s := l.sessions[b.Slot]; s.incarnation == b.Incarnation {
			last = max(last, s.grantedAt)
		}
		if now <= last+surely || l.losing[b.Slot] == b.Incarnation {
			continue
		}
		l.losing[b.Slot] = b.Incarnation
		slog.Warn("fleet: a broker is lost", "broker", b.Name, "slot", b.Slot, "incarnation", b.Incarnation, "silent_for", now-last)
		p.propose(&statemachine.MarkBrokerLost{Slot: b.Slot, Incarnation: b.Incarnation, Term: l.term}, func(_ statemachine.Result, err error) {
			// Danger: one of which it is not known whether it took effect may do so later, and a lease granted meanwhile stand against it.
			if p.leadership.term != 0 && p.leadership.losing[b.Slot] == b.Incarnation && !errors.As(err, new(*UncertainOutcomeError)) {
				delete(p.leadership.losing, b.Slot)
			}
		})
	}
}

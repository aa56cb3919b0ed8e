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
func (f *Participant) advanceRaft(now time.Duration) (next time.Duration) {
	next = f.raft.Tick(now)
	f.sendPackets()
	if err := f.raft.Err(); err != nil && !f.voterStopped {
		f.voterStopped = true
		slog.Error("fleet: this voter has stopped and only follows; searches go on", "error", err, "remedy", remedyOf(errors.Join(f.haltedBy, err)))
		f.startFollowing()
	}
	if f.leaving.Load() && f.raft.IsLeader() && now >= f.leadership.transferAfter {
		f.leadership.transferAfter = now + f.options.ElectionTimeout
		f.raft.TransferLeadership(now)
		f.sendPackets()
	}
	if !f.raft.IsLeader() {
		if f.leadership.term != 0 {
			slog.Info("fleet: leads no more", "term", f.leadership.term)
			f.leadership = leadership{}
		}
		return next
	}
	if f.leadership.term != f.raft.Term() {
		f.leadership = leadership{term: f.raft.Term(), sessions: map[statemachine.Slot]grantedLease{}, losing: map[statemachine.Slot]uint64{},
			reports: map[statemachine.Slot]ReceivedReport{}}
		slog.Info("fleet: leads", "term", f.leadership.term)
	}
	if !f.leadership.established && !f.leadership.proposing && now >= f.leadership.dueAt {
		// It may be refused, as of an earlier life, or given up with an incarnation; without it the term would pass with nothing done.
		f.leadership.proposing, f.leadership.dueAt = true, now+leaderInterval
		term := f.leadership.term
		f.propose(&statemachine.LeaderElected{Slot: f.options.Slot, Term: term}, func(statemachine.Result, error) {
			if f.leadership.term == term {
				f.leadership.proposing = false
			}
		})
	}
	if f.leadership.established && now >= f.leadership.dueAt {
		f.leadership.dueAt = now + leaderInterval
		f.proposeLosses(now)
		f.runLeaderTasks(now)
	}
	f.grantLeases(now)
	return min(next, now+leaderInterval)
}

// sendPackets saves and sends what Raft has for the others.
func (f *Participant) sendPackets() {
	for _, p := range f.raft.ProcessReady() {
		if c := f.voterConns[f.options.Voters[p.To-1].Name]; c != nil {
			f.send(c, framePacket, p.Data)
		}
	}
	for _, r := range f.raft.CompletedReads() {
		id := binary.BigEndian.Uint64(r.RequestContext)
		if fn := f.pendingReads[id]; fn != nil {
			delete(f.pendingReads, id)
			fn(r.Err)
		}
	}
}

// confirmedRead calls fn once this broker's copy is known to hold all that was agreed before this moment.
func (f *Participant) confirmedRead(fn func(error)) {
	f.lastReadID++
	f.pendingReads[f.lastReadID] = fn
	if err := f.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, f.lastReadID)); err != nil {
		delete(f.pendingReads, f.lastReadID)
		fn(err)
	}
}

// queueRenewals takes requests for a lease.
func (f *Participant) queueRenewals(all []leaseRenewal, now time.Duration) {
	if f.leadership.established && len(f.leadership.renewals) < maxBatch {
		f.leadership.renewals = append(f.leadership.renewals, all...)
	}
}

// grantLeases has a majority confirm that this broker leads, for all requests that wait, and then grants them.
func (f *Participant) grantLeases(now time.Duration) {
	l := &f.leadership
	if len(l.renewals) == 0 || l.readsInFlight >= 4 {
		return
	}
	batch, term := l.renewals, l.term
	l.renewals, l.readsInFlight = nil, l.readsInFlight+1
	f.confirmedRead(func(err error) {
		if f.leadership.term != term {
			return
		}
		f.leadership.readsInFlight--
		if err != nil || !f.raft.IsLeader() {
			return
		}
		// The granter counts from now, after the request; the holder from before it.
		at := f.options.Now()
		d := grantsFrame{Lease: int64(f.options.LeaseDuration), Leader: f.name}
		for _, r := range batch {
			slot := statemachine.Slot(r.Slot)
			b, known := f.state.Broker(slot)
			if !known || b.Incarnation != r.Incarnation || b.Status == statemachine.BrokerLost || f.leadership.losing[slot] == r.Incarnation {
				continue
			}
			f.leadership.sessions[slot] = grantedLease{r.Incarnation, at}
			d.Grants = append(d.Grants, r)
		}
		f.handleGrants(nil, d, at)
	})
}

// noteAppliedByLeader takes note of entries that matter to the leader.
func (f *Participant) noteAppliedByLeader(e statemachine.Entry, r statemachine.Result) {
	switch e := e.(type) {
	case *statemachine.LeaderElected:
		if f.leadership.term != 0 && e.Slot == f.options.Slot && e.Term == f.leadership.term && r.Err == nil {
			f.leadership.established, f.leadership.establishedAt = true, f.options.Now()
			f.leadership.planner = release.New(f.options.ReleaseGates, e.Term, f.leadership.establishedAt)
		}
	case *statemachine.RegisterBroker:
		if f.leadership.established && r.Err == nil && !r.Duplicate {
			f.leadership.sessions[e.Slot] = grantedLease{e.Incarnation, f.options.Now()}
		}
	}
}

// proposeLosses proposes that brokers are lost whose lease surely ran out.
func (f *Participant) proposeLosses(now time.Duration) {
	l := &f.leadership
	surely := f.options.LeaseDuration + time.Duration(float64(f.options.LeaseDuration)*f.options.MaxClockDrift)
	for _, b := range f.state.Brokers() {
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
		f.propose(&statemachine.MarkBrokerLost{Slot: b.Slot, Incarnation: b.Incarnation, Term: l.term}, func(_ statemachine.Result, err error) {
			// Danger: one of which it is not known whether it took effect may do so later, and a lease granted meanwhile stand against it.
			if f.leadership.term != 0 && f.leadership.losing[b.Slot] == b.Incarnation && !errors.As(err, new(*UncertainOutcomeError)) {
				delete(f.leadership.losing, b.Slot)
			}
		})
	}
}

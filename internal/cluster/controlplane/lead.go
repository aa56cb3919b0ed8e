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

const leadEvery = 100 * time.Millisecond

// lead is empty unless this broker leads.
type lead struct {
	term     uint64
	asked    bool          // its Lead is on its way
	on       bool          // its Lead is applied
	from     time.Duration // when that was
	sessions map[statemachine.Slot]held
	losing   map[statemachine.Slot]uint64 // incarnations whose loss is proposed: they are granted nothing more
	reports  map[statemachine.Slot]ReceivedReport
	waiting  []renewal
	reading  int
	due      time.Duration
	handed   time.Duration // the lead is offered to another no sooner
	planner  *release.Planner
	planning int // its proposals that are not applied yet
	plan     time.Duration
}

// held is when a session's lease was granted last.
type held struct {
	inc uint64
	at  time.Duration
}

// ReceivedReport is a broker's last report, as it came to the leader.
type ReceivedReport struct {
	Report
	Incarnation uint64
	ReceivedAt  time.Duration
}

// vote does what is due of Raft, and takes the lead up or lays it down.
func (f *Participant) vote(now time.Duration) (next time.Duration) {
	next = f.node.Tick(now)
	f.sendPackets()
	if err := f.node.Err(); err != nil && !f.broken {
		f.broken = true
		slog.Error("fleet: this voter has stopped and only follows; searches go on", "error", err, "remedy", remedyOf(errors.Join(f.halted, err)))
		f.follow()
	}
	if f.leaving.Load() && f.node.IsLeader() && now >= f.lead.handed {
		f.lead.handed = now + f.o.ElectionTimeout
		f.node.TransferLeadership(now)
		f.sendPackets()
	}
	if !f.node.IsLeader() {
		if f.lead.term != 0 {
			slog.Info("fleet: leads no more", "term", f.lead.term)
			f.lead = lead{}
		}
		return next
	}
	if f.lead.term != f.node.Term() {
		f.lead = lead{term: f.node.Term(), sessions: map[statemachine.Slot]held{}, losing: map[statemachine.Slot]uint64{},
			reports: map[statemachine.Slot]ReceivedReport{}}
		slog.Info("fleet: leads", "term", f.lead.term)
	}
	if !f.lead.on && !f.lead.asked && now >= f.lead.due {
		// It may be refused, as of an earlier life, or given up with an incarnation; without it the term would pass with nothing done.
		f.lead.asked, f.lead.due = true, now+leadEvery
		term := f.lead.term
		f.start(&statemachine.LeaderElected{Slot: f.o.Slot, Term: term}, func(statemachine.Result, error) {
			if f.lead.term == term {
				f.lead.asked = false
			}
		})
	}
	if f.lead.on && now >= f.lead.due {
		f.lead.due = now + leadEvery
		f.losses(now)
		f.doDuties(now)
	}
	f.grantLeases(now)
	return min(next, now+leadEvery)
}

// sendPackets saves and sends what Raft has for the others.
func (f *Participant) sendPackets() {
	for _, p := range f.node.ProcessReady() {
		if c := f.voters[f.o.Voters[p.To-1].Name]; c != nil {
			f.put(c, letterRaft, p.Data)
		}
	}
	for _, r := range f.node.CompletedReads() {
		id := binary.BigEndian.Uint64(r.RequestContext)
		if fn := f.reads[id]; fn != nil {
			delete(f.reads, id)
			fn(r.Err)
		}
	}
}

// read calls fn once this broker's copy is known to hold all that was agreed before this moment.
func (f *Participant) read(fn func(error)) {
	f.readID++
	f.reads[f.readID] = fn
	if err := f.node.ReadIndex(binary.BigEndian.AppendUint64(nil, f.readID)); err != nil {
		delete(f.reads, f.readID)
		fn(err)
	}
}

// renewals takes requests for a lease.
func (f *Participant) renewals(all []renewal, now time.Duration) {
	if f.lead.on && len(f.lead.waiting) < maxBatch {
		f.lead.waiting = append(f.lead.waiting, all...)
	}
}

// grantLeases has a majority confirm that this broker leads, for all requests that wait, and then grants them.
func (f *Participant) grantLeases(now time.Duration) {
	l := &f.lead
	if len(l.waiting) == 0 || l.reading >= 4 {
		return
	}
	batch, term := l.waiting, l.term
	l.waiting, l.reading = nil, l.reading+1
	f.read(func(err error) {
		if f.lead.term != term {
			return
		}
		f.lead.reading--
		if err != nil || !f.node.IsLeader() {
			return
		}
		// The granter counts from now, after the request; the holder from before it.
		at := f.o.Now()
		d := down{Lease: int64(f.o.LeaseDuration), Leader: f.name}
		for _, r := range batch {
			slot := statemachine.Slot(r.Slot)
			b, known := f.state.Broker(slot)
			if !known || b.Incarnation != r.Inc || b.Status == statemachine.BrokerLost || f.lead.losing[slot] == r.Inc {
				continue
			}
			f.lead.sessions[slot] = held{r.Inc, at}
			d.Grants = append(d.Grants, r)
		}
		f.takeDown(nil, d, at)
	})
}

// leadApplied takes note of entries that matter to the leader.
func (f *Participant) leadApplied(e statemachine.Entry, r statemachine.Result) {
	switch e := e.(type) {
	case *statemachine.LeaderElected:
		if f.lead.term != 0 && e.Slot == f.o.Slot && e.Term == f.lead.term && r.Err == nil {
			f.lead.on, f.lead.from = true, f.o.Now()
			f.lead.planner = release.NewPlanner(f.o.ReleaseGates, e.Term, f.lead.from)
		}
	case *statemachine.RegisterBroker:
		if f.lead.on && r.Err == nil && !r.Duplicate {
			f.lead.sessions[e.Slot] = held{e.Incarnation, f.o.Now()}
		}
	}
}

// losses proposes that brokers are lost whose lease surely ran out.
func (f *Participant) losses(now time.Duration) {
	l := &f.lead
	surely := f.o.LeaseDuration + time.Duration(float64(f.o.LeaseDuration)*f.o.MaxClockDrift)
	for _, b := range f.state.Brokers() {
		if b.Status == statemachine.BrokerLost {
			continue
		}
		last := l.from
		if s := l.sessions[b.Slot]; s.inc == b.Incarnation {
			last = max(last, s.at)
		}
		if now <= last+surely || l.losing[b.Slot] == b.Incarnation {
			continue
		}
		l.losing[b.Slot] = b.Incarnation
		slog.Warn("fleet: a broker is lost", "broker", b.Name, "slot", b.Slot, "incarnation", b.Incarnation, "silent_for", now-last)
		f.start(&statemachine.MarkBrokerLost{Slot: b.Slot, Incarnation: b.Incarnation, Term: l.term}, func(_ statemachine.Result, err error) {
			// Danger: one of which it is not known whether it took effect may do so later, and a lease granted meanwhile stand against it.
			if f.lead.term != 0 && f.lead.losing[b.Slot] == b.Incarnation && !errors.As(err, new(*UncertainOutcomeError)) {
				delete(f.lead.losing, b.Slot)
			}
		})
	}
}

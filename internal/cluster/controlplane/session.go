package controlplane

// This file owns this broker's session: its place in the roster, and the lease that tells it that it is not cut off. It counts
// from before it asked; the leader counts from after it granted (lead.go).

import (
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/statemachine"
)

const joinEvery = 200 * time.Millisecond

// lease is what was granted to this broker.
type lease struct {
	until  time.Duration // on this clock; holds only if now is before it
	up     bool          // as told last
	since  time.Duration
	leader string
	said   time.Duration // a conflict was logged
}

// held tells whether the lease runs at this moment. Danger: a process that was stopped and wakes up believes what was true when
// it fell asleep; so whoever acts asks here, with the time just read.
func (l *lease) held(now time.Duration) bool { return now < l.until }

// keepSession does what is due for it.
func (f *Participant) keepSession(now time.Duration) (next time.Duration) {
	if up := f.lease.held(now); up != f.lease.up {
		f.lease.up, f.lease.since, f.changed = up, now, true
		f.due.publish = 0
		if up {
			slog.Info("fleet: connected to the majority", "leader", f.lease.leader, "index", f.state.AppliedIndex(), "incarnation", f.inc)
		} else {
			slog.Warn("fleet: cut off from the majority; searches go on with what this broker holds, and it takes no permit")
		}
	}
	if now >= f.due.join {
		f.due.join = now + joinEvery
		f.join(now)
	}
	if now >= f.due.renew {
		f.due.renew = now + f.o.LeaseDuration/4
		if !f.lease.held(now + f.o.LeaseDuration/2) { // it is late: ask more often
			f.due.renew = now + f.o.LeaseDuration/10
		}
		if f.alive() && f.halted == nil { // one that sees no drain any more must not have others wait for its word
			f.up.Renewals = append(f.up.Renewals, renewal{uint32(f.o.Slot), f.inc, uint64(now) + 1})
		}
	}
	next = min(f.due.join, f.due.renew)
	if f.lease.up {
		next = min(next, f.lease.until)
	}
	return next
}

// alive tells whether the ledger has this broker under its present incarnation.
func (f *Participant) alive() bool {
	b, ok := f.state.Broker(f.o.Slot)
	return ok && b.Name == f.name && b.Incarnation == f.inc && b.Status != statemachine.BrokerLost
}

// mustGo tells whether this very process went by a permit, though it may not have heard that this was agreed.
func (f *Participant) mustGo() bool {
	b, known := f.state.Broker(f.o.Slot)
	p, holds := f.state.BrokerPermit(f.o.Slot)
	return known && holds && p.Used && b.Name == f.name && b.Incarnation == f.inc && p.Incarnation == f.inc
}

// join proposes what this broker's line in the roster lacks.
func (f *Participant) join(now time.Duration) {
	if f.joining || f.halted != nil || f.leaving.Load() {
		return
	}
	b, known := f.state.Broker(f.o.Slot)
	if f.mustGo() { // it comes back as the process that is started next, or not at all
		return
	}
	var e statemachine.Entry
	switch {
	case f.alive() && (b.Status == statemachine.BrokerJoining || b.Status == statemachine.BrokerReturning) && f.serving.Load():
		e = &statemachine.ReturnToService{Slot: f.o.Slot, Incarnation: f.inc}
	case f.alive():
		return
	case known && b.Name != f.name && b.Status != statemachine.BrokerLost && b.Status != statemachine.BrokerOut:
		if now-f.lease.said > 10*time.Second || f.lease.said == 0 {
			f.lease.said = now
			slog.Error("fleet: not registered", "error", &SlotTakenError{f.o.Slot, b.Name})
		}
		return
	default:
		if known && b.Incarnation >= f.inc { // lost while it lived: it comes back as a new one
			f.inc = b.Incarnation + 1
			f.abandon(errors.New("the session was lost"))
			f.lease.until = 0
		}
		e = &statemachine.RegisterBroker{Slot: f.o.Slot, Name: f.name, Incarnation: f.inc, Version: f.o.Version, Zone: f.o.Zone, Protocol: statemachine.SupportedProtocol}
	}
	f.joining = true
	f.start(e, func(r statemachine.Result, err error) {
		f.joining = false
		if f.due.renew = 0; err != nil && !errors.As(err, new(*UncertainOutcomeError)) {
			slog.Warn("fleet: not registered", "error", err)
		}
		f.due.join = 0
		if err != nil {
			f.due.join = f.o.Now() + joinEvery
		}
	})
}

// SetServing says that this broker takes searches: it counts as back.
func (f *Participant) SetServing() { f.serving.Store(true) }

// SetLeaving says that it stops: it does not come back by itself.
func (f *Participant) SetLeaving() { f.leaving.Store(true) }

// takeDown takes leases that the leader granted, and passes on those of others: to any, where it leads, else to those that follow.
func (f *Participant) takeDown(c *conn, d down, now time.Duration) {
	if c != nil && c != f.source && c.peer.Role != roleVoter || d.Lease <= 0 || len(d.Grants) > maxBatch {
		return
	}
	others := map[*conn]*down{}
	for _, g := range d.Grants {
		if statemachine.Slot(g.Slot) == f.o.Slot {
			f.granted(g, d, now)
		} else if to := f.via[statemachine.Slot(g.Slot)]; to != nil && (c == nil || to.follows) {
			if others[to] == nil {
				others[to] = &down{Lease: d.Lease, Leader: d.Leader}
			}
			others[to].Grants = append(others[to].Grants, g)
		}
	}
	for to, d := range others {
		f.put(to, letterDown, *d)
	}
}

// granted counts from when this broker asked, and takes the drift of clocks off.
func (f *Participant) granted(g renewal, d down, now time.Duration) {
	if g.Inc != f.inc || g.Token == 0 || g.Token-1 > uint64(now) || !f.alive() {
		return
	}
	until := time.Duration(g.Token-1) + time.Duration(float64(d.Lease)*(1-f.o.MaxClockDrift))
	if until > f.lease.until {
		f.lease.until, f.lease.leader, f.changed = until, d.Leader, true
	}
}

package controlplane

// This file owns what the search loop sees: one immutable view after another, of which it may miss some.

import (
	"context"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

const publishEvery = 10 * time.Millisecond

// View is what this broker knows of what is agreed. It is never changed once it is shown.
type View struct {
	Index              uint64
	Connected          bool          // the session's lease ran when it was made
	Since              time.Duration // from when on, by Options.Now
	LeaseEnd           time.Duration // of the session; what is granted holds up to then, by the clock at that moment
	Leader             string
	Self               statemachine.Broker // zero: not registered
	Incarnation        uint64
	Drains             []Drain
	Permit             statemachine.ReleasePermit // Number 0: none
	Lease              statemachine.ConnectionLease
	Policy             *statemachine.ConnectionPolicy // in force; nil: none
	WaitingPolicy      *statemachine.ConnectionPolicy
	AcknowledgedPolicy uint64
	Epoch              uint64
	Nodes              []statemachine.Node
	MustExit           bool  // this process has gone out by its permit, and must stop
	Halted             error // an entry of a newer version: nothing later is known
}

// Drain is an agreed drain of a node.
type Drain struct {
	Node   decision.NodeID
	Number uint64
	Acked  bool // by this broker
}

// LeaseHeld tells whether the session's lease runs at this moment.
func (v *View) LeaseHeld(now time.Duration) bool { return now < v.LeaseEnd }

// View is the newest.
func (f *Participant) View() *View { return f.view.Load() }

// Now is the clock of views.
func (f *Participant) Now() time.Duration { return f.o.Now() }

// show makes a view.
func (f *Participant) show(now time.Duration) {
	s := f.state
	v := &View{Index: s.AppliedIndex(), Connected: f.lease.held(now), Since: f.lease.since, LeaseEnd: f.lease.until, Leader: f.lease.leader,
		Incarnation: f.inc, Epoch: s.Epoch(), Halted: f.halted, MustExit: f.mustGo()}
	old := f.view.Load()
	if v.Epoch == old.Epoch && v.Epoch != 0 && !f.nodesMoved {
		v.Nodes = old.Nodes
	} else {
		v.Nodes = s.Nodes()
	}
	f.nodesMoved = false
	if f.alive() {
		v.Self, _ = s.Broker(f.o.Slot)
		v.Permit, _ = s.BrokerPermit(f.o.Slot)
		v.Lease, _ = s.Lease(f.o.Slot)
		v.AcknowledgedPolicy = s.AcknowledgedPolicy(f.o.Slot)
	}
	me := statemachine.BrokerIncarnation{Slot: f.o.Slot, Incarnation: f.inc}
	for _, d := range s.Drains() {
		v.Drains = append(v.Drains, Drain{d.Node, d.Number, slices.Contains(d.Acknowledged, me)})
	}
	policies := s.Policies()
	v.Policy = policies.InForce
	v.WaitingPolicy = policies.Waiting
	f.view.Store(v)
	select {
	case f.fresh <- struct{}{}:
	default:
	}
}

// publish hands views over; whoever takes them slowly gets the newest.
func (f *Participant) publish(ctx context.Context) {
	for {
		select {
		case <-f.fresh:
			if f.o.OnView != nil {
				f.o.OnView(f.view.Load())
			}
		case <-ctx.Done():
			return
		}
	}
}

package controlplane

// This file owns what the search loop sees: one immutable view after another, of which it may miss some.

import (
	"context"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

const viewInterval = 10 * time.Millisecond

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
func (p *Participant) View() *View { return p.latestView.Load() }

// Now is the clock of views.
func (p *Participant) Now() time.Duration { return p.options.Now() }

// updateView makes a view.
func (p *Participant) updateView(now time.Duration) {
	s := p.state
	v := &View{Index: s.AppliedIndex(), Connected: p.session.runsAt(now), Since: p.session.since, LeaseEnd: p.session.expiresAt, Leader: p.session.leader,
		Incarnation: p.incarnation, Epoch: s.Epoch(), Halted: p.haltedBy, MustExit: p.mustExit()}
	old := p.latestView.Load()
	if v.Epoch == old.Epoch && v.Epoch != 0 && !p.nodesChanged {
		v.Nodes = old.Nodes
	} else {
		v.Nodes = s.Nodes()
	}
	p.nodesChanged = false
	if p.isRegistered() {
		v.Self, _ = s.Broker(p.options.Slot)
		v.Permit, _ = s.BrokerPermit(p.options.Slot)
		v.Lease, _ = s.Lease(p.options.Slot)
		v.AcknowledgedPolicy = s.AcknowledgedPolicy(p.options.Slot)
	}
	me := statemachine.BrokerIncarnation{Slot: p.options.Slot, Incarnation: p.incarnation}
	for _, d := range s.Drains() {
		v.Drains = append(v.Drains, Drain{d.Node, d.Number, slices.Contains(d.Acknowledged, me)})
	}
	policies := s.Policies()
	v.Policy = policies.InForce
	v.WaitingPolicy = policies.Waiting
	p.latestView.Store(v)
	select {
	case p.viewChanged <- struct{}{}:
	default:
	}
}

// deliverViews hands views over; whoever takes them slowly gets the newest.
func (p *Participant) deliverViews(ctx context.Context) {
	for {
		select {
		case <-p.viewChanged:
			if p.options.OnView != nil {
				p.options.OnView(p.latestView.Load())
			}
		case <-ctx.Done():
			return
		}
	}
}

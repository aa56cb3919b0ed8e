package controlplane

import (
	"context"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// viewInterval is the shortest time between two views. A change of Connected does not wait for it.
const viewInterval = 10 * time.Millisecond

// View is this broker's view of the committed state and of its session. It is immutable. Its times are by Options.Now.
type View struct {
	Index              uint64
	Connected          bool          // the session's lease was valid when the view was made
	Since              time.Duration // when Connected last changed
	LeaseEnd           time.Duration // end of the session's lease; compare it with the current time before use
	Leader             string
	Self               statemachine.Broker // zero value: not registered
	Incarnation        uint64
	Drains             []Drain
	Permit             statemachine.ReleasePermit // its Number is 0 if there is none
	Lease              statemachine.ConnectionLease
	Policy             *statemachine.ConnectionPolicy // the policy in force; nil: none
	WaitingPolicy      *statemachine.ConnectionPolicy
	AcknowledgedPolicy uint64
	Epoch              uint64
	Nodes              []statemachine.Node
	MustExit           bool  // this process has used its permit to leave service, and must stop
	Halted             error // the error of an entry of a newer version, after which no entry is applied; nil: none
}

// Drain is a committed drain of a node.
type Drain struct {
	Node   decision.NodeID
	Number uint64
	Acked  bool // by this broker
}

// LeaseValid reports whether the session's lease is valid at a time.
func (v *View) LeaseValid(now time.Duration) bool { return now < v.LeaseEnd }

// View returns the newest view.
func (p *Participant) View() *View { return p.latestView.Load() }

// updateView makes a new view and signals deliverViews.
func (p *Participant) updateView(now time.Duration) {
	view := p.newView(now)
	p.latestView.Store(view)
	select {
	case p.viewChanged <- struct{}{}:
	default:
	}
}

func (p *Participant) newView(now time.Duration) *View {
	policies := p.state.Policies()
	view := &View{
		Index:         p.state.AppliedIndex(),
		Connected:     p.session.runsAt(now),
		Since:         p.session.since,
		LeaseEnd:      p.session.expiresAt,
		Leader:        p.session.leader,
		Incarnation:   p.incarnation,
		Epoch:         p.state.Epoch(),
		Nodes:         p.agreedNodes(),
		Policy:        policies.InForce,
		WaitingPolicy: policies.Waiting,
		Halted:        p.haltedBy,
		MustExit:      p.mustExit(),
	}
	slot := p.options.Slot
	if p.isRegistered() {
		view.Self, _ = p.state.Broker(slot)
		view.Permit, _ = p.state.BrokerPermit(slot)
		view.Lease, _ = p.state.Lease(slot)
		view.AcknowledgedPolicy = p.state.AcknowledgedPolicy(slot)
	}
	self := statemachine.BrokerIncarnation{Slot: slot, Incarnation: p.incarnation}
	for _, drain := range p.state.Drains() {
		acknowledged := slices.Contains(drain.Acknowledged, self)
		view.Drains = append(view.Drains, Drain{Node: drain.Node, Number: drain.Number, Acked: acknowledged})
	}
	return view
}

// agreedNodes returns the agreed node list. It reuses that of the last view if no line of it can have changed.
func (p *Participant) agreedNodes() []statemachine.Node {
	last := p.latestView.Load()
	epoch := p.state.Epoch()
	isSame := epoch == last.Epoch && epoch != 0 && !p.nodesChanged
	p.nodesChanged = false
	if isSame {
		return last.Nodes
	}
	return p.state.Nodes()
}

// deliverViews passes views to Options.OnView until ctx ends. If OnView is slow, it skips to the newest view.
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

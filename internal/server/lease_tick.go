package server

import (
	"time"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

const (
	proposalInterval = 300 * time.Millisecond // between two proposals of entries
)

// tick closes surplus connections, acknowledges grants and measures needs. It is called before each step, with the present time: a process
// that was stopped for longer than its lease resumes with connections that another broker holds by now.
func (b *connectionLeases) tick(now time.Duration) time.Duration {
	if now < b.due {
		return b.due
	}
	b.due = min(now+leaseInterval, b.holder.NextTimer(now))
	if b.view != nil && b.view.Index > 0 {
		b.updateFloors(b.view)
	}
	surplus, hard := b.holder.ExcessConnections(now)
	for _, r := range surplus {
		b.loop.connections().Shed(r.Node, r.Tenant, r.Connections, hard)
	}
	for i := range b.attempts {
		b.attempts[i].sent *= attemptDecay
		b.attempts[i].refused *= attemptDecay
	}
	b.measure(now)
	if b.view == nil || b.view.Self.Incarnation == 0 || now < b.proposedAt+proposalInterval {
		return b.due
	}
	me := b.view.Self
	if number := b.holder.PendingAck(now); number > 0 && b.view.Lease.Number == number && !b.view.Lease.Acknowledged {
		b.proposedAt = now
		b.proposeEntry(&statemachine.AcknowledgeLease{Slot: me.Slot, Incarnation: me.Incarnation, Number: number})
	}
	if b.agreedVersion > b.view.AcknowledgedPolicy && b.holder.WithinLease(now, true) {
		b.proposedAt = now
		b.proposeEntry(&statemachine.AcknowledgePolicy{Slot: me.Slot, Incarnation: me.Incarnation, Version: b.agreedVersion})
	}
	return b.due
}

// measure sees what is out to each node, and leaves what is needed for the next report.
func (b *connectionLeases) measure(now time.Duration) {
	b.needs.Decay(now)
	wants := map[connlease.LeaseKey]int{}
	b.loop.connections().Wants(func(node decision.NodeID, tenant, parts int) {
		wants[connlease.LeaseKey{Node: node, Tenant: tenant}] += parts
	})
	for k, parts := range wants {
		b.needs.Observe(k, float64(parts)/float64(b.streams))
	}
	rows := b.needs.AboveReserved(b.floors)
	if b.stopped {
		rows = nil
	}
	kept := rows[:0]
	for _, r := range rows {
		if r.Tenant >= 0 && r.Tenant < len(b.policyTenant) && b.policyTenant[r.Tenant] >= 0 {
			r.Tenant = b.policyTenant[r.Tenant]
			kept = append(kept, r)
		}
	}
	text := connlease.EncodeDemand(b.version, kept)
	b.needReport.Store(&text)
	endpoints := b.loop.endpoints()
	nodes := make(map[decision.NodeID]connpolicy.Node, len(endpoints))
	for id, n := range endpoints {
		nodes[id] = policyNode(n)
	}
	b.nodes.Store(&nodes)
}

// attemptShares counts a tenant's parts of late, and those that got no connection.
type attemptShares struct{ sent, refused float64 }

const (
	attemptDecay    = 0.8  // of these counts after each tick
	maxRefusedShare = 0.25 // of the parts: beyond, searches are turned away
	minRefused      = 5    // parts
)

func (b *connectionLeases) countAttempts(tenant int, sent, refused float64) {
	if b != nil && tenant >= 0 && tenant < len(b.attempts) {
		b.attempts[tenant].sent += sent
		b.attempts[tenant].refused += refused
	}
}

// overloaded tells whether so many of a tenant's parts got no connection of late that its next search is turned away before it takes
// a place, and when to come back: that is when the next one is let in. Danger: parts that get no connection are sent elsewhere, and
// elsewhere again, while the search's time runs out, and searches that would have had room lose theirs.
func (b *connectionLeases) overloaded(tenant int) (after time.Duration, full bool) {
	if b == nil || tenant < 0 || tenant >= len(b.attempts) || b.view == nil || b.view.Policy == nil {
		return 0, false
	}
	t := b.attempts[tenant]
	if t.refused < minRefused || t.refused < maxRefusedShare*t.sent {
		return 0, false
	}
	for n := t.refused; n >= minRefused; n *= attemptDecay {
		after += leaseInterval
	}
	return after, true
}

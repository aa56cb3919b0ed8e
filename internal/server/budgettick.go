package server

// This file owns what budgets have the loop do by themselves: close what is not held any more, say so, and measure needs. It must
// never wait, and it comes before anything is sent in a turn.

import (
	"time"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

// budgetTick closes, acknowledges and measures; it returns when to come again. Danger: a process that was stopped over its lease
// wakes with its connections, and units that another broker has by now; so this is asked before each turn, with the present time.
func (l *loop) budgetTick(now time.Duration) (next time.Duration) {
	b := l.budgets
	if now < b.due {
		return b.due
	}
	b.due = min(now+budgetEvery, b.holder.NextTimer(now))
	if b.view != nil && b.view.Index > 0 {
		b.bound(b.view)
	}
	surplus, hard := b.holder.ExcessConnections(now)
	for _, r := range surplus {
		l.pool.Shed(r.Node, r.Tenant, r.Connections, hard)
	}
	for i := range b.turned {
		b.turned[i].sent *= turnedKeep
		b.turned[i].refused *= turnedKeep
	}
	b.measure(now)
	if b.view == nil || b.view.Me.Incarnation == 0 || now < b.proposed+300*time.Millisecond {
		return b.due
	}
	me := b.view.Me
	if number := b.holder.PendingAck(now); number > 0 && b.view.Grant.Number == number && !b.view.Grant.Acknowledged {
		b.proposed = now
		b.propose(&statemachine.AcknowledgeLease{Slot: me.Slot, Incarnation: me.Incarnation, Number: number})
	}
	if b.newest > b.view.PolicyAcked && b.holder.WithinLease(now, true) {
		b.proposed = now
		b.propose(&statemachine.AcknowledgePolicy{Slot: me.Slot, Incarnation: me.Incarnation, Version: b.newest})
	}
	return b.due
}

// measure sees what is out to each node, and leaves what is needed for the next report.
func (b *budgets) measure(now time.Duration) {
	b.needs.Decay(now)
	wants := map[connlease.LeaseKey]int{}
	b.loop.pool.Wants(func(node decision.NodeID, tenant, parts int) {
		wants[connlease.LeaseKey{Node: node, Tenant: tenant}] += parts
	})
	for k, parts := range wants {
		b.needs.Observe(k, float64(parts)/float64(b.streams))
	}
	rows := b.needs.AboveReserved(b.floors)
	if b.shut {
		rows = nil
	}
	kept := rows[:0]
	for _, r := range rows {
		if r.Tenant >= 0 && r.Tenant < len(b.of) && b.of[r.Tenant] >= 0 {
			r.Tenant = b.of[r.Tenant]
			kept = append(kept, r)
		}
	}
	text := connlease.EncodeDemand(b.version, kept)
	b.report.Store(&text)
	nodes := make(map[decision.NodeID]connpolicy.Node, len(b.loop.nodes))
	for id, n := range b.loop.nodes {
		nodes[id] = nodeOf(n)
	}
	b.nodes.Store(&nodes)
}

// turned counts a tenant's parts of late, and those that got no connection.
type turned struct{ sent, refused float64 }

const (
	turnedKeep  = 0.8  // of these counts after each tick
	turnedShare = 0.25 // of the parts: beyond, searches are turned away
	turnedLeast = 5    // parts
)

func (b *budgets) count(tenant int, sent, refused float64) {
	if tenant >= 0 && tenant < len(b.turned) {
		b.turned[tenant].sent += sent
		b.turned[tenant].refused += refused
	}
}

// noRoom tells whether so many of a tenant's parts got no connection of late that its next search is turned away before it takes
// a place, and when to come back: that is when the next one is let in. Danger: parts that get no connection are sent elsewhere, and
// elsewhere again, while the search's time runs out, and searches that would have had room lose theirs.
func (b *budgets) noRoom(tenant int) (after time.Duration, full bool) {
	if tenant < 0 || tenant >= len(b.turned) || b.view == nil || b.view.Policy == nil {
		return 0, false
	}
	t := b.turned[tenant]
	if t.refused < turnedLeast || t.refused < turnedShare*t.sent {
		return 0, false
	}
	for n := t.refused; n >= turnedLeast; n *= turnedKeep {
		after += budgetEvery
	}
	return after, true
}

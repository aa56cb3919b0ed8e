package server

import (
	"time"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
)

// proposalInterval is the least time between two proposals, so that an entry is not proposed again before the next view can show it.
const proposalInterval = 300 * time.Millisecond

// tick closes surplus connections, measures demand and acknowledges grants. It must be called before each step with the current time: a
// process that was suspended for longer than its lease resumes with connections that may be granted to another broker by now.
func (b *connectionLeases) tick(now time.Duration) time.Duration {
	if now < b.nextTick {
		return b.nextTick
	}
	b.nextTick = min(now+leaseInterval, b.holder.NextPhaseChange(now))
	if b.view != nil && b.view.Index > 0 {
		b.updateReserved(b.view)
	}
	excess := b.holder.ExcessConnections(now)
	for _, r := range excess.Counts {
		b.loop.connections().ReleaseConnections(r.Node, r.Tenant, r.Connections, excess.Immediate)
	}
	for i := range b.attempts {
		b.attempts[i].sent *= attemptDecay
		b.attempts[i].denied *= attemptDecay
	}
	b.measureDemand(now)
	b.acknowledge(now)
	return b.nextTick
}

// acknowledge proposes the entries that say that this broker keeps to its newest grant and to the newest policy.
func (b *connectionLeases) acknowledge(now time.Duration) {
	if b.view == nil || b.view.Self.Incarnation == 0 || now < b.proposedAt+proposalInterval {
		return
	}
	self, lease := b.view.Self, b.view.Lease
	if number := b.holder.PendingAck(now); number > 0 && lease.Number == number && !lease.Acknowledged {
		b.proposedAt = now
		b.proposeEntry(&statemachine.AcknowledgeLease{Slot: self.Slot, Incarnation: self.Incarnation, Number: number})
	}
	if b.agreedVersion > b.view.AcknowledgedPolicy && b.holder.WithinLease(now) {
		b.proposedAt = now
		b.proposeEntry(&statemachine.AcknowledgePolicy{Slot: self.Slot, Incarnation: self.Incarnation, Version: b.agreedVersion})
	}
}

// measureDemand measures demand by the attempts that are in flight or wait for a connection. It publishes demand for the next load report,
// and the known nodes for the leader's tasks.
func (b *connectionLeases) measureDemand(now time.Duration) {
	b.demand.Decay(now)
	attemptsByKey := map[connlease.LeaseKey]int{}
	b.loop.connections().VisitInFlight(func(node decision.NodeID, tenant, attempts int) {
		attemptsByKey[connlease.LeaseKey{Node: node, Tenant: tenant}] += attempts
	})
	for key, attempts := range attemptsByKey {
		b.demand.Observe(key, float64(attempts)/float64(b.streams))
	}
	demand := b.demand.AboveReserved(b.reserved)
	if b.stopped {
		demand = nil
	}
	named := demand[:0]
	for _, n := range demand {
		if n.Tenant >= 0 && n.Tenant < len(b.policyTenant) && b.policyTenant[n.Tenant] >= 0 {
			n.Tenant = b.policyTenant[n.Tenant]
			named = append(named, n)
		}
	}
	report := connlease.EncodeDemand(b.version, named)
	b.demandReport.Store(&report)
	endpoints := b.loop.endpoints()
	nodes := make(map[decision.NodeID]connpolicy.Node, len(endpoints))
	for id, n := range endpoints {
		nodes[id] = policyNode(n)
	}
	b.nodes.Store(&nodes)
}

// attemptCounts counts a tenant's recent attempts that were sent, and those that were denied a connection.
type attemptCounts struct {
	sent   float64
	denied float64
}

const (
	attemptDecay   = 0.8  // factor of the counts at each tick
	maxDeniedShare = 0.25 // share of the attempts sent; queries are shed from this share on
	minDenied      = 5    // attempts; with fewer no query is shed
)

// countAttempts adds to a tenant's counts of attempts.
func (b *connectionLeases) countAttempts(tenant int, sent, denied float64) {
	if b != nil && tenant >= 0 && tenant < len(b.attempts) {
		b.attempts[tenant].sent += sent
		b.attempts[tenant].denied += denied
	}
}

// overloaded reports whether a tenant's next query is shed, before it takes slots, as too many of the tenant's recent attempts were denied a
// connection. It also returns after how long a query is admitted again. An attempt without a connection is retried at one node after another
// until the query's deadline passes, and takes connections from queries that would have had them.
func (b *connectionLeases) overloaded(tenant int) (retryAfter time.Duration, overloaded bool) {
	if b == nil || tenant < 0 || tenant >= len(b.attempts) || b.view == nil || b.view.Policy == nil {
		return 0, false
	}
	counts := b.attempts[tenant]
	if counts.denied < minDenied || counts.denied < maxDeniedShare*counts.sent {
		return 0, false
	}
	for denied := counts.denied; denied >= minDenied; denied *= attemptDecay {
		retryAfter += leaseInterval
	}
	return retryAfter, true
}

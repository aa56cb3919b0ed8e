package connlease

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Excess is what a broker must close.
type Excess struct {
	Counts    []ConnectionCount // in the order of keys
	Immediate bool              // those in use too; else idle ones first, and those in use get nothing more
}

// ExcessConnections is what must be closed now. Of the tenants at a node the one furthest above its lease gives first.
func (h *Holder) ExcessConnections(now time.Duration) Excess {
	phase := h.phase(now)
	excess := Excess{Immediate: phase == leaseEnding}
	if h.unlimited {
		return excess
	}
	for node, tenants := range h.tenantsAt {
		over := -h.reservedAt(node)
		for _, tenant := range tenants {
			over += max(0, h.excessOf(LeaseKey{Node: node, Tenant: tenant}, phase))
		}
		for ; over > 0; over-- {
			excess.addOne(h.tenantWithMostExcess(node, tenants, phase, excess.Counts))
		}
	}
	slices.SortFunc(excess.Counts, compareCounts)
	return excess
}

// excessOf is how many connections of a tenant that were not closed are above its lease.
func (h *Holder) excessOf(k LeaseKey, phase leasePhase) int {
	return h.open[k] - h.closing[k] - h.leasedInPhase(k, phase)
}

// tenantWithMostExcess is the tenant at a node that is furthest above its lease, once what is in counts is closed.
func (h *Holder) tenantWithMostExcess(node decision.NodeID, tenants []int, phase leasePhase, counts []ConnectionCount) LeaseKey {
	var most ConnectionCount
	for _, tenant := range tenants {
		k := LeaseKey{Node: node, Tenant: tenant}
		if n := h.excessOf(k, phase) - countOf(counts, k); n > most.Connections {
			most = ConnectionCount{LeaseKey: k, Connections: n}
		}
	}
	return most.LeaseKey
}

func countOf(counts []ConnectionCount, k LeaseKey) int {
	for _, c := range counts {
		if c.LeaseKey == k {
			return c.Connections
		}
	}
	return 0
}

func (e *Excess) addOne(k LeaseKey) {
	for i := range e.Counts {
		if e.Counts[i].LeaseKey == k {
			e.Counts[i].Connections++
			return
		}
	}
	e.Counts = append(e.Counts, ConnectionCount{LeaseKey: k, Connections: 1})
}

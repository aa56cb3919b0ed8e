package connlease

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Excess says how many connections a broker must close.
type Excess struct {
	Counts    []ConnectionCount // ordered by key
	Immediate bool              // also close connections in use; otherwise close idle ones first and send nothing new on those in use
}

// ExcessConnections returns what must be closed now. At each node the tenant furthest above its lease closes connections first.
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

// excessOf returns how many of a tenant's connections that are not yet closed are above its lease.
func (h *Holder) excessOf(k LeaseKey, phase leasePhase) int {
	return h.open[k] - h.closing[k] - h.leasedInPhase(k, phase)
}

// tenantWithMostExcess returns the tenant at a node that remains furthest above its lease once the connections in counts are closed.
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

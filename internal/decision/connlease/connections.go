package connlease

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// OpenResult says whether a connection may be opened, and on what grounds.
type OpenResult uint8

// The results of Open.
const (
	OpenDenied   OpenResult = iota
	OpenReserved            // allowed by the broker's reserved connections to the node
	OpenLeased              // allowed by the tenant's leased connections
)

// OpenConnections returns the number of connections that a tenant has to a node, including closed ones that the node may still count.
func (h *Holder) OpenConnections(k LeaseKey) int { return h.open[k] }

// leasedInPhase returns how many connections a lease allows in a phase.
func (h *Holder) leasedInPhase(k LeaseKey, phase leasePhase) int {
	if phase == leaseUsable {
		return h.leased[k]
	}
	return 0
}

// aboveLease returns how many of the connections that a node may count are above the tenants' leases, summed over its tenants.
func (h *Holder) aboveLease(node decision.NodeID, phase leasePhase) (n int) {
	for _, tenant := range h.tenantsAt[node] {
		k := LeaseKey{Node: node, Tenant: tenant}
		n += max(0, h.open[k]-h.leasedInPhase(k, phase))
	}
	return n
}

// MayOpen reports whether Open would allow a connection now.
func (h *Holder) MayOpen(k LeaseKey, now time.Duration) bool { return h.mayOpen(k, now) != OpenDenied }

func (h *Holder) mayOpen(k LeaseKey, now time.Duration) OpenResult {
	h.releaseClosed(now)
	phase := h.phase(now)
	switch {
	case h.open[k] < h.leasedInPhase(k, phase):
		return OpenLeased
	case h.unlimited || h.aboveLease(k.Node, phase) < h.reservedAt(k.Node):
		return OpenReserved
	default:
		return OpenDenied
	}
}

// Open decides whether a connection may be opened and, if so, counts it as open.
func (h *Holder) Open(k LeaseKey, now time.Duration) OpenResult {
	result := h.mayOpen(k, now)
	if result == OpenDenied {
		return OpenDenied
	}
	h.open[k]++
	if h.open[k] == 1 {
		h.tenantsAt[k.Node] = append(h.tenantsAt[k.Node], k.Tenant)
		slices.Sort(h.tenantsAt[k.Node])
	}
	return result
}

// RecordClosed stops counting a connection: at once if the node closed it, otherwise after the close delay, when the node has certainly
// noticed. Before that, a new connection from this or another broker could reach the node before the close does.
func (h *Holder) RecordClosed(k LeaseKey, byNode bool, now time.Duration) {
	if h.open[k] <= h.closing[k] {
		return
	}
	if byNode {
		h.removeOpen(k)
		return
	}
	h.closing[k]++
	h.closed = append(h.closed, closedConnection{key: k, closedAt: now})
}

// releaseClosed stops counting the closed connections whose close delay has passed.
func (h *Holder) releaseClosed(now time.Duration) {
	for len(h.closed) > 0 && h.closed[0].closedAt+h.closeDelay <= now {
		k := h.closed[0].key
		h.closed = h.closed[1:]
		h.closing[k]--
		if h.closing[k] == 0 {
			delete(h.closing, k)
		}
		h.removeOpen(k)
	}
}

func (h *Holder) removeOpen(k LeaseKey) {
	h.open[k]--
	if h.open[k] > 0 {
		return
	}
	delete(h.open, k)
	tenants := slices.DeleteFunc(h.tenantsAt[k.Node], func(t int) bool { return t == k.Tenant })
	h.tenantsAt[k.Node] = tenants
	if len(tenants) == 0 {
		delete(h.tenantsAt, k.Node)
	}
}

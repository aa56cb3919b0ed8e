package connlease

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// OpenResult is whether a connection may be opened, and by what.
type OpenResult uint8

// The results of Open.
const (
	OpenDenied   OpenResult = iota
	OpenReserved            // of the broker's reserved connections to the node
	OpenLeased              // of the tenant's leased ones
)

// OpenConnections is how many connections a tenant has to a node, with those that were closed and that the node may still count.
func (h *Holder) OpenConnections(k LeaseKey) int { return h.open[k] }

// leasedInPhase is how many connections a lease allows in a phase.
func (h *Holder) leasedInPhase(k LeaseKey, phase leasePhase) int {
	if phase == leaseUsable {
		return h.leased[k]
	}
	return 0
}

// aboveLease counts what a node may count beyond the leased connections of each tenant.
func (h *Holder) aboveLease(node decision.NodeID, phase leasePhase) (n int) {
	for _, tenant := range h.tenantsAt[node] {
		k := LeaseKey{Node: node, Tenant: tenant}
		n += max(0, h.open[k]-h.leasedInPhase(k, phase))
	}
	return n
}

// MayOpen tells whether Open would allow a connection now.
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

// Open asks for a connection, and counts it where it may be opened.
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

// RecordClosed counts a connection out: at once where its node ended it, else after the time in which the node surely notices. Until
// then the next one, opened here or by another broker, could reach the node before the end of this one does.
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

// releaseClosed counts out the closed connections that nodes have surely noticed.
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

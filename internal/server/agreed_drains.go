package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

const (
	drainInterval      = time.Second           // between two looks at drains that have nothing to wait for
	drainRetryInterval = 20 * time.Millisecond // between two looks at nodes that still hold attempts
)

// agreedDrain is a drain agreed by the tier, as this broker carries it out.
type agreedDrain struct {
	number      uint64
	routerStep  uint64 // the router has been told before this step
	enforced    bool   // nothing is sent any more
	ackProposed bool   // the acknowledgement is on its way
	acked       bool
}

// updateDrains compares the drains of a view with those known. The router hears of new ones as it would from discovery; for those that
// ended, what discovery says counts again.
func (v *controlPlaneView) updateDrains(drains []controlplane.Drain) {
	agreed := map[decision.NodeID]bool{}
	endpoints := v.loop.endpoints()
	var changed []decision.Endpoint
	for _, d := range drains {
		agreed[d.Node] = true
		known := v.drains[d.Node]
		if known == nil || known.number != d.Number {
			known = &agreedDrain{number: d.Number, routerStep: v.loop.stats().Steps + 1}
			v.drains[d.Node] = known
			slog.Info("node drain agreed", "component", "control-plane", "node", d.Node, "number", d.Number)
			if n, listed := endpoints[d.Node]; listed {
				changed = append(changed, v.withAgreedDrain(n.Endpoint))
			}
		}
		known.acked = d.Acked
	}
	for id := range v.drains {
		if agreed[id] {
			continue
		}
		delete(v.drains, id)
		slog.Info("node drain ended", "component", "control-plane", "node", id)
		if n, listed := endpoints[id]; listed {
			changed = append(changed, n.Endpoint)
		}
	}
	if len(changed) > 0 {
		v.loop.updateEndpoints(changed)
	}
}

// withAgreedDrain is an endpoint of discovery's list with the agreed drain over it. What discovery drains or removes stays so.
func (v *controlPlaneView) withAgreedDrain(e decision.Endpoint) decision.Endpoint {
	if v != nil && e.State == decision.Ready && v.drains[e.Node] != nil {
		e.State = decision.Draining
	}
	return e
}

// tick enforces a drain once no attempt is in flight to its node, and acknowledges it. From then on the node gets nothing, whatever the
// router decides: an acknowledgement counts for ever, and a node that is stopped on its strength would take queries with it.
func (v *controlPlaneView) tick(now time.Duration) time.Duration {
	next := now + drainInterval
	pool := v.loop.connections()
	for id, d := range v.drains {
		if d.acked && d.enforced || d.ackProposed {
			continue
		}
		if v.loop.stats().Steps < d.routerStep || pool.OutTo(id) > 0 {
			next = min(next, now+drainRetryInterval)
			continue
		}
		if !d.enforced {
			d.enforced = true
			pool.Retire(id)
		}
		if v.proposeAck != nil && v.view.Self.Incarnation > 0 && !d.acked {
			d.ackProposed = true
			v.proposeAck(id, d.number)
		}
	}
	return next
}

// refuse ends the attempts for a node whose drain is enforced; false: they may be sent.
func (v *controlPlaneView) refuse(node decision.NodeID, attempts []*store.Part) bool {
	if v == nil {
		return false
	}
	if d := v.drains[node]; d == nil || !d.enforced {
		return false
	}
	v.loop.connections().Refuse(attempts)
	return true
}

// retryAck has an acknowledgement proposed again that failed.
func (v *controlPlaneView) retryAck(m drainAckFailed) {
	if d := v.drains[m.node]; d != nil && d.number == m.number {
		d.ackProposed = false
	}
}

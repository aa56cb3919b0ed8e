package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

const (
	drainInterval      = time.Second           // between checks when no drain waits for attempts
	drainRetryInterval = 20 * time.Millisecond // between checks while a drain waits for the router or for attempts to end
)

// agreedDrain is this broker's progress with a node drain that the tier agreed on.
type agreedDrain struct {
	number      uint64
	routerStep  uint64 // the first router step that takes the drain into account
	enforced    bool   // no attempt is sent to the node any more
	ackProposed bool   // an acknowledgement is proposed and its outcome not known yet
	acked       bool
}

// updateDrains applies the drains of a new view. The router learns of a new drain as it would from discovery; once a drain has ended, the
// node's state in the endpoint list counts again.
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

// withAgreedDrain returns a listed endpoint, marked as draining if its node's drain is agreed. An endpoint that discovery reports as draining
// or removed is returned unchanged.
func (v *controlPlaneView) withAgreedDrain(e decision.Endpoint) decision.Endpoint {
	if v != nil && e.State == decision.Ready && v.drains[e.Node] != nil {
		e.State = decision.Draining
	}
	return e
}

// tick enforces a drain once no attempt is in flight to its node, and acknowledges it. From then on nothing is sent to the node, whatever
// the router decides: an acknowledgement can't be withdrawn, and attempts sent to a node that is stopped because of it would be lost.
func (v *controlPlaneView) tick(now time.Duration) time.Duration {
	next := now + drainInterval
	pool := v.loop.connections()
	for id, d := range v.drains {
		if d.acked && d.enforced || d.ackProposed {
			continue
		}
		if v.loop.stats().Steps < d.routerStep || pool.InFlightTo(id) > 0 {
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

// refuse ends the attempts and returns true if the node's drain is enforced; otherwise it returns false and the attempts may be sent.
func (v *controlPlaneView) refuse(node decision.NodeID, attempts []*store.Subrequest) bool {
	if v == nil {
		return false
	}
	if d := v.drains[node]; d == nil || !d.enforced {
		return false
	}
	v.loop.connections().EndUnsent(attempts)
	return true
}

// retryAck lets the next tick propose an acknowledgement again, unless a view shows by then that it is agreed.
func (v *controlPlaneView) retryAck(m drainAckFailed) {
	if d := v.drains[m.node]; d != nil && d.number == m.number {
		d.ackProposed = false
	}
}

package routing

import (
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// queryWithAllowed brings a query of one shard request that only some nodes may be sent.
func (r *rig) queryWithAllowed(allowed *decision.AllowedReplicas) uint64 {
	id := r.query(0, 3*time.Second, 0)
	r.events[len(r.events)-1].Allowed = allowed
	return id
}

// sentTo lists the nodes to which the attempts of a step were sent.
func sentTo(actions []decision.Action) (all []decision.NodeID) {
	for _, a := range actions {
		if a.Kind == decision.SendAttempt {
			all = append(all, a.Node)
		}
	}
	return all
}

func oneCellRig() *rig {
	settings := smallSettings()
	settings.Cells = 1
	settings.BrokerCount = 1
	settings.HedgingAllowed = true
	return newRig(settings, 5)
}

// A shard request goes to no other node than it may, whatever is out there: first sends, hedges and retries.
func TestOnlyAllowedReplicas(t *testing.T) {
	r := oneCellRig()
	allowed := []decision.NodeID{nodeID(1), nodeID(3)}
	for i := range 400 {
		if i%3 == 0 {
			r.query(0, 3*time.Second, 0)
		} else {
			r.queryWithAllowed(&decision.AllowedReplicas{Sticky: i%3 == 1, Nodes: slices.Clone(allowed)})
		}
		restricted := r.nextID
		for _, a := range r.step(5 * ms) {
			if a.Kind == decision.SendAttempt && a.ID == restricted && i%3 != 0 {
				require(t, slices.Contains(allowed, a.Node), "shard request %d went to %v", a.ID, a.Node)
			}
		}
		r.endAttempts(decision.OK, 20*ms, func(n decision.NodeID) bool { return i%7 > 0 })
		r.endAttempts(decision.ConnectionReset, 40*ms, nil)
	}
	require(t, r.violation == "", "%s", r.violation)
}

// What is sticky goes to the first of its replicas, idle or not, and in their order where that is gone; the others take it back
// once it is ended by them.
func TestStickyOrder(t *testing.T) {
	r := oneCellRig()
	order := []decision.NodeID{nodeID(4), nodeID(0), nodeID(2)}
	for range 5 {
		r.queryWithAllowed(&decision.AllowedReplicas{Sticky: true, Nodes: order})
		require(t, slices.Equal(sentTo(r.step(5*ms)), order[:1]), "not to the first")
	}
	r.list(decision.ListUpdateReceived, decision.Endpoint{Node: nodeID(4), State: decision.Draining, StartedAt: decision.StartedLongAgo})
	r.step(5 * ms)
	r.queryWithAllowed(&decision.AllowedReplicas{Sticky: true, Nodes: order})
	require(t, slices.Equal(sentTo(r.step(5*ms)), order[1:2]), "not to the second")
	r.queryWithAllowed(&decision.AllowedReplicas{Sticky: true})
	require(t, len(sentTo(r.step(5*ms))) == 0 && r.violation == "", "sent where it may not go, %s", r.violation)
}

// An answer that came too old is one that did not come: the shard request goes on elsewhere, and its node is none the worse for it.
func TestStaleAnswer(t *testing.T) {
	r := oneCellRig()
	allowed := &decision.AllowedReplicas{Sticky: true, Nodes: []decision.NodeID{nodeID(4), nodeID(0)}}
	queryID := r.queryWithAllowed(allowed)
	r.step(5 * ms)
	allowed.Nodes = allowed.Nodes[1:]
	r.endAttempts(decision.Stale, 0, nil)
	require(t, slices.Equal(sentTo(r.step(20*ms)), allowed.Nodes), "not sent on")
	allowed.Nodes = nil
	r.endAttempts(decision.Stale, 0, nil)
	shed := actionsOf(r.step(20*ms), decision.ShedQuery)
	require(t, len(shed) == 1 && shed[0].ID == queryID, "held on: %v", shed)
	require(t, r.router.IsAvailable(nodeID(4)) && r.violation == "", "a node is ejected for its lag, %s", r.violation)
	for range 30 {
		r.queryWithAllowed(&decision.AllowedReplicas{Nodes: []decision.NodeID{nodeID(1)}})
		r.step(20 * ms)
		r.endAttempts(decision.Stale, 0, nil)
		r.step(5 * ms)
	}
	require(t, r.router.IsAvailable(nodeID(1)), "a node is ejected for its lag")
}

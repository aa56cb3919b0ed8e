package routing

import (
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// queryWithAllowed adds a query with one shard request that may be sent to the allowed nodes only.
func (r *rig) queryWithAllowed(allowed *decision.AllowedReplicas) uint64 {
	id := r.query(0, 3*time.Second, 0)
	r.events[len(r.events)-1].Allowed = allowed
	return id
}

// sentTo returns the nodes to which the attempts of a step were sent.
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

// First attempts, hedges and retries of a shard request go to its allowed nodes only, whatever other replicas there are.
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
				require(t, slices.Contains(allowed, a.Node), "shard request %d sent to %v, which is not allowed", a.ID, a.Node)
			}
		}
		r.endAttempts(decision.OK, 20*ms, func(n decision.NodeID) bool { return i%7 > 0 })
		r.endAttempts(decision.ConnectionReset, 40*ms, nil)
	}
	require(t, r.violation == "", "%s", r.violation)
}

// A sticky shard request goes to the first of its allowed nodes, idle or not, and to the next one if the first is draining. Without an
// allowed node it is sent nowhere.
func TestStickyOrder(t *testing.T) {
	r := oneCellRig()
	order := []decision.NodeID{nodeID(4), nodeID(0), nodeID(2)}
	for range 5 {
		r.queryWithAllowed(&decision.AllowedReplicas{Sticky: true, Nodes: order})
		require(t, slices.Equal(sentTo(r.step(5*ms)), order[:1]), "not sent to the first allowed node")
	}
	r.list(decision.ListUpdateReceived, decision.Endpoint{Node: nodeID(4), State: decision.Draining, StartedAt: decision.StartedLongAgo})
	r.step(5 * ms)
	r.queryWithAllowed(&decision.AllowedReplicas{Sticky: true, Nodes: order})
	require(t, slices.Equal(sentTo(r.step(5*ms)), order[1:2]), "not sent to the second allowed node")
	r.queryWithAllowed(&decision.AllowedReplicas{Sticky: true})
	require(t, len(sentTo(r.step(5*ms))) == 0 && r.violation == "", "sent to a node that is not allowed; violation: %q", r.violation)
}

// A stale answer does not count as an answer: the shard request is retried at another node. The health of its node does not suffer.
func TestStaleAnswer(t *testing.T) {
	r := oneCellRig()
	allowed := &decision.AllowedReplicas{Sticky: true, Nodes: []decision.NodeID{nodeID(4), nodeID(0)}}
	queryID := r.queryWithAllowed(allowed)
	r.step(5 * ms)
	allowed.Nodes = allowed.Nodes[1:]
	r.endAttempts(decision.Stale, 0, nil)
	require(t, slices.Equal(sentTo(r.step(20*ms)), allowed.Nodes), "not sent to the other allowed node")
	allowed.Nodes = nil
	r.endAttempts(decision.Stale, 0, nil)
	shed := actionsOf(r.step(20*ms), decision.ShedQuery)
	require(t, len(shed) == 1 && shed[0].ID == queryID, "query without an allowed node not shed: %v", shed)
	require(t, r.router.IsAvailable(nodeID(4)) && r.violation == "", "a node is ejected for a stale answer; violation: %q", r.violation)
	for range 30 {
		r.queryWithAllowed(&decision.AllowedReplicas{Nodes: []decision.NodeID{nodeID(1)}})
		r.step(20 * ms)
		r.endAttempts(decision.Stale, 0, nil)
		r.step(5 * ms)
	}
	require(t, r.router.IsAvailable(nodeID(1)), "a node is ejected for stale answers")
}

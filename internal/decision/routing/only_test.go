package routing

import (
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// narrow brings a search of one part that only some nodes may be sent.
func (r *rig) narrow(only *decision.AllowedReplicas) uint64 {
	id := r.ask(0, 3*time.Second, 0)
	r.events[len(r.events)-1].Allowed = only
	return id
}

// to tells where the parts of a turn were sent.
func to(actions []decision.Action) (all []decision.NodeID) {
	for _, a := range actions {
		if a.Kind == decision.SendAttempt {
			all = append(all, a.Node)
		}
	}
	return all
}

func onlyRig() *rig {
	tm := smallTerms()
	tm.Cells, tm.BrokerCount, tm.HedgingAllowed = 1, 1, true
	return newRig(tm, 5)
}

// A part goes to no other node than it may, whatever is out there: first sends, copies and resends.
func TestOnlyEligibleHolders(t *testing.T) {
	r := onlyRig()
	may := []decision.NodeID{nodeID(1), nodeID(3)}
	for i := range 400 {
		if i%3 == 0 {
			r.ask(0, 3*time.Second, 0)
		} else {
			r.narrow(&decision.AllowedReplicas{Sticky: i%3 == 1, Nodes: slices.Clone(may)})
		}
		narrowed := r.nextID
		for _, a := range r.step(5 * ms) {
			if a.Kind == decision.SendAttempt && a.ID == narrowed && i%3 != 0 {
				must(t, slices.Contains(may, a.Node), "part %d went to %v", a.ID, a.Node)
			}
		}
		r.endWhere(decision.OK, 20*ms, func(n decision.NodeID) bool { return i%7 > 0 })
		r.endWhere(decision.ConnectionReset, 40*ms, nil)
	}
	must(t, r.bad == "", "%s", r.bad)
}

// What is pinned goes to the first of its holders, idle or not, and in their order where that is gone; the others take it back
// once it is ended by them.
func TestPinnedOrder(t *testing.T) {
	r := onlyRig()
	order := []decision.NodeID{nodeID(4), nodeID(0), nodeID(2)}
	for range 5 {
		r.narrow(&decision.AllowedReplicas{Sticky: true, Nodes: order})
		must(t, slices.Equal(to(r.step(5*ms)), order[:1]), "not to the first")
	}
	r.list(decision.ListUpdateReceived, decision.Endpoint{Node: nodeID(4), State: decision.Draining, StartedAt: decision.StartedLongAgo})
	r.step(5 * ms)
	r.narrow(&decision.AllowedReplicas{Sticky: true, Nodes: order})
	must(t, slices.Equal(to(r.step(5*ms)), order[1:2]), "not to the second")
	r.narrow(&decision.AllowedReplicas{Sticky: true})
	must(t, len(to(r.step(5*ms))) == 0 && r.bad == "", "sent where it may not go, %s", r.bad)
}

// An answer that came too old is one that did not come: the part goes on elsewhere, and its node is none the worse for it.
func TestStaleAnswer(t *testing.T) {
	r := onlyRig()
	only := &decision.AllowedReplicas{Sticky: true, Nodes: []decision.NodeID{nodeID(4), nodeID(0)}}
	id := r.narrow(only)
	r.step(5 * ms)
	only.Nodes = only.Nodes[1:]
	r.endWhere(decision.Stale, 0, nil)
	must(t, slices.Equal(to(r.step(20*ms)), only.Nodes), "not sent on")
	only.Nodes = nil
	r.endWhere(decision.Stale, 0, nil)
	shed := pick(r.step(20*ms), decision.ShedQuery)
	must(t, len(shed) == 1 && shed[0].ID == id, "held on: %v", shed)
	must(t, r.l.IsAvailable(nodeID(4)) && r.bad == "", "a node is distrusted for its lag, %s", r.bad)
	for range 30 {
		r.narrow(&decision.AllowedReplicas{Nodes: []decision.NodeID{nodeID(1)}})
		r.step(20 * ms)
		r.endWhere(decision.Stale, 0, nil)
		r.step(5 * ms)
	}
	must(t, r.l.IsAvailable(nodeID(1)), "a node is distrusted for its lag")
}

package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// listWatcher subscribes to the endpoint list and applies lists and updates to the nodes.
type listWatcher struct {
	router     *Router
	inbox      inbox
	subscribed bool          // a poll or watch is in progress
	pollAt     time.Duration // earliest time of the next poll
	nextDueAt  time.Duration // time of the next step that is needed; never: none
	backoff    time.Duration
}

func (w *listWatcher) handle(m *message) {
	switch {
	case m.kind == ticked:
		w.subscribeIfDue()
	case m.event.Kind == decision.ListPollFailed:
		w.scheduleNextPoll()
	default:
		w.backoff = initialPollBackoff
		w.merge(m.event)
	}
}

// merge applies a full list or an update: it adds the nodes that are new and sends each node its entry.
func (w *listWatcher) merge(e *decision.Event) {
	r := w.router
	w.forgetUnlisted()
	for i := range e.Endpoints {
		line := e.Endpoints[i]
		index, known := r.indexes[line.Node]
		if !known {
			if line.State == decision.Removed {
				continue
			}
			index = w.addNode(line)
		}
		n := r.nodes[index]
		n.listedIn = e
		n.unlistedAt = never
		if line.State == decision.Removed {
			n.unlistedAt = r.now
		}
		r.post(&n.inbox, message{kind: endpointListed, endpoint: line})
	}
	if e.Kind == decision.FullListReceived {
		w.removeMissing(e)
	}
	for _, n := range r.nodes {
		n.listedIn = nil // the event belongs to the caller of Step
	}
}

func (w *listWatcher) addNode(line decision.Endpoint) nodeIndex {
	r := w.router
	d := &r.dispatcher
	index := w.freeIndex()
	r.indexes[line.Node] = index
	n := &nodeHealth{router: r, index: index, id: line.Node, startedAt: decision.StartedLongAgo, costFactor: 1}
	n.inbox.recipient = n
	r.nodes[index] = n
	d.endpoints.all[index] = endpoint{
		id:         line.Node,
		zone:       line.Zone,
		costFactor: 1,
		slowStart:  slowStart{share: 1},
		health:     healthCheckState{lastAliveAt: -time.Hour},
	}
	d.zones.grow(line.Zone + 1)
	return index
}

// freeIndex returns the index of a forgotten node for reuse, or a new index.
func (w *listWatcher) freeIndex() nodeIndex {
	r := w.router
	if n := len(r.freeIndexes); n > 0 {
		index := r.freeIndexes[n-1]
		r.freeIndexes = r.freeIndexes[:n-1]
		return index
	}
	index := nodeIndex(len(r.nodes))
	r.nodes = append(r.nodes, nil)
	r.dispatcher.endpoints.all = append(r.dispatcher.endpoints.all, endpoint{})
	return index
}

// removeMissing tells each node that is missing from a full list that it was removed.
func (w *listWatcher) removeMissing(e *decision.Event) {
	r := w.router
	for _, n := range r.nodes {
		if !w.isKnown(n) || n.listedIn == e {
			continue
		}
		n.unlistedAt = min(n.unlistedAt, r.now)
		r.post(&n.inbox, message{
			kind:     endpointListed,
			endpoint: decision.Endpoint{Cell: n.cell, State: decision.Removed, StartedAt: n.startedAt},
		})
	}
}

// isKnown reports whether a node's index still belongs to it, that is, whether the node has not been forgotten.
func (w *listWatcher) isKnown(n *nodeHealth) bool {
	index, known := w.router.indexes[n.id]
	return known && index == n.index
}

// forgetUnlisted frees the indexes of nodes that left the list so long ago that no query in flight can refer to them. Nodes are
// replaced under new ids all the time, so without this their state would accumulate.
func (w *listWatcher) forgetUnlisted() {
	r := w.router
	t := &r.dispatcher.endpoints
	for _, n := range r.nodes {
		if !w.isKnown(n) || n.unlistedAt == never || r.now-n.unlistedAt <= r.longestTimeout {
			continue
		}
		e := &t.all[n.index]
		t.cell(e.cell).remove(n.index)
		delete(r.indexes, n.id)
		*e = endpoint{costFactor: 1, slowStart: slowStart{share: 1}}
		r.freeIndexes = append(r.freeIndexes, n.index)
	}
}

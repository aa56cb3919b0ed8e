package server

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/config/remedy"
	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
)

// handleList handles the endpoint list, or the error, that a poll of discovery returned.
func (l *loop) handleList(list *discovery.List, err error) {
	l.pollFailed = err != nil
	if err != nil {
		l.counters.ListsFailed++
		l.publishEndpoints()
		l.cachedList.pollFailed()
		slog.Warn("endpoint list poll failed", "component", "discovery", "error", err, "remedy", remedy.Of(err))
		l.post(decision.Event{Kind: decision.ListPollFailed})
		return
	}
	if list.CellCount != 0 && list.CellCount != l.cells {
		return // decoded for the old number of cells; a full list decoded for the new number follows
	}
	l.counters.ListsReceived++
	l.applyList(list)
	l.membership.shareList(list)
	l.cachedList.confirmList(list)
}

// applyList passes a full list, or the endpoints that changed, to the pool and the router. The pool never has a node that the router does not
// know of.
func (l *loop) applyList(list *discovery.List) {
	e := decision.Event{Kind: decision.ListUpdateReceived}
	if list.Full {
		e.Kind = decision.FullListReceived
	}
	listed := map[decision.NodeID]bool{}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		previous, known := l.nodes[n.Endpoint.Node]
		if known && previous.Name != n.Name {
			slog.Error("two nodes share an id", "component", "discovery", "node", n.Name, "other_node", previous.Name)
			continue
		}
		endpoint := l.controlPlane.withAgreedDrain(n.Endpoint)
		e.Endpoints = append(e.Endpoints, endpoint)
		listed[n.Endpoint.Node] = true
		l.applyEndpoint(n, endpoint.State)
		if !known || previous != *n {
			slog.Info("node listed", "component", "discovery", "node", n.Name, "id", n.Endpoint.Node, "address", n.Address,
				"state", n.Endpoint.State, "zone", n.Endpoint.Zone, "cell", n.Endpoint.Cell)
		}
	}
	if list.Full {
		l.dropUnlisted(listed)
	}
	l.readPins.updateEndpoints(list.Full, e.Endpoints)
	l.post(e)
	l.publishEndpoints()
}

// applyEndpoint adds a node to the pool, or removes it if its state is Removed. state is the endpoint's state, overridden by an agreed drain:
// attempts that are queued for a node that is not ready are ended.
func (l *loop) applyEndpoint(n *discovery.Node, state decision.EndpointState) {
	id := n.Endpoint.Node
	if n.Endpoint.State == decision.Removed {
		delete(l.nodes, id)
		l.pool.RemoveNode(id)
		return
	}
	l.nodes[id] = *n
	l.pool.SetNode(id, n.Name, n.Address, n.Endpoint.StartedAt)
	if state != decision.Ready {
		l.pool.EndQueued(id)
	}
}

// dropUnlisted drops the nodes that are missing from a full list, in the order of their names.
func (l *loop) dropUnlisted(listed map[decision.NodeID]bool) {
	var unlisted []discovery.Node
	for id, n := range l.nodes {
		if !listed[id] {
			unlisted = append(unlisted, n)
		}
	}
	slices.SortFunc(unlisted, func(a, b discovery.Node) int { return strings.Compare(a.Name, b.Name) })
	for _, n := range unlisted {
		slog.Info("node unlisted", "component", "discovery", "node", n.Name, "id", n.Endpoint.Node)
		delete(l.nodes, n.Endpoint.Node)
		l.pool.RemoveNode(n.Endpoint.Node)
	}
}

// updateEndpoints tells the router and read pins of endpoints whose state changed without discovery. Read pins would otherwise rely on a
// drained node, or avoid a node whose drain has ended.
func (l *loop) updateEndpoints(changed []decision.Endpoint) {
	l.post(decision.Event{Kind: decision.ListUpdateReceived, Endpoints: changed})
	l.readPins.updateEndpoints(false, changed)
}

// requestList requests a poll of discovery.
func (l *loop) requestList() { l.pollDiscovery() }

// confirmByGossip tells the cached list of an endpoint's state that another broker received from discovery.
func (l *loop) confirmByGossip(n *discovery.Node) { l.cachedList.confirmByGossip(n) }

// startTime returns when the broker started.
func (l *loop) startTime() time.Time { return l.start }

// warmUpTime returns how long a node warms up after its start.
func (l *loop) warmUpTime() time.Duration { return l.settings.Module.WarmUpTime }

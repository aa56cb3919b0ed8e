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

// handleList takes what a poll of discovery returned.
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
		return // read before the layout changed; the full list of the new one is polled
	}
	l.counters.ListsReceived++
	l.applyList(list)
	l.membership.shareList(list)
	l.cachedList.confirmList(list)
}

// applyList gives a full list, or the endpoints that changed, to the pool and the router. The pool never has a node that the router is not
// told of.
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

// applyEndpoint has the pool connect to a node, or drop it. state is that of the endpoint with an agreed drain over it.
func (l *loop) applyEndpoint(n *discovery.Node, state decision.EndpointState) {
	id := n.Endpoint.Node
	if n.Endpoint.State == decision.Removed {
		delete(l.nodes, id)
		l.pool.Drop(id)
		return
	}
	l.nodes[id] = *n
	l.pool.Point(id, n.Name, n.Address, n.Endpoint.StartedAt)
	if state != decision.Ready {
		l.pool.Withhold(id)
	}
}

// dropUnlisted drops the nodes that a full list lacks, in the order of their names.
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
		l.pool.Drop(n.Endpoint.Node)
	}
}

// updateEndpoints tells the router of endpoints whose state changed without discovery, and read pins, which would otherwise count on a
// drained node, or pass it by once its drain has ended.
func (l *loop) updateEndpoints(changed []decision.Endpoint) {
	l.post(decision.Event{Kind: decision.ListUpdateReceived, Endpoints: changed})
	l.readPins.updateEndpoints(false, changed)
}

// requestList polls discovery.
func (l *loop) requestList() { l.pollDiscovery() }

// confirmByGossip tells the cached list of an endpoint's state that discovery told another broker.
func (l *loop) confirmByGossip(n *discovery.Node) { l.cachedList.confirmByGossip(n) }

// startTime is when the broker started.
func (l *loop) startTime() time.Time { return l.start }

// warmUpTime is how long a node that has just started is warming up.
func (l *loop) warmUpTime() time.Duration { return l.settings.Module.WarmUpTime }

package server

// This file owns how a node list reaches the module and the pool. It must never point the pool at a node that
// the module is not told of.

import (
	"log/slog"
	"slices"
	"strings"

	"flaxfront/internal/config/remedy"
	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
)

func (l *loop) handleList(list *discovery.List, err error) {
	if l.pollFailed = err != nil; l.pollFailed {
		l.counters.ListsFailed++
		if l.controlPlane != nil {
			l.publishEndpoints(l.controlPlane.endpoints)
		}
		if l.cachedList != nil {
			l.cachedList.judge.DiscoveryFailed()
		}
		slog.Info("list not had", "error", err, "what_to_do", remedy.Of(err))
		l.events = append(l.events, decision.Event{Kind: decision.ListPollFailed})
		return
	}
	if list.CellCount != 0 && list.CellCount != l.cells {
		return // read before the layout changed; the whole list of the new one is asked for
	}
	l.counters.ListsTaken++
	l.applyList(list)
	if l.membership != nil {
		l.shareList(list)
	}
	if l.cachedList != nil {
		l.confirmList(list)
	}
}

// applyList takes over a list, or the lines that changed.
func (l *loop) applyList(list *discovery.List) {
	e := decision.Event{Kind: decision.ListUpdateReceived}
	named := map[decision.NodeID]bool{}
	if list.Full {
		e.Kind = decision.FullListReceived
	}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		id := n.Endpoint.Node
		last, known := l.nodes[id]
		if known && last.Name != n.Name {
			slog.Error("two nodes share an id", "node", n.Name, "other", last.Name)
			continue
		}
		e.Endpoints = append(e.Endpoints, l.withAgreedDrain(n.Endpoint))
		named[id] = true
		if n.Endpoint.State == decision.Removed {
			delete(l.nodes, id)
			l.pool.Drop(id)
		} else {
			l.nodes[id] = *n
			l.pool.Point(id, n.Name, n.Address, n.Endpoint.StartedAt)
			if e.Endpoints[len(e.Endpoints)-1].State != decision.Ready {
				l.pool.Withhold(id)
			}
		}
		if !known || last != *n {
			slog.Info("node listed", "node", n.Name, "id", id, "addr", n.Address, "state", n.Endpoint.State,
				"zone", n.Endpoint.Zone, "cell", n.Endpoint.Cell)
		}
	}
	if list.Full {
		var unlisted []discovery.Node
		for id, n := range l.nodes {
			if !named[id] {
				unlisted = append(unlisted, n)
			}
		}
		slices.SortFunc(unlisted, func(a, b discovery.Node) int { return strings.Compare(a.Name, b.Name) })
		for _, n := range unlisted {
			slog.Info("node unlisted", "node", n.Name, "id", n.Endpoint.Node)
			delete(l.nodes, n.Endpoint.Node)
			l.pool.Drop(n.Endpoint.Node)
		}
	}
	if l.readPins != nil {
		l.readPins.positions.UpdateEndpoints(l.since(), list.Full, e.Endpoints)
	}
	l.events = append(l.events, e)
	if l.controlPlane != nil {
		l.publishEndpoints(l.controlPlane.endpoints)
	}
}

package server

import (
	"slices"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

const epochInterval = 500 * time.Millisecond

// endpointSnapshot is a copy of a broker's endpoints for the control plane's goroutine.
type endpointSnapshot struct {
	release.NodeList
	nameByID map[decision.NodeID]string
	idByName map[string]decision.NodeID // by name and by address
}

// shardsOfCell returns the shards that have replicas in a cell.
func shardsOfCell(cell int, t *terms.Terms) (shards []uint32) {
	for s := range t.Shards {
		if (cell-s%t.Module.Cells+t.Module.Cells)%t.Module.Cells < t.Module.CellsPerShard {
			shards = append(shards, uint32(s))
		}
	}
	return shards
}

// publishEndpoints publishes a snapshot of the endpoints to the control plane's goroutine.
func (l *loop) publishEndpoints() {
	if l.controlPlane == nil {
		return
	}
	s := &endpointSnapshot{nameByID: map[decision.NodeID]string{}, idByName: map[string]decision.NodeID{}}
	s.Ready = map[decision.NodeID]bool{}
	s.StableSince = l.since()
	s.Confirmed = l.counters.ListsReceived > 0 && !l.pollFailed
	for id, n := range l.nodes {
		s.Nodes = append(s.Nodes, statemachine.NodeInfo{Node: id, Zone: n.Zone, Shards: shardsOfCell(n.Endpoint.Cell, l.settings)})
		s.nameByID[id] = n.Name
		s.idByName[n.Name] = id
		s.idByName[n.Address.String()] = id
		s.Ready[id] = n.Endpoint.State == decision.Ready
	}
	slices.SortFunc(s.Nodes, func(a, b statemachine.NodeInfo) int { return statemachine.CompareNodes(a.Node, b.Node) })
	l.controlPlane.publishEndpoints(s)
}

// epochProposals returns the leader's task that proposes the log entries which the latest endpoint snapshot requires.
func epochProposals(from *atomic.Pointer[endpointSnapshot]) func(controlplane.LeaderContext) []statemachine.Entry {
	return func(leader controlplane.LeaderContext) []statemachine.Entry {
		if snapshot := from.Load(); snapshot != nil {
			return snapshot.NextEntries(leader.State, leader.Now)
		}
		return nil
	}
}

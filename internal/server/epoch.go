package server

// This file owns the way of a broker's node list to the fleet; what a leader makes of it is decide/release's to say.

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

// endpointSnapshot is a broker's node list for the fleet's goroutine.
type endpointSnapshot struct {
	release.NodeList
	names map[decision.NodeID]string
	ids   map[string]decision.NodeID // by name and by address
}

// shardsOfCell are the shards whose holders lie in a cell.
func shardsOfCell(cell int, t *terms.Terms) (shards []uint32) {
	for s := range t.Shards {
		if (cell-s%t.Module.Cells+t.Module.Cells)%t.Module.Cells < t.Module.CellsPerShard {
			shards = append(shards, uint32(s))
		}
	}
	return shards
}

// publishEndpoints leaves the list for the fleet.
func (l *loop) publishEndpoints(to *atomic.Pointer[endpointSnapshot]) {
	have := &endpointSnapshot{names: map[decision.NodeID]string{}, ids: map[string]decision.NodeID{}}
	have.Ready, have.StableSince, have.Confirmed = map[decision.NodeID]bool{}, l.since(), l.counters.ListsTaken > 0 && !l.pollFailed
	for id, n := range l.nodes {
		have.Nodes = append(have.Nodes, statemachine.NodeInfo{Node: id, Zone: n.Zone, Shards: shardsOfCell(n.Endpoint.Cell, l.settings)})
		have.names[id], have.ids[n.Name], have.ids[n.Address.String()] = n.Name, id, id
		have.Ready[id] = n.Endpoint.State == decision.Ready
	}
	slices.SortFunc(have.Nodes, func(a, b statemachine.NodeInfo) int { return statemachine.CompareNodes(a.Node, b.Node) })
	if was := to.Load(); was != nil {
		have.KeepStableSince(&was.NodeList)
	}
	to.Store(have)
}

// epochProposals proposes what the list calls for.
func epochProposals(from *atomic.Pointer[endpointSnapshot]) func(controlplane.LeaderContext) []statemachine.Entry {
	return func(m controlplane.LeaderContext) []statemachine.Entry {
		if have := from.Load(); have != nil {
			return have.NextEntries(m.State, m.Now)
		}
		return nil
	}
}

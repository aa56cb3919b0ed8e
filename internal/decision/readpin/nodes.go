package readpin

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// node is an endpoint, or an unused slot for one.
type node struct {
	id        decision.NodeID
	cell      int
	used      bool
	ready     bool
	inEpoch   bool
	removedAt time.Duration // when the list ceased to name it; DistantPast: it is listed
	positions []position    // by shard, see Tracker.position
	rate      meter         // of shard requests from this broker
}

// UpdateEndpoints applies a full endpoint list, or the changed entries of one.
func (t *Tracker) UpdateEndpoints(now time.Duration, full bool, endpoints []decision.Endpoint) {
	if full {
		for i := range t.nodes {
			t.nodes[i].remove(now) // those that are still listed come back below
		}
	}
	for i := range endpoints {
		t.updateEndpoint(now, &endpoints[i])
	}
	for i := range t.nodes {
		n := &t.nodes[i]
		if n.used && n.removedAt != DistantPast && now-n.removedAt > removedNodeRetention {
			t.release(int32(i))
		}
	}
}

func (t *Tracker) updateEndpoint(now time.Duration, endpoint *decision.Endpoint) {
	index, known := t.byID[endpoint.Node]
	if endpoint.State == decision.Removed {
		if known {
			t.nodes[index].remove(now)
		}
		return
	}
	cell := endpoint.Cell % t.config.Cells
	if known && t.nodes[index].cell != cell {
		t.release(index)
		known = false
	}
	if !known {
		index = t.add(endpoint.Node, cell)
	}
	t.nodes[index].ready = endpoint.State == decision.Ready
	t.nodes[index].removedAt = DistantPast
}

// remove records that the list no longer names the node. Its positions are kept for removedNodeRetention.
func (n *node) remove(now time.Duration) {
	n.ready = false
	if n.removedAt == DistantPast {
		n.removedAt = now
	}
}

// add adds a node that the list names and returns its index.
func (t *Tracker) add(id decision.NodeID, cell int) int32 {
	index := t.allocate()
	shardsPerCell := (t.config.Shards + t.config.Cells - 1) / t.config.Cells
	t.nodes[index] = node{
		id:        id,
		cell:      cell,
		used:      true,
		inEpoch:   t.epoch == 0 || t.inEpoch[id],
		removedAt: DistantPast,
		positions: make([]position, shardsPerCell*t.config.CellsPerShard),
	}
	t.byID[id] = index
	t.cells[cell] = append(t.cells[cell], index)
	return index
}

// allocate returns the index of an unused slot in t.nodes.
func (t *Tracker) allocate() int32 {
	last := len(t.freeNodes) - 1
	if last < 0 {
		t.nodes = append(t.nodes, node{})
		return int32(len(t.nodes) - 1)
	}
	index := t.freeNodes[last]
	t.freeNodes = t.freeNodes[:last]
	return index
}

// release deletes a node with its positions and frees its slot.
func (t *Tracker) release(index int32) {
	n := &t.nodes[index]
	t.cells[n.cell] = slices.DeleteFunc(t.cells[n.cell], func(i int32) bool { return i == index })
	delete(t.byID, n.id)
	*n = node{removedAt: DistantPast}
	t.freeNodes = append(t.freeNodes, index)
}

// SetEpoch applies an agreed list: its nodes come first in every pin's order. A list is ignored if its number is not above that in force.
func (t *Tracker) SetEpoch(number uint64, nodes []decision.NodeID) {
	if number <= t.epoch {
		return
	}
	t.epoch = number
	t.inEpoch = make(map[decision.NodeID]bool, len(nodes))
	for _, id := range nodes {
		t.inEpoch[id] = true
	}
	for i := range t.nodes {
		t.nodes[i].inEpoch = t.inEpoch[t.nodes[i].id]
	}
}

// EpochNumber returns the number of the agreed list in force, or 0 if there is none.
func (t *Tracker) EpochNumber() uint64 { return t.epoch }

// position returns what is known of a shard at a node, or nil if the node does not hold the shard.
func (t *Tracker) position(n *node, shard int) *position {
	if shard < 0 || shard >= t.config.Shards {
		return nil
	}
	offset := (n.cell - shard%t.config.Cells + t.config.Cells) % t.config.Cells
	if offset >= t.config.CellsPerShard {
		return nil
	}
	return &n.positions[shard/t.config.Cells*t.config.CellsPerShard+offset]
}

// shardOf returns the shard whose position is at the given index of n.positions.
func (t *Tracker) shardOf(n *node, index int) int {
	offset := index % t.config.CellsPerShard
	row := index / t.config.CellsPerShard
	return row*t.config.Cells + (n.cell-offset+t.config.Cells)%t.config.Cells
}

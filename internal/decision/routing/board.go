package routing

// This file owns the board: which nodes there are, in which cells, and how the list's lines reach them. It holds no decision.

import (
	"flaxfront/internal/decision"
	"slices"
	"time"
)

// lay makes room for what the terms list.
func (d *desk) lay(l *Router) {
	d.l, d.box.to, d.next, d.idleMost = l, d, never, never
	d.refs = map[uint64]ref{}
	d.lengths = make([]majority, len(l.t.QueryTypes))
	d.flows = make([]rate, l.t.Cells)
	d.cells = make([][]int32, l.t.Cells)
	d.warms = make([]int, l.t.Cells)
	d.slopes = make([]slope, l.t.Cells)
	d.rates = make([]rate, len(l.t.Tenants))
}

// relay makes room for what new terms list, with the nodes in the cells that these have.
func (d *desk) relay(moved bool) {
	l := d.l
	d.lengths, d.rates = make([]majority, len(l.t.QueryTypes)), make([]rate, len(l.t.Tenants))
	d.flows, d.slopes = make([]rate, l.t.Cells), make([]slope, l.t.Cells)
	d.cells, d.warms, d.warm = make([][]int32, l.t.Cells), make([]int, l.t.Cells), 0
	for i := range d.board {
		if b := &d.board[i]; b.placed {
			d.cells[b.cell%l.t.Cells] = append(d.cells[b.cell%l.t.Cells], int32(i))
			d.tally(b, 1)
		}
	}
	for slot := range d.used.all {
		if s := &d.slab[slot]; moved {
			s.moved, s.calm = true, false
			for i := range s.parts {
				s.parts[i].dead = s.parts[i].dead || len(s.parts[i].tries) == 0
			}
		}
	}
}

// holding lists the nodes that hold a shard, well or not.
func (d *desk) holding(shard int) []int32 {
	d.holders = d.holders[:0]
	for j := range d.l.t.CellsPerShard {
		d.holders = append(d.holders, d.cells[(shard+j)%d.l.t.Cells]...)
	}
	return d.holders
}

// kin lists the nodes that share a shard with those of a cell.
func (d *desk) kin(cell int) []int32 {
	d.holders = d.holders[:0]
	cells := d.l.t.Cells
	for j := 1 - d.l.t.CellsPerShard; j < d.l.t.CellsPerShard; j++ {
		d.holders = append(d.holders, d.cells[((cell+j)%cells+cells)%cells]...)
	}
	return d.holders
}

// like is how many nodes neither cold nor distrusted hold a shard.
func (d *desk) like(shard int) (n int) {
	for j := range d.l.t.CellsPerShard {
		n += d.warms[(shard+j)%d.l.t.Cells]
	}
	return n
}

// load is how many calls this broker has out at a usable holder of the shard, on average.
func (d *desk) load(shard int) float64 {
	calls, usable := 0, 0
	for _, i := range d.holding(shard) {
		if b := &d.board[i]; b.mode >= cold {
			usable++
			calls += len(b.owed())
		}
	}
	return float64(calls) / float64(max(1, usable))
}

// setOf is the record of the nodes that hold a shard.
func (d *desk) setOf(shard int) *slope { return &d.slopes[shard%d.l.t.Cells] }

// tally counts a node in or out of those that are neither cold nor distrusted.
func (d *desk) tally(b *seat, by int) {
	if b.mode == fit {
		d.warm += by
		d.warms[b.cell%d.l.t.Cells] += by
	}
}

func (d *desk) read(n *note) {
	switch n.kind {
	case standing:
		b := &d.board[n.node]
		if b.share == 1 && n.share < 1 {
			b.share = n.share
			d.chill(b)
		}
		if b.mode >= cold && n.mode == shut && !n.downed {
			d.weigh(b, decision.TimedOut, 0)
		}
		d.tally(b, -1)
		if c := n.entry.Cell; c != b.cell || !b.placed {
			if old := &d.cells[b.cell%d.l.t.Cells]; b.placed {
				*old = slices.DeleteFunc(*old, func(i int32) bool { return i == n.node })
			}
			b.placed = true
			d.cells[c%d.l.t.Cells] = append(d.cells[c%d.l.t.Cells], n.node)
		}
		if b.eased != n.eased {
			b.eased, b.window, b.lot = n.eased, 1, d.l.rand()
		}
		d.stirred.set(n.node)
		b.mode, b.share, b.slow, b.downed, b.cell = n.mode, n.share, n.slow, n.downed, n.entry.Cell
		d.tally(b, 1)
	case sweep:
		d.sweep()
	case event:
		switch n.ev.Kind {
		case decision.QueryReceived:
			d.take(n.ev)
		case decision.ShardRequestReceived:
			d.addPart(n.ev)
		case decision.AttemptEnded:
			d.ended(n.ev)
		case decision.HealthCheckEnded:
			d.probed(n.ev)
		case decision.ClientDeparted:
			if r, ok := d.find(n.ev.ID); ok && r.part < 0 {
				d.drop(r.slot)
			}
		}
	}
}

// merge takes over a list, or the lines that changed, and tells the nodes.
func (k *keeper) merge(ev *decision.Event) {
	l := k.l
	k.forget()
	for i := range ev.Endpoints {
		e := ev.Endpoints[i]
		at, known := l.byID[e.Node]
		if !known {
			if e.State == decision.Removed {
				continue
			}
			if n := len(l.vacant); n > 0 {
				at, l.vacant = l.vacant[n-1], l.vacant[:n-1]
			} else {
				at = int32(len(l.nodes))
				l.nodes, l.desk.board = append(l.nodes, nil), append(l.desk.board, seat{})
			}
			l.byID[e.Node] = at
			l.nodes[at] = &node{l: l, at: at, id: e.Node, boot: decision.StartedLongAgo, trusted: true, slow: 1}
			l.nodes[at].box.to = l.nodes[at]
			l.desk.board[at] = seat{id: e.Node, zone: e.Zone, slow: 1, share: 1, vouched: -time.Hour}
			for len(l.desk.zones) <= e.Zone {
				l.desk.zones = append(l.desk.zones, zone{})
			}
		}
		l.nodes[at].named = ev
		if l.nodes[at].left = never; e.State == decision.Removed {
			l.nodes[at].left = l.now
		}
		l.post(&l.nodes[at].box, note{kind: listed, entry: e})
	}
	if ev.Kind == decision.FullListReceived {
		for _, nd := range l.nodes {
			if k.knows(nd) && nd.named != ev {
				nd.left = min(nd.left, l.now)
				l.post(&nd.box, note{kind: listed, entry: decision.Endpoint{Cell: nd.cell, State: decision.Removed, StartedAt: nd.boot}})
			}
		}
	}
	for _, nd := range l.nodes {
		nd.named = nil // the event is the front's
	}
}

// knows tells whether a node still has its place.
func (k *keeper) knows(nd *node) bool {
	at, known := k.l.byID[nd.id]
	return known && at == nd.at
}

// forget frees the places of nodes that the list ended so long ago that no search in hand can name them. Danger:
// nodes are replaced under new ids all day, and what is kept of them would grow with every one ever seen.
func (k *keeper) forget() {
	l := k.l
	for _, nd := range l.nodes {
		b := &l.desk.board[nd.at]
		if !k.knows(nd) || nd.left == never || l.now-nd.left <= l.longest {
			continue
		}
		cell := &l.desk.cells[b.cell%l.t.Cells]
		*cell = slices.DeleteFunc(*cell, func(i int32) bool { return i == nd.at })
		delete(l.byID, nd.id)
		*b = seat{slow: 1, share: 1}
		l.vacant = append(l.vacant, nd.at)
	}
}

// Snapshot is what the module takes to be so: how many parts are out, and how many listed nodes it shuts out.
func (l *Router) Snapshot() (out, shut int) {
	for i, n := range l.nodes {
		for _, c := range l.desk.board[i].calls {
			out += c.parts
		}
		if n.ready && !n.trusted {
			shut++
		}
	}
	return out, shut
}

// IsAvailable tells whether a node is listed and gets work as a matter of course.
func (l *Router) IsAvailable(id decision.NodeID) bool {
	at, known := l.byID[id]
	return known && l.desk.board[at].mode >= cold
}

// HasAvailableReplica tells whether a shard has a holder that is listed and trusted.
func (l *Router) HasAvailableReplica(shard int) bool {
	return slices.ContainsFunc(l.desk.holding(shard), func(i int32) bool { return l.desk.board[i].mode >= cold })
}

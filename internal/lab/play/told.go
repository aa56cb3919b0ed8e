package play

// This file owns what a broker is told by discovery, its end by a kill, and what is asked of it for pictures.

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
)

// listed hands on what discovery told.
func (f *front) listed(p any) {
	if f.core == nil {
		return
	}
	if err, failed := p.(error); failed {
		f.core.HandleList(nil, err)
		f.kick()
		return
	}
	list := *p.(*discovery.List)
	list.Nodes = slices.Clone(list.Nodes) // others are told the same one
	if f.ids == nil {
		f.ids = make([]decision.NodeID, f.w.script.Fleet.Nodes)
	}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		number, _ := strconv.Atoi(n.Name[1:6])
		if n.Endpoint.StartedAt != decision.StartedLongAgo {
			n.Endpoint.StartedAt -= f.began
		}
		if n.Endpoint.State == decision.Ready {
			delete(f.told, n.Name)
			f.ids[number] = n.Endpoint.Node
		} else if _, told := f.told[n.Name]; !told {
			f.told[n.Name] = f.now
		}
	}
	f.core.HandleList(&list, nil)
	f.kick()
}

// kill ends the process: what it had taken is lost, as its clients see at once.
func (f *front) kill() {
	f.sumPins()
	f.core, f.wake = nil, never
	var in []*conn
	for id := uint64(f.id)<<40 | 1; id <= uint64(f.id)<<40|f.opened; id++ {
		if c := f.conns[id]; c != nil {
			in = append(in, c)
		}
	}
	for _, c := range in {
		c.shut = true
		f.send(f.w.idNode(c.node), f.stream(f.zone, f.w.script.ZoneOf(c.node), &c.last), kClose, 0, c.id, nil)
	}
	clear(f.conns)
	clear(f.told)
	for _, id := range slices.Sorted(maps.Keys(f.open)) {
		q := f.open[id]
		delete(f.open, id)
		q.over = true
		if !f.again(q, 0) {
			f.count(q).Failed++
		}
	}
}

// picture notes which nodes the broker gives no work as a matter of course.
func (f *front) picture() {
	if f.core == nil || f.ids == nil || f.now > f.w.script.Length+settle || f.w.script.Fleet.Nodes > 200 && int(f.now/time.Second)%10 != 0 {
		return
	}
	d := f.by.tally.doubt(f.now, f.w.script.Fleet.Nodes)
	for n, id := range f.ids {
		if !f.core.IsNodeAvailable(id) {
			d[n]++
		}
	}
}

// finish looks for what was never answered.
func (f *front) finish() {
	f.sumPins()
	if f.w.halted {
		return
	}
	for _, q := range f.open {
		f.breach(1, "search %s of broker %d has no answer", q.id, f.n)
	}
}

package play

// This file owns discovery and the auditor of effects.

import (
	"errors"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/lab/script"
)

// What discovery and the auditor are told.
const (
	kAskList kind = iota + 20
	kChange       // p: script.Event
	kOutage
	kRan    // a: the part, n: its effect, p: ran
	kShedOf // a: the search, p: its id
)

// directory is discovery: it learns of changes late, and tells those who watch.
type directory struct {
	self
	nodes   []discovery.Node
	starts  []int
	version uint64
	watch   []uint32 // in the order of their asking
}

var errDown = errors.New("discovery does not answer")

func newDirectory(w *world) *directory {
	d := &directory{version: 1}
	for n := range w.script.Fleet.Nodes {
		d.starts = append(d.starts, 0)
		d.nodes = append(d.nodes, d.line(w, n, decision.Ready, decision.StartedLongAgo))
	}
	return d
}

func (d *directory) line(w *world, n int, state decision.EndpointState, boot time.Duration) discovery.Node {
	name := nodeName(n, d.starts[n])
	l := discovery.Node{Name: name, Zone: w.terms.Zones[w.script.ZoneOf(n)], Endpoint: decision.Endpoint{Node: discovery.IDOfName(name),
		Cell: n % w.script.Fleet.Cells, Zone: w.script.ZoneOf(n), State: state, StartedAt: boot}}
	if boot != decision.StartedLongAgo {
		l.StartedAtMS = w.epoch.Add(boot).UnixMilli()
	}
	return l
}

func (d *directory) start() {
	delay := d.w.script.List.Delay
	for i := range d.w.plan.Events {
		e := &d.w.plan.Events[i]
		switch e.Action {
		case script.Dies, script.Returns, script.Leaves, script.Arrives:
			d.send(d.id, e.At+delay, kChange, int32(e.Node), uint64(e.Action), e)
		case script.Drains: // it is planned here
			d.send(d.id, e.At, kChange, int32(e.Node), uint64(e.Action), e)
		}
	}
	for _, s := range append(slices.Clone(d.w.plan.Down), d.w.plan.Hangs...) {
		d.send(d.id, s.From, kOutage, 0, 0, nil)
	}
}

func (d *directory) handle(e *event) {
	switch e.kind {
	case kAskList:
		from := uint32(e.a)
		holds := func(s script.Span) bool { return s.Includes(d.now) }
		switch {
		case slices.ContainsFunc(d.w.plan.Down, holds):
			d.send(from, d.now+d.w.script.Network.ZoneDelay, kListed, 0, 0, errDown)
		case slices.ContainsFunc(d.w.plan.Hangs, holds):
			d.send(from, d.now+6*time.Second, kListed, 0, 0, errDown)
		default:
			if !slices.Contains(d.watch, from) {
				d.watch = append(d.watch, from)
			}
			d.send(from, d.now+d.w.script.Network.ZoneDelay, kListed, 0, 0,
				&discovery.List{Version: d.version, Full: true, Nodes: slices.Clone(d.nodes), Service: "discovery"})
		}
	case kOutage:
		for _, b := range d.watch {
			d.send(b, d.now+d.w.script.Network.ZoneDelay, kListed, 0, 0, errDown)
		}
		d.watch = d.watch[:0]
	case kChange:
		d.change(e.p.(*script.Event))
	}
}

func (d *directory) change(e *script.Event) {
	at := d.nodes[e.Node].Endpoint
	list := &discovery.List{Full: false, Service: "discovery"}
	tell := func(l discovery.Node) { list.Nodes = append(list.Nodes, l) }
	switch e.Action {
	case script.Dies, script.Leaves:
		if at.State == decision.Removed {
			return
		}
		d.nodes[e.Node] = d.line(d.w, e.Node, decision.Removed, at.StartedAt)
		tell(d.nodes[e.Node])
	case script.Drains:
		if at.State != decision.Ready {
			return
		}
		d.nodes[e.Node] = d.line(d.w, e.Node, decision.Draining, at.StartedAt)
		tell(d.nodes[e.Node])
	case script.Returns, script.Arrives:
		if at.State != decision.Removed { // it had vanished, which discovery does not see
			return
		}
		d.starts[e.Node]++
		d.nodes[e.Node] = d.line(d.w, e.Node, decision.Ready, e.At)
		tell(d.nodes[e.Node])
	}
	d.version++
	list.Version = d.version
	for _, b := range d.watch {
		d.send(b, d.now+d.w.script.Network.ZoneDelay, kListed, 0, 0, list)
	}
}

// auditor hears of each run of what must not run twice, and of each search of that sort that was shed. It forgets what is too
// old for any sub-request to be out still.
type auditor struct {
	self
	ran   map[uint64]run // by part
	shed  map[uint64]time.Duration
	order []uint64
	turns []time.Duration
}

// ran is what a node tells of a run.
type ran struct {
	part string
	sent time.Duration // when it was written to the node
}

type run struct{ sent time.Duration }

const remembered = time.Minute

func (a *auditor) handle(e *event) {
	for len(a.turns) > 0 && a.now-a.turns[0] > remembered {
		delete(a.ran, a.order[0])
		delete(a.shed, a.order[0])
		a.order, a.turns = a.order[1:], a.turns[1:]
	}
	a.order, a.turns = append(a.order, e.a), append(a.turns, a.now)
	switch e.kind {
	case kRan:
		r, known := a.ran[e.a]
		of, window := e.p.(ran), time.Duration(0)
		if decision.Idempotency(e.n) == decision.IdempotencyKeyed { // repeats are dropped for so long
			for i := range a.w.terms.Module.QueryTypes {
				window = max(window, a.w.terms.Module.QueryTypes[i].IdempotencyWindow)
			}
		}
		if known && (of.sent-r.sent).Abs() > window || known && window == 0 {
			a.breach(2, "part %s ran again, sent %v after the first time", of.part, of.sent-r.sent)
		}
		if !known {
			a.ran[e.a] = run{of.sent}
		}
		search := hashOf(searchOf(of.part))
		if _, was := a.shed[search]; was && decision.Idempotency(e.n) == decision.NonIdempotent {
			a.breach(2, "part %s ran, and its search was shed", of.part)
		}
		a.ran[search] = run{of.sent}
	case kShedOf:
		a.shed[e.a] = a.now
		if _, ran := a.ran[e.a]; ran {
			a.breach(2, "search %s was shed, and a part of it had run", e.p)
		}
	}
}

package logic

// This file owns the rig: a store and clients of a few lines around one module, driven step by step.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision/broker"
)

const ms = time.Millisecond

// smallTerms describe a store of two cells.
func smallTerms() broker.Terms {
	return broker.Terms{Seed: 7, Brokers: 3, Step: 5 * ms, Cells: 2, Width: 1, BatchParts: 1, OverShare: 0.1,
		Types: []broker.SearchType{
			{Target: time.Second, Timeout: 3 * time.Second, Value: 1, LateShare: 0.1, Floor: 1, Need: 1},
			{Target: 2 * time.Second, Timeout: 4 * time.Second, Value: 2, Floor: 0.5, Need: 1}},
		Tenants: []broker.Tenant{{Portion: 0.7, Quota: 100}, {Portion: 0.3, Quota: 50}},
		Cancels: true, SecondCopies: true, MaxRetryAfter: time.Second,
		MaxAttempts: 4, MaxOpen: 10000, ColdFrom: 0.3, WarmAfter: 8 * time.Second, FallMultiple: 2}
}

func nodeID(i int) broker.NodeID { return broker.NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 9} }

// try names one sub-request.
type try struct {
	id uint64
	no uint16
}

type sentTry struct {
	node broker.NodeID
	at   time.Duration
}

type heldPart struct {
	search        uint64
	weight        float64
	in, over, ran bool // ran: a sub-request may have run, first the one sent at ranAt
	ranAt         time.Duration
	tries, open   uint16
}

type heldSearch struct {
	typ            int
	serial         float32
	due            time.Duration
	stage2, whole1 bool
	parts          []uint64
}

// rig drives one module and keeps books of the six rules of its own; bad names the first rule broken.
type rig struct {
	l             *Logic
	t             broker.Terms
	now           time.Duration
	nextID        uint64
	serial        float32
	events        []broker.Event
	actions       []broker.Action
	searches      map[uint64]*heldSearch
	parts         map[uint64]*heldPart
	out           map[try]sentTry
	order         []try
	ready         map[broker.NodeID]bool
	sends         map[broker.NodeID][]time.Duration
	taken, extras []time.Duration
	asked         time.Duration
	bad           string
	probed        []broker.NodeID // probes that are out
	moved         uint64          // the last id given before the layout changed
}

func newRig(t broker.Terms, nodes int) *rig {
	r := &rig{t: t, l: New(t), searches: map[uint64]*heldSearch{}, parts: map[uint64]*heldPart{},
		out: map[try]sentTry{}, ready: map[broker.NodeID]bool{}, sends: map[broker.NodeID][]time.Duration{}}
	var list []broker.Entry
	for i := range nodes {
		e := broker.Entry{Node: nodeID(i), Cell: i % t.Cells, State: broker.Ready, Boot: broker.NoBoot}
		list = append(list, e)
	}
	r.list(broker.ListFull, list...)
	r.step(0)
	return r
}

func (r *rig) fault(format string, args ...any) {
	if r.bad == "" {
		r.bad = fmt.Sprintf("%v: ", r.now) + fmt.Sprintf(format, args...)
	}
}

func (r *rig) list(kind broker.EventKind, entries ...broker.Entry) {
	if kind == broker.ListFull {
		clear(r.ready)
	}
	for _, e := range entries {
		r.ready[e.Node] = e.State == broker.Ready
	}
	r.events = append(r.events, broker.Event{Kind: kind, Entries: entries})
}

// ask brings a search with equal parts at the given shards.
func (r *rig) ask(typ int, left time.Duration, shards ...int) uint64 {
	r.nextID++
	r.serial++
	id := r.nextID
	r.searches[id] = &heldSearch{typ: typ, serial: r.serial}
	r.events = append(r.events, broker.Event{Kind: broker.SearchIn, ID: id, Serial: r.serial, Type: typ,
		Left: left, Weight: float64(len(shards))})
	r.addParts(id, shards...)
	return id
}

func (r *rig) addParts(search uint64, shards ...int) {
	h := r.searches[search]
	for _, shard := range shards {
		r.nextID++
		w := 1 / float64(len(shards))
		r.parts[r.nextID] = &heldPart{search: search, weight: w}
		h.parts = append(h.parts, r.nextID)
		r.events = append(r.events, broker.Event{Kind: broker.PartIn, ID: r.nextID, Serial: h.serial,
			Shard: shard, Weight: w})
	}
}

// end brings the outcome of a sub-request that is out.
func (r *rig) end(k try, how broker.Outcome) {
	s, ok := r.out[k]
	if !ok {
		return
	}
	delete(r.out, k)
	p := r.parts[k.id]
	p.open--
	proven := how == broker.Refused || how == broker.ConnectFailed || how == broker.NeverSent
	if !proven && (!p.ran || s.at < p.ranAt) {
		p.ran, p.ranAt = true, s.at
	}
	if how == broker.OK && !p.over {
		p.in, p.over = true, true
	}
	r.events = append(r.events, broker.Event{Kind: broker.Ended, ID: k.id, Attempt: k.no, Outcome: how,
		Node: s.node, Took: r.now - s.at})
}

// endWhere ends all that is out for so long, where the node fits.
func (r *rig) endWhere(how broker.Outcome, age time.Duration, fits func(broker.NodeID) bool) {
	for _, k := range r.order {
		if s, ok := r.out[k]; ok && r.now-s.at >= age && (fits == nil || fits(s.node)) {
			r.end(k, how)
		}
	}
}

func (r *rig) drop(id uint64) {
	for _, p := range r.searches[id].parts {
		r.parts[p].over = true
	}
	delete(r.searches, id)
}

// step lets time pass, hands over what has gathered and checks what comes back.
func (r *rig) step(by time.Duration) []broker.Action {
	r.now += by
	for _, e := range r.events {
		if h := r.searches[e.ID]; e.Kind == broker.SearchIn && h != nil {
			h.due = r.now + e.Left
		}
		if e.Kind == broker.SearchIn || e.Kind == broker.PartIn {
			r.taken = append(r.taken, r.now)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(k try) bool { _, ok := r.out[k]; return !ok })
	r.actions = r.l.Turn(r.now, r.events, r.actions[:0])
	r.events = r.events[:0]
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case broker.Send:
			r.checkSend(a)
		case broker.Cancel:
			r.end(try{a.ID, a.Attempt}, broker.Cancelled)
		case broker.Shed, broker.Fail, broker.Answer:
			r.checkFinal(a)
		case broker.Probe:
			if slices.Contains(r.probed, a.Node) {
				r.fault("%v is probed twice at once", a.Node)
			}
			r.probed = append(r.probed, a.Node)
		case broker.Subscribe:
			if r.now < r.asked+200*ms && r.now > 0 {
				r.fault("the list is asked again after %v", r.now-r.asked)
			}
			r.asked = r.now
		}
	}
	for id, h := range r.searches {
		if r.now > h.due+20*ms {
			r.fault("rule 1: search %d unanswered", id)
		}
	}
	return r.actions
}

// show ends the probes that are out where the node fits; the others stay out.
func (r *rig) show(how broker.Outcome, fits func(broker.NodeID) bool) {
	r.probed = slices.DeleteFunc(r.probed, func(id broker.NodeID) bool {
		over := fits(id)
		if over {
			r.events = append(r.events, broker.Event{Kind: broker.Probed, Node: id, Outcome: how, Took: ms})
		}
		return over
	})
}

func must(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// pick returns the actions of a kind.
func pick(actions []broker.Action, kind broker.ActionKind) []broker.Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a broker.Action) bool { return a.Kind != kind })
}

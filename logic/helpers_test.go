package logic

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"flaxfront/broker"
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

func (r *rig) checkSend(a *broker.Action) {
	p := r.parts[a.ID]
	if p == nil || p.over {
		r.fault("rule 1: part %d sent after its end", a.ID)
		return
	}
	if a.ID <= r.moved || p.search <= r.moved {
		r.fault("part %d of a search taken before its shards moved sent", a.ID)
	}
	typ := &r.t.Types[r.searches[p.search].typ]
	if p.tries > 0 {
		switch {
		case typ.Effect == broker.NonIdempotent && (p.ran || p.open > 0):
			r.fault("rule 2: part %d repeated", a.ID)
		case typ.Effect == broker.Tokened && p.ran && r.now > p.ranAt+typ.Window:
			r.fault("rule 2: part %d repeated outside its window", a.ID)
		case p.open > 0 && !r.t.SecondCopies:
			r.fault("two sub-requests of part %d at once", a.ID)
		}
		r.extras = append(r.extras, r.now)
		old := func(at time.Duration) bool { return at <= r.now-r.t.ExtraWindow }
		r.extras, r.taken = slices.DeleteFunc(r.extras, old), slices.DeleteFunc(r.taken, old)
		most := r.t.ExtraFloor + r.t.ExtraShare*float64(len(r.taken))
		if n := len(r.extras); r.t.ExtraWindow > 0 && float64(n) > most {
			r.fault("rule 6: %d further sub-requests", n)
		}
	}
	if !r.ready[a.Node] {
		r.fault("rule 3: sent to %v, which drains or is gone", a.Node)
	}
	k := try{a.ID, p.tries}
	p.tries++
	p.open++
	r.out[k] = sentTry{a.Node, r.now}
	r.order = append(r.order, k)
	r.sends[a.Node] = append(r.sends[a.Node], r.now)
}

func (r *rig) checkFinal(a *broker.Action) {
	h := r.searches[a.ID]
	if h == nil {
		r.fault("rule 1: second final answer for %d", a.ID)
		return
	}
	typ, got, clean := &r.t.Types[h.typ], 0.0, true
	for _, id := range h.parts {
		p := r.parts[id]
		if p.in {
			got += p.weight
		}
		clean = clean && !p.ran && p.open == 0
	}
	need, floor := typ.Need, typ.Floor
	if h.stage2 {
		if need = 1; floor >= typ.Need {
			floor = 1
		}
	}
	switch {
	case r.now > h.due+20*ms:
		r.fault("rule 1: search %d answered late", a.ID)
	case a.Kind == broker.Shed && typ.Effect == broker.NonIdempotent && !clean:
		r.fault("rule 2: search %d shed though it may have run", a.ID)
	case a.Kind == broker.Answer && got < floor-1e-4:
		r.fault("rule 5: answered from %.2f", got)
	case a.Kind == broker.Answer && a.Whole && (got < need-1e-4 || h.stage2 && !h.whole1):
		r.fault("rule 5: %.2f marked whole", got)
	}
	r.drop(a.ID)
	if a.Kind == broker.Answer && typ.Fetch > 0 && !h.stage2 {
		r.searches[a.ID] = h
		h.stage2, h.whole1, h.parts = true, a.Whole, nil
		r.addParts(a.ID, 0, 1)
	}
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

// random plays one random step: searches, outcomes, list changes, clients that leave, a clock that jumps.
func (r *rig) random(rnd *rand.Rand, nodes int) {
	for range rnd.Intn(4) {
		typ := rnd.Intn(len(r.t.Types))
		r.ask(typ, time.Duration(rnd.Int63n(int64(r.t.Types[typ].Timeout))), rnd.Perm(8)[:1+rnd.Intn(6)]...)
	}
	for _, k := range r.order {
		if rnd.Intn(12) == 0 {
			r.end(k, broker.Outcome(rnd.Intn(8)))
		}
	}
	r.show([]broker.Outcome{broker.OK, broker.OK, broker.TimedOut}[rnd.Intn(3)], func(broker.NodeID) bool { return rnd.Intn(3) == 0 })
	if rnd.Intn(20) == 0 {
		e := broker.Entry{Node: nodeID(rnd.Intn(nodes)), State: broker.ListState(rnd.Intn(3)), Boot: broker.NoBoot}
		if e.Cell = int(e.Node.Addr[3]) % r.t.Cells; rnd.Intn(2) == 0 {
			e.Boot = r.now - time.Duration(rnd.Intn(2000))*ms
		}
		e.Eased = rnd.Intn(3) == 0
		r.list([]broker.EventKind{broker.ListDelta, broker.ListFull}[rnd.Intn(8)/7], e)
	}
	if r.asked > 0 || rnd.Intn(30) == 0 {
		r.events = append(r.events, broker.Event{Kind: broker.ListFailed}, broker.Event{Kind: broker.PeerSaid})
	}
	if id := uint64(rnd.Int63n(int64(r.nextID + 1))); r.searches[id] != nil {
		r.events = append(r.events, broker.Event{Kind: broker.Left, ID: id})
		r.drop(id)
	}
	if rnd.Intn(100) == 0 { // searches whose time a jump of the clock takes are no fault of the module
		jump := time.Duration(rnd.Intn(3000)) * ms
		for _, h := range r.searches {
			h.due = max(h.due, r.now+jump)
		}
		r.step(jump)
	}
	if rnd.Intn(200) == 0 {
		r.retune(rnd.Intn(2) == 0)
	}
	r.step([]time.Duration{5 * ms, 10 * ms}[rnd.Intn(4)/3])
}

// retune gives the module its terms anew; moved: in another layout, with the nodes in other cells.
func (r *rig) retune(moved bool) {
	if moved {
		r.list(broker.ListFull)
		r.step(0)
		r.t.Cells = 5 - r.t.Cells // 2 or 3
	}
	r.l.Retune(r.t, moved)
	if !moved {
		return
	}
	r.moved = r.nextID
	var list []broker.Entry
	for i := range 6 {
		list = append(list, broker.Entry{Node: nodeID(i), Cell: i % r.t.Cells, State: broker.Ready, Boot: broker.NoBoot})
	}
	r.list(broker.ListFull, list...)
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

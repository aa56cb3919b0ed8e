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

// terms of a small store: one cell for each pair of shards, three nodes a cell.
func smallTerms() broker.Terms {
	return broker.Terms{Seed: 7, Brokers: 3, Step: 5 * ms, Cells: 2, Width: 1, BatchParts: 1, OverShare: 0.1,
		Types: []broker.SearchType{
			{Target: time.Second, Timeout: 3 * time.Second, Value: 1, LateShare: 0.1, Floor: 1, Need: 1},
			{Target: 2 * time.Second, Timeout: 4 * time.Second, Value: 2, Floor: 0.5, Need: 1, Partial: 0.9}},
		Tenants: []broker.Tenant{{Portion: 0.7, Quota: 100}, {Portion: 0.3, Quota: 50}},
		Cancels: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4, MaxOpen: 10000,
		ColdFrom: 0.3, WarmAfter: 8 * time.Second, FallMultiple: 2}
}

func nodeID(i int) broker.NodeID { return broker.NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 9} }

// attemptKey names one sub-request.
type attemptKey struct {
	id  uint64
	try uint16
}

type sentTry struct {
	node broker.NodeID
	at   time.Duration
}

type heldPart struct {
	search, id uint64
	weight     float64
	in, over   bool
	tries      uint16
	ran        bool // a sub-request may have run
	ranAt      time.Duration
	open       int
}

type heldSearch struct {
	typ    int
	due    time.Duration
	serial float32
	stage2 bool
	whole1 bool
	parts  []uint64
}

// rig drives one module and keeps its own books of the six rules; the first rule broken ends up in bad.
type rig struct {
	l        *Logic
	t        broker.Terms
	now      time.Duration
	nextID   uint64
	serial   float32
	events   []broker.Event
	actions  []broker.Action
	searches map[uint64]*heldSearch
	parts    map[uint64]*heldPart
	out      map[attemptKey]sentTry
	order    []attemptKey
	ready    map[broker.NodeID]bool
	sends    map[broker.NodeID][]time.Duration
	taken    []time.Duration
	extras   []time.Duration
	later    []uint64 // searches whose second step comes next
	bad      string
}

func newRig(t broker.Terms, nodes int) *rig {
	r := &rig{t: t, l: New(t), searches: map[uint64]*heldSearch{}, parts: map[uint64]*heldPart{},
		out: map[attemptKey]sentTry{}, ready: map[broker.NodeID]bool{}, sends: map[broker.NodeID][]time.Duration{}}
	var list []broker.Entry
	for i := range nodes {
		list = append(list, broker.Entry{Node: nodeID(i), Cell: i % t.Cells, State: broker.Ready, Boot: broker.NoBoot})
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
	h := &heldSearch{typ: typ, serial: r.serial, due: r.now + left}
	r.searches[id] = h
	r.events = append(r.events, broker.Event{Kind: broker.SearchIn, ID: id, Serial: r.serial, Type: typ, Left: left,
		Weight: float64(len(shards))})
	r.taken = append(r.taken, r.now)
	r.addParts(id, r.serial, shards...)
	return id
}

func (r *rig) addParts(search uint64, serial float32, shards ...int) {
	for _, shard := range shards {
		r.nextID++
		w := 1 / float64(len(shards))
		r.parts[r.nextID] = &heldPart{search: search, id: r.nextID, weight: w}
		r.searches[search].parts = append(r.searches[search].parts, r.nextID)
		r.taken = append(r.taken, r.now)
		r.events = append(r.events, broker.Event{Kind: broker.PartIn, ID: r.nextID, Serial: serial, Shard: shard, Weight: w})
	}
}

// end brings the outcome of a sub-request that is out.
func (r *rig) end(k attemptKey, how broker.Outcome) {
	s, ok := r.out[k]
	if !ok {
		return
	}
	delete(r.out, k)
	if p := r.parts[k.id]; p != nil {
		p.open--
		proven := how == broker.Refused || how == broker.ConnectFailed || how == broker.NeverSent
		if !proven && (!p.ran || s.at < p.ranAt) {
			p.ran, p.ranAt = true, s.at
		}
		if how == broker.OK && !p.over {
			p.in, p.over = true, true
		}
	}
	r.events = append(r.events, broker.Event{Kind: broker.Ended, ID: k.id, Attempt: k.try, Outcome: how, Node: s.node,
		Took: r.now - s.at})
}

// endNode ends all that is out at a node.
func (r *rig) endNode(n broker.NodeID, how broker.Outcome) {
	for _, k := range r.order {
		if s, ok := r.out[k]; ok && s.node == n {
			r.end(k, how)
		}
	}
}

// over marks the parts of a search as over.
func (r *rig) over(id uint64) {
	for _, p := range r.searches[id].parts {
		r.parts[p].over = true
	}
}

func (r *rig) endAll(how broker.Outcome) {
	for _, k := range r.order {
		r.end(k, how)
	}
}

// step lets time pass, hands over what has gathered and checks what comes back.
func (r *rig) step(by time.Duration) []broker.Action {
	r.now += by
	for _, id := range r.later {
		if h := r.searches[id]; h != nil {
			r.addParts(id, h.serial, 0, 1)
		}
	}
	r.later = r.later[:0]
	r.order = slices.DeleteFunc(r.order, func(k attemptKey) bool { _, ok := r.out[k]; return !ok })
	r.actions = r.l.Turn(r.now, r.events, r.actions[:0])
	r.events = r.events[:0]
	for i := range r.actions {
		r.check(&r.actions[i])
	}
	for id, h := range r.searches {
		if r.now > h.due+20*ms {
			r.fault("rule 1: search %d unanswered", id)
		}
	}
	return r.actions
}

func (r *rig) check(a *broker.Action) {
	switch a.Kind {
	case broker.Send:
		r.checkSend(a)
	case broker.Cancel:
		if k := (attemptKey{a.ID, a.Attempt}); r.parts[a.ID] != nil {
			r.end(k, broker.Cancelled)
		}
	case broker.Shed, broker.Fail, broker.Answer:
		h := r.searches[a.ID]
		if h == nil {
			r.fault("rule 1: second final answer for %d", a.ID)
			return
		}
		r.checkFinal(a, h)
		if a.Kind == broker.Answer && r.t.Types[h.typ].Fetch > 0 && !h.stage2 {
			r.over(a.ID)
			h.stage2, h.whole1, h.parts = true, a.Whole, nil
			r.later = append(r.later, a.ID)
			return
		}
		r.over(a.ID)
		delete(r.searches, a.ID)
	}
}

func (r *rig) checkSend(a *broker.Action) {
	p := r.parts[a.ID]
	if p == nil || p.over {
		r.fault("rule 1: part %d sent after its end", a.ID)
		return
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
		if w := r.t.ExtraWindow; w > 0 {
			within := func(times []time.Duration) (n int) {
				for _, at := range times {
					if at > r.now-w {
						n++
					}
				}
				return n
			}
			if float64(within(r.extras)) > r.t.ExtraFloor+r.t.ExtraShare*float64(within(r.taken)) {
				r.fault("rule 6: %d further sub-requests", within(r.extras))
			}
		}
	}
	if !r.ready[a.Node] {
		r.fault("rule 3: sent to %v, which drains or is gone", a.Node)
	}
	k := attemptKey{a.ID, p.tries}
	p.tries++
	p.open++
	r.out[k] = sentTry{a.Node, r.now}
	r.order = append(r.order, k)
	r.sends[a.Node] = append(r.sends[a.Node], r.now)
}

func (r *rig) checkFinal(a *broker.Action, h *heldSearch) {
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
}

// random plays one random step: new searches, outcomes, list changes, clients that leave, jumps of the clock.
func (r *rig) random(rnd *rand.Rand, nodes int) {
	for range rnd.Intn(4) {
		shards := make([]int, 1+rnd.Intn(6))
		for i := range shards {
			shards[i] = rnd.Intn(4)
		}
		typ := rnd.Intn(len(r.t.Types))
		r.ask(typ, time.Duration(rnd.Int63n(int64(r.t.Types[typ].Timeout))), shards...)
	}
	for _, k := range r.order {
		if _, ok := r.out[k]; ok && rnd.Intn(12) == 0 {
			r.end(k, broker.Outcome(rnd.Intn(8)))
		}
	}
	if rnd.Intn(20) == 0 {
		e := broker.Entry{Node: nodeID(rnd.Intn(nodes)), State: broker.ListState(rnd.Intn(3)), Boot: broker.NoBoot}
		e.Cell = int(e.Node.Addr[3]) % r.t.Cells
		if rnd.Intn(2) == 0 {
			e.Boot = r.now - time.Duration(rnd.Int63n(int64(2*time.Second)))
		}
		r.list([]broker.EventKind{broker.ListDelta, broker.ListFull}[rnd.Intn(8)/7], e)
	}
	if rnd.Intn(30) == 0 {
		r.events = append(r.events, broker.Event{Kind: broker.ListFailed})
	}
	if id := uint64(rnd.Int63n(int64(r.nextID + 1))); r.searches[id] != nil {
		r.events = append(r.events, broker.Event{Kind: broker.Left, ID: id})
		r.over(id)
		delete(r.searches, id)
	}
	r.step([]time.Duration{5 * ms, 5 * ms, 5 * ms, 10 * ms}[rnd.Intn(4)])
}

func must(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// find returns the first action of a kind.
func find(actions []broker.Action, kind broker.ActionKind) *broker.Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

func count(actions []broker.Action, kind broker.ActionKind) (n int) {
	for i := range actions {
		if actions[i].Kind == kind {
			n++
		}
	}
	return n
}

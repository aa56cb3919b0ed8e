package routing

// This file owns the rig: a store and clients of a few lines around one module, driven step by step.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

const ms = time.Millisecond

// smallTerms describe a store of two cells.
func smallTerms() decision.Settings {
	return decision.Settings{Seed: 7, BrokerCount: 3, ClockStep: 5 * ms, Cells: 2, CellsPerShard: 1, MaxBatch: 1, OverQuotaWeight: 0.1,
		QueryTypes: []decision.QueryType{
			{LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1, LateWeight: 0.1, MinCompleteness: 1, FullCompleteness: 1},
			{LatencyObjective: 2 * time.Second, Timeout: 4 * time.Second, PriorityWeight: 2, MinCompleteness: 0.5, FullCompleteness: 1}},
		Tenants:       []decision.Tenant{{TrafficShare: 0.7, Quota: 100}, {TrafficShare: 0.3, Quota: 50}},
		CancelAllowed: true, HedgingAllowed: true, MaxRetryAfter: time.Second,
		MaxAttempts: 4, MaxInFlight: 10000, InitialCapacity: 0.3, WarmUpTime: 8 * time.Second, OverloadMultiple: 2}
}

func nodeID(i int) decision.NodeID { return decision.NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 9} }

// try names one sub-request.
type try struct {
	id uint64
	no uint16
}

type sentTry struct {
	node decision.NodeID
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
	l             *Router
	t             decision.Settings
	now           time.Duration
	nextID        uint64
	serial        float32
	events        []decision.Event
	actions       []decision.Action
	searches      map[uint64]*heldSearch
	parts         map[uint64]*heldPart
	out           map[try]sentTry
	order         []try
	ready         map[decision.NodeID]bool
	sends         map[decision.NodeID][]time.Duration
	taken, extras []time.Duration
	asked         time.Duration
	bad           string
	probed        []decision.NodeID // probes that are out
	moved         uint64            // the last id given before the layout changed
}

func newRig(t decision.Settings, nodes int) *rig {
	r := &rig{t: t, l: New(t), searches: map[uint64]*heldSearch{}, parts: map[uint64]*heldPart{},
		out: map[try]sentTry{}, ready: map[decision.NodeID]bool{}, sends: map[decision.NodeID][]time.Duration{}}
	var list []decision.Endpoint
	for i := range nodes {
		e := decision.Endpoint{Node: nodeID(i), Cell: i % t.Cells, State: decision.Ready, StartedAt: decision.StartedLongAgo}
		list = append(list, e)
	}
	r.list(decision.FullListReceived, list...)
	r.step(0)
	return r
}

func (r *rig) fault(format string, args ...any) {
	if r.bad == "" {
		r.bad = fmt.Sprintf("%v: ", r.now) + fmt.Sprintf(format, args...)
	}
}

func (r *rig) list(kind decision.EventKind, entries ...decision.Endpoint) {
	if kind == decision.FullListReceived {
		clear(r.ready)
	}
	for _, e := range entries {
		r.ready[e.Node] = e.State == decision.Ready
	}
	r.events = append(r.events, decision.Event{Kind: kind, Endpoints: entries})
}

// ask brings a search with equal parts at the given shards.
func (r *rig) ask(typ int, left time.Duration, shards ...int) uint64 {
	r.nextID++
	r.serial++
	id := r.nextID
	r.searches[id] = &heldSearch{typ: typ, serial: r.serial}
	r.events = append(r.events, decision.Event{Kind: decision.QueryReceived, ID: id, Serial: r.serial, Type: typ,
		RemainingTime: left, Weight: float64(len(shards))})
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
		r.events = append(r.events, decision.Event{Kind: decision.ShardRequestReceived, ID: r.nextID, Serial: h.serial,
			Shard: shard, Weight: w})
	}
}

// end brings the outcome of a sub-request that is out.
func (r *rig) end(k try, how decision.Outcome) {
	s, ok := r.out[k]
	if !ok {
		return
	}
	delete(r.out, k)
	p := r.parts[k.id]
	p.open--
	proven := how == decision.Rejected || how == decision.ConnectFailed || how == decision.NeverSent
	if !proven && (!p.ran || s.at < p.ranAt) {
		p.ran, p.ranAt = true, s.at
	}
	if how == decision.OK && !p.over {
		p.in, p.over = true, true
	}
	r.events = append(r.events, decision.Event{Kind: decision.AttemptEnded, ID: k.id, Attempt: k.no, Outcome: how,
		Node: s.node, Elapsed: r.now - s.at})
}

// endWhere ends all that is out for so long, where the node fits.
func (r *rig) endWhere(how decision.Outcome, age time.Duration, fits func(decision.NodeID) bool) {
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
func (r *rig) step(by time.Duration) []decision.Action {
	r.now += by
	for _, e := range r.events {
		if h := r.searches[e.ID]; e.Kind == decision.QueryReceived && h != nil {
			h.due = r.now + e.RemainingTime
		}
		if e.Kind == decision.QueryReceived || e.Kind == decision.ShardRequestReceived {
			r.taken = append(r.taken, r.now)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(k try) bool { _, ok := r.out[k]; return !ok })
	r.actions = r.l.Step(r.now, r.events, r.actions[:0])
	r.events = r.events[:0]
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case decision.SendAttempt:
			r.checkSend(a)
		case decision.CancelAttempt:
			r.end(try{a.ID, a.Attempt}, decision.Cancelled)
		case decision.ShedQuery, decision.FailQuery, decision.AnswerQuery:
			r.checkFinal(a)
		case decision.SendHealthCheck:
			if slices.Contains(r.probed, a.Node) {
				r.fault("%v is probed twice at once", a.Node)
			}
			r.probed = append(r.probed, a.Node)
		case decision.SubscribeList:
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
func (r *rig) show(how decision.Outcome, fits func(decision.NodeID) bool) {
	r.probed = slices.DeleteFunc(r.probed, func(id decision.NodeID) bool {
		over := fits(id)
		if over {
			r.events = append(r.events, decision.Event{Kind: decision.HealthCheckEnded, Node: id, Outcome: how, Elapsed: ms})
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
func pick(actions []decision.Action, kind decision.ActionKind) []decision.Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a decision.Action) bool { return a.Kind != kind })
}

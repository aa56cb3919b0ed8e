package server

// This file owns the one goroutine that calls the module. Everything that happens is delivered to it; it hands all
// that is queued to the module as one turn and carries the actions out. It must never wait for a socket or for a
// client, and it takes no decision: what it refuses itself (no place left, an id in hand twice) the settings say.

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"flaxfront/broker"
	"flaxfront/decide/admission"
	"flaxfront/decide/trust"
	"flaxfront/discovery"
	"flaxfront/link"
	"flaxfront/state/nodelist"
	"flaxfront/store"
	"flaxfront/terms"
)

// queueDepth bounds what is delivered and not yet taken. Whoever delivers more waits, so that bytes stay in the
// kernel and the network slows down whoever sends them.
const queueDepth = 1024

// ask is a search as a front hands it over, whatever its protocol.
type ask struct {
	id      string
	typ     int
	tenant  int
	repeat  bool
	timeout time.Duration
	text    string
	parts   []askPart
	client  uint64       // a hash of the key that its client states; 0: none
	under   *terms.Terms // the settings by which it was read; nil: those of the start
}

type askPart struct {
	name   string // the search's id, a dot, the shard
	shard  int
	weight float64
}

// search is one search in hand. The first fields are its life's, the others the loop's.
type search struct {
	*ask
	deadline time.Duration // when its client gives up
	crowded  bool          // its front has no room for it
	verdict  chan verdict  // holds one; nobody waits to deliver it
	to       func(verdict) // takes the verdict instead, in the loop

	// where there is a gateway to other sites
	foreign bool          // it came over a link
	abroad  bool          // it is forwarded; the module has done with it
	home    bool          // it was brought back
	risk    bool          // and may have run abroad
	after   time.Duration // when the other side wants it back

	// where there is fair queuing at the door
	ticket  uint64
	work    float64
	queued  bool // it waits there
	inside  bool // the door let it in, and has not been told that it is done
	entered time.Duration

	id    uint64 // as the module knows it; its parts have the numbers that follow
	over  bool
	parts []part
}

type part struct {
	in    bool
	value string
	tries []*store.Part
}

// verdict is the final answer.
type verdict struct {
	kind   verdictKind
	whole  bool
	after  time.Duration // shed: when to come back; 0: no advice
	pieces []piece
}

type verdictKind uint8

const (
	answered verdictKind = iota
	shed
	errored
	twice // a search of that id is in hand
)

type piece struct {
	shard int
	value string
}

// What is delivered to the loop, beside store.Event.
type (
	taken struct{ s *search }
	leave struct {
		s       *search
		overdue bool // no verdict came in time; else the client has gone
	}
	listed struct {
		list *discovery.List
		err  error
	}
	said struct {
		from int
		text []byte
	}
	report struct{ to chan Tally }
	parted struct{ done chan struct{} } // the broker stops: the tier is told
	retune struct {                     // other settings come into force
		terms *terms.Terms
		moved bool            // with other shards, or other nodes
		list  *discovery.List // the nodes there, as far as known; nil: not at all
		done  chan struct{}
	}
)

// Tally counts searches: Taken = Answered + Shed + Errored + Left + InHand.
type Tally struct {
	Taken, Answered, Shed, Errored, Left, InHand uint64
	Partial                                      uint64 // of those answered
	TurnedAway                                   uint64 `json:",omitempty"` // of those shed: by the door
	Full                                         uint64 // of those shed: no place or descriptor was left
	Turns, Subrequests                           uint64
	ListsTaken, ListsFailed                      uint64
	Nodes, NodeConns                             int // now
	Out, OutByModule, ShutOut                    int // parts out, on the wire and as the module counts; nodes it shuts out
	Store                                        store.Counts
	Trust                                        *trust.Counts `json:",omitempty"` // where a list is kept
	Door                                         *DoorState    `json:",omitempty"` // where there is one
	Gateway                                      *GatewayState `json:",omitempty"` // where there is one
	Crew                                         *CrewState    `json:",omitempty"` // where brokers keep company
}

type loop struct {
	start    time.Time
	clock    func() time.Duration        // since start
	say      func(string, time.Duration) // what the module logs
	module   broker.Decider
	maxOpen  int
	comeBack time.Duration // for searches that find no place; 0: clients are not told
	batch    int
	in       chan any
	pool     *store.Pool
	ask      func()                           // ask discovery
	tell     func(text string)                // to the other brokers
	nodes    map[broker.NodeID]discovery.Node // as last listed
	next     uint64
	places   int
	searches map[uint64]*search
	owners   map[uint64]*search // of parts
	ids      map[string]bool    // request ids in hand
	events   []broker.Event     // for the next turn
	spare    []broker.Event
	actions  []broker.Action
	calls    []call
	ended    []*search
	wake     time.Duration // 0: none
	tally    Tally
	saved    *saved   // nil: no list is kept
	gate     *gateway // nil: no other site is known
	types    []broker.SearchType
	under    *terms.Terms // in force, where they can change
	cells    int
	door     *doorway // nil: first come, first served
	lets     []admission.Let
	crew     *crew // nil: no other broker of the tier is known
}

// pictured is a module that tells what it takes to be so, to be held against the wire.
type pictured interface{ Picture() (out, shut int) }

// tuned is a module that can go on under other terms.
type tuned interface {
	Retune(t broker.Terms, moved bool)
}

// call gathers the parts of one turn to one node.
type call struct {
	to    broker.NodeID
	parts []*store.Part
}

func newLoop(start time.Time, module broker.Decider, t *broker.Terms) *loop {
	return &loop{start: start, clock: func() time.Duration { return time.Since(start) }, say: logModule, module: module, types: t.Types, cells: t.Cells, maxOpen: t.MaxOpen, comeBack: t.MaxRetryAfter, batch: t.BatchParts,
		in: make(chan any, queueDepth), nodes: map[broker.NodeID]discovery.Node{}, next: 1,
		searches: map[uint64]*search{}, owners: map[uint64]*search{}, ids: map[string]bool{},
		ask: func() {}, tell: func(string) {}}
}

func (l *loop) since() time.Duration { return l.clock() }

func logModule(text string, at time.Duration) { slog.Info(text, "at", at.Round(time.Millisecond)) }

// run takes turns until ctx ends.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-l.in:
			l.take(d)
		case <-timer.C:
		}
		l.drain()
		next := l.step()
		timer.Reset(max(0, next-l.since()))
	}
}

// drain takes what else is queued, one queue's length at most, so that a turn comes in any case.
func (l *loop) drain() {
	for range queueDepth {
		select {
		case d := <-l.in:
			l.take(d)
		default:
			return
		}
	}
}

// step takes a turn if anything happened and tells when to come again.
func (l *loop) step() (next time.Duration) {
	now := l.since()
	next = l.pool.Sweep(now)
	if l.saved != nil {
		next = min(next, l.weigh(now))
	}
	if l.gate != nil {
		next = min(next, l.gateTick(now))
	}
	if l.door != nil {
		next = min(next, l.doorTick(now))
	}
	if l.crew != nil {
		next = min(next, l.crewTick(now))
	}
	if l.wake > 0 && l.wake <= now {
		l.wake = 0
		l.events = append(l.events, broker.Event{Kind: broker.Woken})
	}
	if len(l.events) > 0 {
		l.turn(now)
		if l.door != nil { // what has ended makes room
			next = min(next, l.doorTick(now))
		}
	}
	if len(l.events) > 0 { // such as the ends of what was called off
		return now
	}
	if l.wake > 0 {
		next = min(next, l.wake)
	}
	return next
}

// take turns what was delivered into events for the module.
func (l *loop) take(d any) {
	switch d := d.(type) {
	case store.Event:
		l.pool.Handle(d)
	case taken:
		l.admit(d.s)
	case leave:
		if !d.s.over {
			if d.overdue {
				l.conclude(d.s, verdict{kind: errored})
			} else {
				l.tally.Left++
			}
			if d.s.queued {
				l.leaveDoor(d.s)
				return
			}
			l.outside(d.s, false, false)
			if d.s.abroad {
				l.gate.near.Gone(d.s.id)
				l.routed()
				l.leaveAbroad(d.s, d.s.id)
				return
			}
			l.events = append(l.events, broker.Event{Kind: broker.Left, ID: d.s.id})
			l.finish(d.s)
		}
	case listed:
		l.list(d.list, d.err)
	case said:
		l.events = append(l.events, broker.Event{Kind: broker.PeerSaid, From: uint32(d.from), Text: d.text})
	case met:
		l.metOne(d)
	case retune:
		l.retune(d)
		close(d.done)
	case parted:
		l.leaveCrew()
		close(d.done)
	case nodelist.Ask:
		l.asked(d)
	case link.Event:
		l.linked(d)
	case report:
		t := l.tally
		if l.saved != nil {
			c := l.saved.judge.Picture(l.since())
			t.Trust = &c
		}
		t.Store, t.Nodes, t.NodeConns, t.Out = l.pool.Counts, l.pool.Nodes(), l.pool.Open(), l.pool.Out()
		if m, tells := l.module.(pictured); tells {
			t.OutByModule, t.ShutOut = m.Picture()
		}
		if l.gate != nil {
			t.Gateway = &GatewayState{l.gate.near.Counts, l.gate.far.Counts, l.gate.near.State(l.since())}
		}
		if l.crew != nil {
			t.Crew = l.crewState(l.since())
		}
		if l.door != nil {
			t.Door = &DoorState{l.door.State(l.since()), l.door.names}
		}
		d.to <- t
	}
}

// retune has the loop, the pool and the module go on under other settings. What came before is taken under the old ones, and what
// is in hand ends by them. Where shards or nodes are others now, the nodes known so far get nothing more.
func (l *loop) retune(d retune) {
	if d.moved {
		l.relist(&discovery.List{Whole: true})
	}
	if len(l.events) > 0 {
		l.turn(l.since())
	}
	t := &d.terms.Module
	l.module.(tuned).Retune(*t, d.moved)
	l.under, l.types, l.cells, l.maxOpen, l.comeBack, l.batch = d.terms, t.Types, t.Cells, t.MaxOpen, t.MaxRetryAfter, t.BatchParts
	l.pool.Retune(d.terms.Streams, d.terms.Idle, d.terms.Dial, longest(d.terms))
	if d.list != nil {
		l.relist(d.list)
	}
}

// fits tells whether a search that was read under other settings can be taken under those in force, and has it say the same
// under them.
func (l *loop) fits(a *ask) bool {
	if a.under == nil || a.under == l.under {
		return true
	}
	was, now := a.under, l.under
	a.typ = slices.Index(now.Types, was.Types[a.typ])
	if a.typ < 0 || now.Fingerprint() != was.Fingerprint() {
		return false
	}
	if len(now.Tenants) == 0 {
		a.tenant = 0
	} else if len(was.Tenants) > 0 {
		a.tenant = slices.Index(now.Tenants, was.Tenants[a.tenant])
	} else {
		a.tenant = -1
	}
	a.under = now
	return a.tenant >= 0
}

// admit hands a search to the module, if there is a place for it and its parts.
func (l *loop) admit(s *search) {
	l.tally.Taken++
	n := len(s.ask.parts)
	if l.ids[s.ask.id] {
		l.conclude(s, verdict{kind: twice})
		return
	}
	if s.crowded || l.places+1+n > l.maxOpen || !l.fits(s.ask) {
		l.tally.Full++
		l.conclude(s, verdict{kind: shed, after: l.comeBack}) // the longest that the settings let it say
		return
	}
	if l.door != nil && !s.foreign && !l.atDoor(s) {
		return
	}
	l.tally.InHand++
	l.ids[s.ask.id] = true
	if l.gate != nil && !s.foreign {
		l.gate.near.Taken()
	}
	l.enter(s, s.deadline-l.since())
}

// enter gives a search in hand to the module, with the time that is left to it.
func (l *loop) enter(s *search, left time.Duration) {
	n := len(s.ask.parts)
	s.id = l.next
	l.next += 1 + uint64(n)
	l.places += 1 + n
	l.searches[s.id] = s
	s.parts = make([]part, n)
	serial := float32(s.id % (1 << 24)) // exact in a float32, and far more ids than can be in hand
	l.events = append(l.events, broker.Event{Kind: broker.SearchIn, ID: s.id, Serial: serial, Type: s.typ,
		Tenant: s.tenant, Left: left, Weight: float64(n), Repeat: s.repeat})
	for i := range s.ask.parts {
		id := s.id + 1 + uint64(i)
		l.owners[id] = s
		l.events = append(l.events, broker.Event{Kind: broker.PartIn, ID: id, Serial: serial,
			Shard: s.ask.parts[i].shard, Weight: s.ask.parts[i].weight})
	}
}

func (l *loop) list(list *discovery.List, err error) {
	if err != nil {
		l.tally.ListsFailed++
		if l.saved != nil {
			l.saved.judge.Failed()
		}
		slog.Info("list not had", "error", err)
		l.events = append(l.events, broker.Event{Kind: broker.ListFailed})
		return
	}
	if list.Cells != 0 && list.Cells != l.cells {
		return // read before the layout changed; the whole list of the new one is asked for
	}
	l.tally.ListsTaken++
	l.relist(list)
	if l.crew != nil {
		l.passOn(list)
	}
	if l.saved != nil {
		l.confirm(list)
	}
}

// relist takes over a list, or the lines that changed.
func (l *loop) relist(list *discovery.List) {
	e := broker.Event{Kind: broker.ListDelta}
	named := map[broker.NodeID]bool{}
	if list.Whole {
		e.Kind = broker.ListFull
	}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		id := n.Entry.Node
		last, known := l.nodes[id]
		if known && last.Name != n.Name {
			slog.Error("two nodes share an id", "node", n.Name, "other", last.Name)
			continue
		}
		e.Entries = append(e.Entries, n.Entry)
		named[id] = true
		if n.Entry.State == broker.Gone {
			delete(l.nodes, id)
			l.pool.Drop(id)
		} else {
			l.nodes[id] = *n
			l.pool.Point(id, n.Name, n.Addr, n.Entry.Boot)
		}
		if !known || last != *n {
			slog.Info("node listed", "node", n.Name, "id", id, "addr", n.Addr, "state", n.Entry.State,
				"zone", n.Entry.Zone, "cell", n.Entry.Cell)
		}
	}
	if list.Whole {
		var unlisted []discovery.Node
		for id, n := range l.nodes {
			if !named[id] {
				unlisted = append(unlisted, n)
			}
		}
		slices.SortFunc(unlisted, func(a, b discovery.Node) int { return strings.Compare(a.Name, b.Name) })
		for _, n := range unlisted {
			slog.Info("node unlisted", "node", n.Name, "id", n.Entry.Node)
			delete(l.nodes, n.Entry.Node)
			l.pool.Drop(n.Entry.Node)
		}
	}
	l.events = append(l.events, e)
}

// turn calls the module and carries its actions out, in their order; the parts for one node leave together.
func (l *loop) turn(now time.Duration) {
	events := l.events
	l.events = l.spare[:0]
	l.tally.Turns++
	l.actions = l.module.Turn(now, events, l.actions[:0])
	clear(events)
	l.spare = events[:0]
	for i := range l.actions {
		l.carryOut(&l.actions[i], now)
	}
	for i := range l.calls {
		l.flush(&l.calls[i])
	}
	l.calls = l.calls[:0]
	for _, s := range l.ended {
		l.forget(s)
	}
	clear(l.ended)
	l.ended = l.ended[:0]
}

func (l *loop) carryOut(a *broker.Action, now time.Duration) {
	switch a.Kind {
	case broker.Send:
		l.send(a, now)
	case broker.Cancel:
		if p, i := l.part(a.ID); p != nil && int(a.Attempt) < len(p.parts[i].tries) {
			l.pool.Cancel(p.parts[i].tries[a.Attempt])
		}
	case broker.Answer, broker.Shed, broker.Fail:
		if s := l.searches[a.ID]; s != nil && !s.over && !s.abroad {
			if a.Kind == broker.Shed && l.offer(s) {
				l.routed()
				return
			}
			l.conclude(s, s.shedding(s.verdictOf(a), l))
			l.finish(s)
		}
	case broker.Wake:
		if l.wake == 0 || a.At < l.wake {
			l.wake = max(1, a.At)
		}
	case broker.Close:
		l.pool.Retire(a.Node)
	case broker.Probe:
		l.pool.Probe(a.Node)
	case broker.Subscribe:
		l.ask()
	case broker.Log:
		l.say(a.Text, now)
	case broker.Tell:
		l.tell(a.Text)
	}
}

// verdictOf makes the final answer of the module's word and the values that are in.
func (s *search) verdictOf(a *broker.Action) verdict {
	switch a.Kind {
	case broker.Shed:
		return verdict{kind: shed, after: a.After}
	case broker.Fail:
		return verdict{kind: errored}
	}
	v := verdict{kind: answered, whole: a.Whole}
	for i := range s.parts {
		if s.parts[i].in {
			v.pieces = append(v.pieces, piece{s.ask.parts[i].shard, s.parts[i].value})
		}
	}
	return v
}

// conclude gives a search its one verdict and counts it.
func (l *loop) conclude(s *search, v verdict) {
	switch v.kind {
	case answered:
		l.tally.Answered++
		if !v.whole {
			l.tally.Partial++
		}
	case shed:
		l.tally.Shed++
	default:
		l.tally.Errored++
	}
	s.over = true
	l.outside(s, v.kind == answered, v.kind == shed)
	if s.to != nil {
		s.to(v)
	} else {
		s.verdict <- v
	}
}

// part finds the search that a part belongs to, and its place there.
func (l *loop) part(id uint64) (*search, int) {
	if s := l.owners[id]; s != nil {
		return s, int(id - s.id - 1)
	}
	return nil, 0
}

func (l *loop) send(a *broker.Action, now time.Duration) {
	s, i := l.part(a.ID)
	if s == nil {
		slog.Error("a part that is not in hand was to be sent", "part", a.ID)
		return
	}
	p := &s.parts[i]
	t := &store.Part{ID: s.ask.parts[i].name, Shard: s.ask.parts[i].shard, Text: s.text, Deadline: s.deadline,
		Sent: now, Part: a.ID, Attempt: uint16(len(p.tries)), Node: a.Node, Alone: a.Alone}
	p.tries = append(p.tries, t)
	l.tally.Subrequests++
	for j := range l.calls {
		if c := &l.calls[j]; c.to == a.Node && len(c.parts) < l.batch {
			c.parts = append(c.parts, t)
			return
		}
	}
	l.calls = append(l.calls, call{a.Node, []*store.Part{t}})
}

// flush sends a call, but for parts called off, or whose search ended, in the same turn; forget ends the latter.
func (l *loop) flush(c *call) {
	parts := slices.DeleteFunc(c.parts, func(t *store.Part) bool { return t.Over() || l.owners[t.Part].over || l.owners[t.Part].abroad })
	if len(parts) > 0 {
		l.pool.Send(c.to, parts)
	}
}

// subrequestEnded makes an event of a sub-request's end. A value counts from here on: the module learns of it in the
// same turn.
func (l *loop) subrequestEnded(t *store.Part, how broker.Outcome, at time.Duration, value string) {
	if s, i := l.part(t.Part); s != nil && how == broker.OK && !s.parts[i].in {
		s.parts[i].in, s.parts[i].value = true, value
	}
	took := max(0, at-t.Sent)
	l.events = append(l.events, broker.Event{Kind: broker.Ended, ID: t.Part, Attempt: t.Attempt, Outcome: how,
		Took: took, Node: t.Node})
	if l.saved != nil {
		l.saved.judge.Showed(t.Node, how, took, l.since())
	}
}

// probed takes the end of a probe.
func (l *loop) probed(id broker.NodeID, how broker.Outcome, took time.Duration) {
	l.events = append(l.events, broker.Event{Kind: broker.Probed, Node: id, Outcome: how, Took: took})
}

// finish takes a search out of hand; it is forgotten once the actions of its last turn are carried out.
func (l *loop) finish(s *search) {
	s.over = true
	l.tally.InHand--
	l.places -= 1 + len(s.parts)
	l.ended = append(l.ended, s)
}

// forget drops a search. What was not written to a node by now never is.
func (l *loop) forget(s *search) {
	for i := range s.parts {
		for _, t := range s.parts[i].tries {
			if !t.Written() {
				l.pool.Cancel(t)
			}
		}
		delete(l.owners, s.id+1+uint64(i))
	}
	delete(l.searches, s.id)
	if !s.abroad {
		delete(l.ids, s.ask.id)
	}
}

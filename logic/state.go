package logic

import (
	"flaxfront/broker"
	"math"
	mathbits "math/bits"
	"slices"
	"time"
)

// seat is the desk's view of a node.
type seat struct {
	id       broker.NodeID
	cell     int
	zone     int
	mode     mode
	share    float64
	placed   bool          // it is among the nodes of its cell
	downed   bool          // it could not be reached
	slow     float64       // how many calls one of its calls counts for
	ration   float64       // parts a cold node may be sent now
	rationed time.Duration // when it last grew
	last     time.Duration
	eased    time.Duration // since when it is eased in; 0: it is not
	window   float64       // calls that may be out at an eased node
	rest     time.Duration // eased in, and it did not answer: nothing until then
	lot      float64       // its place in the time over which brokers spread their first calls
	proved   time.Duration // when the latest call that it answered was sent
	vouched  time.Duration // when the latest probe or part that it answered was sent
	probing  bool          // a probe is out
	deaf     float64       // share of probes that it does not answer, lately
	talked   time.Duration // when something last passed between here and it
	calls    []call        // out, oldest first
}

type call struct {
	at    time.Duration
	parts int
}

type attempt struct {
	node int32
	live bool
	at   time.Duration
	load float64
	idle time.Duration // how long nothing passed between here and the node before
}

type part struct {
	id        uint64
	shard     int
	weight    float64
	tries     []attempt
	live      int
	done      bool
	dead      bool // nothing more will come of it
	copied    bool
	resent    bool
	mayRun    bool // a sub-request may have run
	firstRisk time.Duration
}

type search struct {
	gen      uint32
	id       uint64
	inUse    bool
	sent     bool
	stage2   bool
	whole1   bool
	serial   float32
	typ      *broker.SearchType
	tenant   int
	expect   int
	spent    time.Duration // of the client's time before this try, where that shows
	deadline time.Duration // of this step
	whole    time.Duration // of all steps
	last     time.Duration
	got      float64
	held     bool          // some parts wait for a node that is eased in, or for a probe
	asked    time.Duration // when the holders of its parts were probed; 0: they were not
	in       int           // parts answered
	moved    bool          // its shards lie elsewhere by now: no part of it goes to another node
	calm     bool          // only time can change anything of it
	oldest   time.Duration // calm: when the first part that may be copied was sent; never: there is none
	parts    []part
}

// ref names a search (part < 0) or a part by its place; gen tells whether the place was reused since.
type ref struct {
	slot, part int32
	gen        uint32
}

type rate struct {
	fast, slow float64
	at         time.Duration
}

// kept is the share of a record that is left after a time.
func kept(after, memory time.Duration) float64 { return math.Exp(-float64(after) / float64(memory)) }

func (r *rate) decay(now time.Duration) {
	r.fast *= kept(now-r.at, rateFast)
	r.slow *= kept(now-r.at, rateSlow)
	r.at = now
}

// wants is the weight that makes a whole answer of this step, and the least for any answer.
func (s *search) wants() (need, least float64) {
	need, least = s.typ.Need, s.typ.Floor
	if s.stage2 {
		if need = 1; least >= s.typ.Need {
			least = 1
		}
	}
	return need, least
}

// untouched tells whether no part of the search can have run.
func (s *search) untouched() bool {
	ran := func(p part) bool { return p.live > 0 || p.mayRun || p.done }
	return !s.stage2 && !slices.ContainsFunc(s.parts, ran)
}

// open is the weight of the parts that may still come.
func (s *search) open() (sum float64) {
	for i := range s.parts {
		if p := &s.parts[i]; !p.done && !p.dead {
			sum += p.weight
		}
	}
	return sum
}

// trim drops the times at or before the bound.
func trim(times []time.Duration, bound time.Duration) []time.Duration {
	n := 0
	for n < len(times) && times[n] <= bound {
		n++
	}
	if n > 0 {
		times = append(times[:0], times[n:]...)
	}
	return times
}

// risk notes that a sub-request sent at that time may have run.
func (p *part) risk(at time.Duration) {
	if !p.mayRun || at < p.firstRisk {
		p.mayRun, p.firstRisk = true, at
	}
}

// returned takes a sub-request that has ended off the books; the last result is nil if nobody waits for it.
func (d *desk) returned(e *broker.Event) (*search, *part, *attempt) {
	if at, known := d.l.byID[e.Node]; known {
		d.weigh(&d.board[at], e.Outcome, e.Took)
		d.board[at].talked = d.l.now
		d.widen(&d.board[at], e)
		if e.Outcome == broker.OK {
			d.board[at].proved = max(d.board[at].proved, d.l.now-e.Took)
			d.board[at].vouched = max(d.board[at].vouched, d.l.now-e.Took)
		}
		d.unload(&d.board[at], d.l.now-e.Took)
		d.l.post(&d.l.nodes[at].box, note{kind: ended, outcome: e.Outcome, took: e.Took})
	}
	r, ok := d.find(e.ID)
	if !ok || r.part < 0 {
		return nil, nil, nil
	}
	s := &d.slab[r.slot]
	p := &s.parts[r.part]
	if int(e.Attempt) >= len(p.tries) || !p.tries[e.Attempt].live {
		return nil, nil, nil
	}
	a := &p.tries[e.Attempt]
	a.live = false
	p.live--
	s.calm = false
	return s, p, a
}

// book puts a sub-request on the books and tells how long the node's connections idled; sends of one turn to
// one node share a call.
func (d *desk) book(p *part, at int32) time.Duration {
	b, now := &d.board[at], d.l.now
	idle := time.Duration(0)
	if len(b.calls) == 0 && b.talked > 0 {
		idle = now - b.talked
	}
	b.talked = now
	d.stirred.set(at)
	p.tries = append(p.tries, attempt{node: at, live: true, at: now, load: d.load(p.shard), idle: idle})
	p.live++
	if n := len(b.calls); n > 0 && b.calls[n-1].at == now && b.calls[n-1].parts < d.l.t.BatchParts {
		b.calls[n-1].parts++
	} else {
		b.calls = append(b.calls, call{now, 1})
	}
	b.last = now
	return idle
}

// unload takes one part off the call that was sent at that time, or off the one sent nearest to it.
func (d *desk) unload(b *seat, at time.Duration) {
	best := -1
	for i := range b.calls {
		if best < 0 || (b.calls[i].at-at).Abs() < (b.calls[best].at-at).Abs() {
			best = i
		}
	}
	if best < 0 {
		return
	}
	if b.calls[best].parts--; b.calls[best].parts == 0 {
		b.calls = slices.Delete(b.calls, best, best+1)
	}
}

// drop ends a search in hand: its parts are called off and its place is free.
func (d *desk) drop(slot int32) {
	s := &d.slab[slot]
	d.clearParts(s)
	delete(d.refs, s.id)
	s.inUse = false
	s.gen++
	d.places -= 1 + s.expect
	d.used.clear(slot)
	d.free = append(d.free, slot)
}

func (d *desk) clearParts(s *search) {
	for i := range s.parts {
		d.cancel(&s.parts[i])
		delete(d.refs, s.parts[i].id)
	}
	s.parts = s.parts[:0]
	d.learned()
}

// keeper keeps the node list current.
type keeper struct {
	l       *Logic
	box     inbox
	asked   bool // a watch is held or asked for
	due     time.Duration
	next    time.Duration
	backoff time.Duration
}

// node judges the health of one store node.
type node struct {
	l        *Logic
	box      inbox
	at       int32
	id       broker.NodeID
	cell     int
	boot     time.Duration
	ready    bool
	trusted  bool
	trying   bool          // a trial is out
	regained time.Duration // when it was last trusted anew
	downed   bool          // it could not be reached
	lat      time.Duration
	slow     float64
	ticked   time.Duration
	gap      time.Duration // usual time between two parts that a node is sent
	left     time.Duration // when the list ended it; never: it names it
	named    *broker.Event // the last list that named it
	doubt    float64
	share    float64       // of its parts that fail, over a longer time than doubt
	counted  bool          // share is among those of the listed nodes
	failed   time.Duration // when a part last failed
	backoff  time.Duration
	until    time.Duration
	unheard  time.Duration // how long its calls have waited together since
	heard    time.Duration
	renewed  time.Duration // when fresh connections to it were last asked for
	eased    time.Duration // since when it is eased in; 0: it is not
	warming  bool
	since    time.Duration // cold start
	told     note
	rumour   float64 // how many peers say that it is sick, fading
	heardOf  time.Duration
}

// desk holds the searches in hand and sends their parts.
type desk struct {
	l            *Logic
	box          inbox
	board        []seat
	cells        [][]int32 // nodes of each cell
	holders      []int32
	warm         int   // nodes neither cold nor distrusted
	warms        []int // the same in each cell
	slab         []search
	free         []int32
	used         bits  // places of the slab that are
	stirred      bits  // nodes that time alone may change
	places       int   // taken by the searches in hand
	last         int32 // the place of the search that came last
	refs         map[uint64]ref
	tokens       float64
	next         time.Duration
	takes        [samples]time.Duration
	sorted       [samples]time.Duration
	taken        int
	drawn        int  // of them when the quantiles were last drawn
	drew         bool // they were
	p50          time.Duration
	p95          time.Duration
	base         time.Duration // low point of p50
	flow         rate          // parts a second that a warm node is sent, on average
	flows        []rate        // the same in each cell
	slopes       []slope       // of each cell
	value, parts float64       // of a search, on average
	weighed      float64       // searches in that
	turned       float64       // share of parts that are turned away, lately
	turnedAt     time.Duration
	lengths      []majority // the usual length of a try, by type
	short        bool       // of places
	rates        []rate
	zones        []zone
	alike        bool          // parts break from all nodes alike
	cut, fail    float64       // share of parts that fail over connections that idled, and over others
	cutUntil     time.Duration // idle connections are closed before use until then
	idleMost     time.Duration // those that idled for so long
	total        rate
	asks         []time.Duration // rule 6: items taken and further sub-requests in the window
	extras       []time.Duration
	refusing     bool
}

// lay makes room for what the terms list.
func (d *desk) lay(l *Logic) {
	d.l, d.box.to, d.next, d.idleMost = l, d, never, never
	d.refs = map[uint64]ref{}
	d.lengths = make([]majority, len(l.t.Types))
	d.flows = make([]rate, l.t.Cells)
	d.cells = make([][]int32, l.t.Cells)
	d.warms = make([]int, l.t.Cells)
	d.slopes = make([]slope, l.t.Cells)
	d.rates = make([]rate, len(l.t.Tenants))
}

// relay makes room for what new terms list, with the nodes in the cells that these have.
func (d *desk) relay(moved bool) {
	l := d.l
	d.lengths, d.rates = make([]majority, len(l.t.Types)), make([]rate, len(l.t.Tenants))
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

func (r *rate) add(now time.Duration, n float64) {
	r.decay(now)
	r.fast += n / rateFast.Seconds()
	r.slow += n / rateSlow.Seconds()
}

// usual is the slow rate, scaled by the time it has run, as it began at nothing.
func (r *rate) usual(now time.Duration) float64 {
	r.decay(now)
	return r.slow / (1 - kept(max(1, now), rateSlow))
}

// admit puts a new search in the slab; one of an unknown type is failed.
func (d *desk) admit(e *broker.Event) *search {
	if e.Type >= len(d.l.t.Types) {
		d.l.logf("search of unknown type %d failed", e.Type)
		d.l.out = append(d.l.out, broker.Action{Kind: broker.Fail, ID: e.ID})
		return nil
	}
	slot, now := d.place(), d.l.now
	s := &d.slab[slot]
	*s = search{gen: s.gen, id: e.ID, inUse: true, serial: e.Serial, typ: &d.l.t.Types[e.Type],
		tenant: e.Tenant, expect: int(e.Weight), parts: s.parts[:0]}
	d.refs[e.ID] = ref{slot, -1, s.gen}
	d.places += 1 + s.expect
	d.last = slot
	d.used.set(slot)
	d.total.add(now, 1)
	if s.tenant < len(d.rates) {
		d.rates[s.tenant].add(now, 1)
	}
	d.count()
	return s
}

func (d *desk) count() {
	if w := d.l.t.ExtraWindow; w > 0 {
		d.asks = trim(append(d.asks, d.l.now), d.l.now-w)
	}
}

// afford is how many further sub-requests the budget leaves by a time (rule 6).
func (d *desk) afford(by time.Duration) float64 {
	t, spent := d.l.t, 0
	d.asks, d.extras = trim(d.asks, d.l.now-t.ExtraWindow), trim(d.extras, d.l.now-t.Step-t.ExtraWindow)
	for _, at := range d.extras {
		if at > by-t.ExtraWindow {
			spent++
		}
	}
	return t.ExtraFloor + t.ExtraShare*float64(len(d.asks)) - float64(spent)
}

// spend books a further sub-request.
func (d *desk) spend() {
	d.tokens--
	if d.l.t.ExtraWindow > 0 {
		d.extras = append(d.extras, d.l.now)
	}
}

func (d *desk) addPart(e *broker.Event) {
	d.count()
	slot := d.last // as a rule a search's parts follow it at once
	if s := &d.slab[slot]; !s.inUse || s.serial != e.Serial {
		slot = int32(slices.IndexFunc(d.slab, func(s search) bool { return s.inUse && s.serial == e.Serial }))
	}
	if slot < 0 {
		return
	}
	s := &d.slab[slot]
	n := len(s.parts)
	if n < cap(s.parts) {
		s.parts = s.parts[:n+1]
	} else {
		s.parts = append(s.parts, part{})
	}
	s.parts[n] = part{id: e.ID, shard: e.Shard, weight: e.Weight, tries: s.parts[n].tries[:0], dead: s.moved}
	s.calm = false
	d.refs[e.ID] = ref{slot, int32(n), s.gen}
}

// cancel calls off what is still out for a part.
func (d *desk) cancel(p *part) {
	for i := range p.tries {
		a := &p.tries[i]
		if !a.live {
			continue
		}
		a.live = false
		p.live--
		p.risk(a.at)
		d.lost(p, a)
		if d.l.t.Cancels {
			d.l.out = append(d.l.out, broker.Action{Kind: broker.Cancel, ID: p.id, Attempt: uint16(i)})
		}
	}
}

// holding lists the nodes that hold a shard, well or not.
func (d *desk) holding(shard int) []int32 {
	d.holders = d.holders[:0]
	for j := range d.l.t.Width {
		d.holders = append(d.holders, d.cells[(shard+j)%d.l.t.Cells]...)
	}
	return d.holders
}

// kin lists the nodes that share a shard with those of a cell.
func (d *desk) kin(cell int) []int32 {
	d.holders = d.holders[:0]
	cells := d.l.t.Cells
	for j := 1 - d.l.t.Width; j < d.l.t.Width; j++ {
		d.holders = append(d.holders, d.cells[((cell+j)%cells+cells)%cells]...)
	}
	return d.holders
}

// like is how many nodes neither cold nor distrusted hold a shard.
func (d *desk) like(shard int) (n int) {
	for j := range d.l.t.Width {
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

// zone is how much of what goes to a data centre fails, as learned up to a time.
type zone struct {
	doubt   float64
	at      time.Duration
	shunned bool
}

// find looks up what is still in hand under an id.
func (d *desk) find(id uint64) (ref, bool) {
	r, ok := d.refs[id]
	return r, ok && d.slab[r.slot].gen == r.gen
}

// slope is the latency of the holders of a shard over (calls out a node + 1), as learned up to a time.
type slope struct {
	of   float64
	took float64 // latency alone
	at   time.Duration
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
			d.weigh(b, broker.TimedOut, 0)
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
		case broker.SearchIn:
			d.take(n.ev)
		case broker.PartIn:
			d.addPart(n.ev)
		case broker.Ended:
			d.ended(n.ev)
		case broker.Probed:
			d.probed(n.ev)
		case broker.Left:
			if r, ok := d.find(n.ev.ID); ok && r.part < 0 {
				d.drop(r.slot)
			}
		}
	}
}

// merge takes over a list, or the lines that changed, and tells the nodes.
func (k *keeper) merge(ev *broker.Event) {
	l := k.l
	k.forget()
	for i := range ev.Entries {
		e := ev.Entries[i]
		at, known := l.byID[e.Node]
		if !known {
			if e.State == broker.Gone {
				continue
			}
			if n := len(l.vacant); n > 0 {
				at, l.vacant = l.vacant[n-1], l.vacant[:n-1]
			} else {
				at = int32(len(l.nodes))
				l.nodes, l.desk.board = append(l.nodes, nil), append(l.desk.board, seat{})
			}
			l.byID[e.Node] = at
			l.nodes[at] = &node{l: l, at: at, id: e.Node, boot: broker.NoBoot, trusted: true, slow: 1}
			l.nodes[at].box.to = l.nodes[at]
			l.desk.board[at] = seat{id: e.Node, zone: e.Zone, slow: 1, share: 1, vouched: -time.Hour}
			for len(l.desk.zones) <= e.Zone {
				l.desk.zones = append(l.desk.zones, zone{})
			}
		}
		l.nodes[at].named = ev
		if l.nodes[at].left = never; e.State == broker.Gone {
			l.nodes[at].left = l.now
		}
		l.post(&l.nodes[at].box, note{kind: listed, entry: e})
	}
	if ev.Kind == broker.ListFull {
		for _, nd := range l.nodes {
			if k.knows(nd) && nd.named != ev {
				nd.left = min(nd.left, l.now)
				l.post(&nd.box, note{kind: listed, entry: broker.Entry{Cell: nd.cell, State: broker.Gone, Boot: nd.boot}})
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

// place finds a free place in the slab.
func (d *desk) place() int32 {
	if n := len(d.free); n > 0 {
		slot := d.free[n-1]
		d.free = d.free[:n-1]
		return slot
	}
	d.slab = append(d.slab, search{})
	return int32(len(d.slab) - 1)
}

// Picture is what the module takes to be so: how many parts are out, and how many listed nodes it shuts out.
func (l *Logic) Picture() (out, shut int) {
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

// Trusts tells whether a node is listed and gets work as a matter of course.
func (l *Logic) Trusts(id broker.NodeID) bool {
	at, known := l.byID[id]
	return known && l.desk.board[at].mode >= cold
}

// Sound tells whether a shard has a holder that is listed and trusted.
func (l *Logic) Sound(shard int) bool {
	return slices.ContainsFunc(l.desk.holding(shard), func(i int32) bool { return l.desk.board[i].mode >= cold })
}

// blame sets the share of its parts that a node fails, and keeps the order of those of all listed nodes.
func (n *node) blame(share float64) {
	l := n.l
	if n.counted == n.ready && (!n.ready || share == n.share) {
		n.share = share
		return
	}
	if n.counted {
		at, _ := slices.BinarySearch(l.shares, n.share)
		l.shares = slices.Delete(l.shares, at, at+1)
	}
	n.share = share
	if n.counted = n.ready; n.counted {
		at, _ := slices.BinarySearch(l.shares, share)
		l.shares = slices.Insert(l.shares, at, share)
	}
}

// common is the share of failed parts that half of the listed nodes reach.
func (l *Logic) common() float64 {
	if len(l.shares) == 0 {
		return 0
	}
	return l.shares[len(l.shares)/2]
}

// answer ends a search, or its first step.
func (d *desk) answer(slot int32, whole bool) {
	s := &d.slab[slot]
	d.l.out = append(d.l.out, broker.Action{Kind: broker.Answer, ID: s.id, Whole: whole})
	if s.typ.Fetch > 0 && !s.stage2 {
		d.clearParts(s)
		d.places -= s.expect
		s.stage2, s.whole1, s.sent, s.got, s.expect = true, whole, false, 0, 0
		s.deadline = s.whole
		return
	}
	d.drop(slot)
}

// record keeps a latency in the ring.
func (d *desk) record(took time.Duration) {
	d.takes[d.taken%samples] = took
	d.taken++
}

// latest returns all latencies kept, sorted, if a redraw is due.
func (d *desk) latest() []time.Duration {
	if d.taken-d.drawn < redraw {
		return nil
	}
	d.drawn = d.taken
	s := d.sorted[:min(d.taken, samples)]
	copy(s, d.takes[:])
	slices.Sort(s)
	return s
}

// majority finds the value that most tries share.
type majority struct {
	of    time.Duration
	votes int
}

func (m *majority) vote(v time.Duration) time.Duration {
	switch {
	case (v - m.of).Abs() <= repeatSlack:
		m.votes++
	case m.votes > 0:
		m.votes--
	default:
		m.of, m.votes = v, 1
	}
	return m.of
}

// bits are a set of places, in their order.
type bits []uint64

func (b *bits) set(at int32) {
	for int(at>>6) >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[at>>6] |= 1 << (at & 63)
}

func (b bits) clear(at int32) { b[at>>6] &^= 1 << (at & 63) }

// all goes through the set; what is taken out meanwhile may still come.
func (b bits) all(yield func(int32) bool) {
	for i, word := range b {
		for ; word != 0; word &= word - 1 {
			if !yield(int32(i<<6 + mathbits.TrailingZeros64(word))) {
				return
			}
		}
	}
}

// calmed notes, after a search was looked at in full, whether anything but time can change what becomes of it before it is told
// of the end of a part: then it need not be looked at with each turn. It must say no wherever settle or further would look at
// something else; the courses of the laboratory's scripts are the same with and without it.
func (d *desk) calmed(s *search) {
	if !s.inUse || !s.sent || s.held {
		return
	}
	s.oldest = never
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.done || p.dead:
		case p.live == 0:
			return
		case p.live == 1 && !p.copied && d.l.t.SecondCopies && s.typ.Effect != broker.NonIdempotent && len(p.tries) < d.l.t.MaxAttempts:
			s.oldest = min(s.oldest, p.tries[len(p.tries)-1].at)
		}
	}
	s.calm = true
}

// still tells whether a calm search has nothing due, and when it will.
func (d *desk) still(s *search) bool {
	now := d.l.now
	if now >= s.deadline || now >= s.last {
		return false
	}
	if s.oldest != never && now+d.p50 <= s.deadline {
		due := s.oldest + d.p95
		if !d.drew {
			due = s.oldest + s.typ.Target/2
		}
		if due <= now+poll {
			return false
		}
		d.next = min(d.next, due)
	}
	d.next = min(d.next, s.last, s.deadline)
	return true
}

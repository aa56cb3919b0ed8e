package lab

// This file owns virtual time: brokers' real decisions (the module and the judge) against boxes, without sockets. The same
// seed gives the same course. It must never read a clock.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/discovery"
)

// World is boxes and brokers in virtual time.
type World struct {
	now    time.Duration
	queue  moments
	seq    int
	boxes  map[decision.NodeID]*Box
	rnd    *rand.Rand
	terms  decision.Settings
	Tally  Tally
	Broken []string // rules, as seen from outside the brokers
}

// Tally is what the clients and the boxes saw.
type Tally struct {
	Asked, Answered, Partial, InTarget, Shed, Failed int
	Parts, Wrong                                     int // that reached, or were sent to, a box; of these one that was no longer right
	First                                            time.Duration
}

const (
	hop        = 300 * time.Microsecond // one way
	connectOut = 250 * time.Millisecond
)

func (w *World) at(when time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, moment{max(when, w.now), w.seq, do})
}

func (w *World) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		m := heap.Pop(&w.queue).(moment)
		w.now = m.at
		m.do()
	}
	w.now = until
}

func (w *World) broke(format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// Broker is one emulated broker: the real module, and the real judge where it has one.
type Broker struct {
	w        *World
	module   *routing.Router
	judge    *cachedlist.Evaluator
	events   []decision.Event
	turning  bool
	next     uint64
	searches map[uint64]*asked
	parts    map[uint64]*asked
}

type asked struct {
	id     uint64
	begun  time.Duration
	due    time.Duration
	target time.Duration
	need   float64
	got    float64
	shares map[uint64]float64
	tries  map[uint64]uint16
	over   bool
	out    map[[2]uint64]func() // cancels, by part and attempt
}

func (w *World) broker(seed uint64, judge *cachedlist.Evaluator) *Broker {
	t := w.terms
	t.Seed = seed
	return &Broker{w: w, module: routing.New(t), judge: judge, next: 1, searches: map[uint64]*asked{}, parts: map[uint64]*asked{}}
}

// tell hands the module an event, in a turn with all that happens at the same moment.
func (b *Broker) tell(e decision.Event) {
	b.events = append(b.events, e)
	if !b.turning {
		b.turning = true
		b.w.at(b.w.now, b.turn)
	}
}

func (b *Broker) facts(facts []cachedlist.EndpointUpdate) {
	if len(facts) == 0 {
		return
	}
	e := decision.Event{Kind: decision.ListUpdateReceived}
	for _, f := range facts {
		entry := decision.Endpoint{Node: f.ID, Cell: f.Entry.Cell, State: decision.Ready, StartedAt: decision.StartedLongAgo, Unconfirmed: f.SlowStart}
		if !f.Usable {
			entry.State = decision.Draining
		}
		e.Endpoints = append(e.Endpoints, entry)
	}
	b.tell(e)
}

func (b *Broker) turn() {
	b.turning = false
	if b.judge != nil {
		facts, next := b.judge.Tick(b.w.now)
		b.facts(facts)
		if next < time.Hour {
			b.w.at(next, func() { b.tell(decision.Event{Kind: decision.TimerFired}) })
		}
	}
	events := b.events
	b.events = nil
	b.turning = false
	for _, a := range b.module.Step(b.w.now, events, nil) {
		switch a.Kind {
		case decision.SendAttempt:
			b.send(a)
		case decision.CancelAttempt:
			if s := b.parts[a.ID]; s != nil {
				if call := s.out[[2]uint64{a.ID, uint64(a.Attempt)}]; call != nil {
					call()
				}
			}
		case decision.AnswerQuery, decision.ShedQuery, decision.FailQuery:
			b.end(a)
		case decision.SetTimer:
			b.w.at(a.TimerAt, func() { b.tell(decision.Event{Kind: decision.TimerFired}) })
		}
	}
}

// Ask puts a search to the broker, with one part for each shard.
func (b *Broker) ask(typ int, shards []int) {
	w, t := b.w, &b.w.terms.QueryTypes[typ]
	w.Tally.Asked++
	s := &asked{id: b.next, begun: w.now, due: w.now + t.Timeout, target: t.LatencyObjective, need: t.MinCompleteness,
		shares: map[uint64]float64{}, tries: map[uint64]uint16{}, out: map[[2]uint64]func(){}}
	b.next += uint64(len(shards)) + 1
	b.searches[s.id] = s
	serial := float32(s.id % (1 << 24))
	b.tell(decision.Event{Kind: decision.QueryReceived, ID: s.id, Serial: serial, Type: typ, RemainingTime: t.Timeout, Weight: float64(len(shards))})
	for i, shard := range shards {
		id := s.id + 1 + uint64(i)
		s.shares[id], b.parts[id] = 1/float64(len(shards)), s
		b.tell(decision.Event{Kind: decision.ShardRequestReceived, ID: id, Serial: serial, Shard: shard, Weight: s.shares[id]})
	}
	w.at(s.due+50*time.Millisecond, func() {
		if !s.over {
			w.broke("rule 1: search %d has no answer", s.id)
		}
		delete(b.searches, s.id)
		for id := range s.shares {
			delete(b.parts, id)
		}
	})
}

func (b *Broker) end(a decision.Action) {
	s, t := b.searches[a.ID], &b.w.Tally
	if s == nil || s.over {
		b.w.broke("rule 1: a second answer to search %d", a.ID)
		return
	}
	s.over = true
	switch a.Kind {
	case decision.ShedQuery:
		t.Shed++
	case decision.FailQuery:
		t.Failed++
	default:
		if s.got < s.need-1e-4 || a.Complete && s.got < 1-1e-4 {
			b.w.broke("rule 5: search %d answered with %.2f, whole %v", s.id, s.got, a.Complete)
		}
		t.Answered++
		if !a.Complete {
			t.Partial++
		}
		if b.w.now-s.begun <= s.target {
			t.InTarget++
		}
		if t.First == 0 {
			t.First = b.w.now
		}
	}
}

// id makes a box's id as brokers make it.
func id(name string) decision.NodeID { return discovery.IDOfName(name) }

var anyAddr = netip.MustParseAddrPort("127.0.0.1:1")

package lab

// This file runs the brokers' real decisions (router and list evaluator) against simulated nodes in virtual time, without
// sockets. The same seed gives the same run. It must never read a clock.

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

// Simulation holds simulated nodes and brokers in virtual time.
type Simulation struct {
	now        time.Duration
	queue      eventHeap
	seq        int
	nodes      map[decision.NodeID]*NodeModel
	rnd        *rand.Rand
	settings   decision.Settings
	Tally      Tally
	Violations []string // broken rules, as observed from outside the brokers
}

// Tally counts what the clients and the nodes observed.
type Tally struct {
	Asked, Answered, Partial, InTarget, Shed, Failed int
	ShardRequests, Wrong                             int // shard requests sent to a node; of these, to one that was not serving
	FirstAnswer                                      time.Duration
}

const (
	oneWayDelay    = 300 * time.Microsecond // between a broker and a node
	connectTimeout = 250 * time.Millisecond
)

func (sim *Simulation) at(when time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, timedEvent{max(when, sim.now), sim.seq, do})
}

func (sim *Simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		m := heap.Pop(&sim.queue).(timedEvent)
		sim.now = m.at
		m.do()
	}
	sim.now = until
}

func (sim *Simulation) recordViolation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// Broker is one simulated broker with the real router and, where the policy uses one, the real list evaluator.
type Broker struct {
	sim           *Simulation
	router        *routing.Router
	evaluator     *cachedlist.Evaluator
	events        []decision.Event
	stepPending   bool
	nextID        uint64
	queries       map[uint64]*queryState
	shardRequests map[uint64]*queryState
}

type queryState struct {
	id              uint64
	startedAt       time.Duration
	deadline        time.Duration
	objective       time.Duration
	minCompleteness float64
	completeness    float64
	shares          map[uint64]float64
	attempts        map[uint64]uint16
	finished        bool
	cancels         map[[2]uint64]func() // cancel functions by shard request and attempt
}

func (sim *Simulation) newBroker(seed uint64, evaluator *cachedlist.Evaluator) *Broker {
	t := sim.settings
	t.Seed = seed
	return &Broker{sim: sim, router: routing.New(t), evaluator: evaluator, nextID: 1, queries: map[uint64]*queryState{}, shardRequests: map[uint64]*queryState{}}
}

// deliver queues an event for the router; all events of one moment are handled in the same step.
func (b *Broker) deliver(e decision.Event) {
	b.events = append(b.events, e)
	if !b.stepPending {
		b.stepPending = true
		b.sim.at(b.sim.now, b.step)
	}
}

func (b *Broker) updates(updates []cachedlist.EndpointUpdate) {
	if len(updates) == 0 {
		return
	}
	e := decision.Event{Kind: decision.ListUpdateReceived}
	for _, f := range updates {
		entry := decision.Endpoint{Node: f.ID, Cell: f.Entry.Cell, State: decision.Ready, StartedAt: decision.StartedLongAgo, Unconfirmed: f.SlowStart}
		if !f.Usable {
			entry.State = decision.Draining
		}
		e.Endpoints = append(e.Endpoints, entry)
	}
	b.deliver(e)
}

func (b *Broker) step() {
	b.stepPending = false
	if b.evaluator != nil {
		updates, next := b.evaluator.Tick(b.sim.now)
		b.updates(updates)
		if next < time.Hour {
			b.sim.at(next, func() { b.deliver(decision.Event{Kind: decision.TimerFired}) })
		}
	}
	events := b.events
	b.events = nil
	b.stepPending = false
	for _, a := range b.router.Step(b.sim.now, events, nil) {
		switch a.Kind {
		case decision.SendAttempt:
			b.send(a)
		case decision.CancelAttempt:
			if s := b.shardRequests[a.ID]; s != nil {
				if call := s.cancels[[2]uint64{a.ID, uint64(a.Attempt)}]; call != nil {
					call()
				}
			}
		case decision.AnswerQuery, decision.ShedQuery, decision.FailQuery:
			b.finish(a)
		case decision.SetTimer:
			b.sim.at(a.TimerAt, func() { b.deliver(decision.Event{Kind: decision.TimerFired}) })
		}
	}
}

// submit sends a query to the broker, with one shard request for each shard.
func (b *Broker) submit(typ int, shards []int) {
	sim, t := b.sim, &b.sim.settings.QueryTypes[typ]
	sim.Tally.Asked++
	s := &queryState{id: b.nextID, startedAt: sim.now, deadline: sim.now + t.Timeout, objective: t.LatencyObjective, minCompleteness: t.MinCompleteness,
		shares: map[uint64]float64{}, attempts: map[uint64]uint16{}, cancels: map[[2]uint64]func(){}}
	b.nextID += uint64(len(shards)) + 1
	b.queries[s.id] = s
	serial := float32(s.id % (1 << 24))
	b.deliver(decision.Event{Kind: decision.QueryReceived, ID: s.id, Serial: serial, Type: typ, RemainingTime: t.Timeout, Weight: float64(len(shards))})
	for i, shard := range shards {
		id := s.id + 1 + uint64(i)
		s.shares[id], b.shardRequests[id] = 1/float64(len(shards)), s
		b.deliver(decision.Event{Kind: decision.ShardRequestReceived, ID: id, Serial: serial, Shard: shard, Weight: s.shares[id]})
	}
	sim.at(s.deadline+50*time.Millisecond, func() {
		if !s.finished {
			sim.recordViolation("rule 1: query %d has no answer", s.id)
		}
		delete(b.queries, s.id)
		for id := range s.shares {
			delete(b.shardRequests, id)
		}
	})
}

func (b *Broker) finish(a decision.Action) {
	s, t := b.queries[a.ID], &b.sim.Tally
	if s == nil || s.finished {
		b.sim.recordViolation("rule 1: a second answer to query %d", a.ID)
		return
	}
	s.finished = true
	switch a.Kind {
	case decision.ShedQuery:
		t.Shed++
	case decision.FailQuery:
		t.Failed++
	default:
		if s.completeness < s.minCompleteness-1e-4 || a.Complete && s.completeness < 1-1e-4 {
			b.sim.recordViolation("rule 5: query %d answered with completeness %.2f, complete %v", s.id, s.completeness, a.Complete)
		}
		t.Answered++
		if !a.Complete {
			t.Partial++
		}
		if b.sim.now-s.startedAt <= s.objective {
			t.InTarget++
		}
		if t.FirstAnswer == 0 {
			t.FirstAnswer = b.sim.now
		}
	}
}

// nodeID returns the node id that brokers derive from a name.
func nodeID(name string) decision.NodeID { return discovery.IDOfName(name) }

var anyAddr = netip.MustParseAddrPort("127.0.0.1:1")

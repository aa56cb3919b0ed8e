// Package play runs a script in virtual time: the real event loop, router, admission and connection pool of each broker, with
// simulated nodes, clients, discovery and network. The same script gives the same sequence of events on any number of cores.
// The package audits the rules from outside the brokers, never by a broker's own counters. It must never read a clock or depend on
// the iteration order of a map.
//
// Depends on cluster/readhint, config/operator, config/terms, decision, decision/routing, decision/readpin,
// decision/cachedlist, discovery, lab/queue, lab/script, server, transport/store. Concurrency: Play starts one goroutine for each
// worker and returns when all have ended; they share with the caller Options.Stop, which is atomic, and Options.Trace.
package play

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/lab/queue"
)

// event is a message to an actor, from another actor or from itself. What n, a and payload hold depends on the kind.
type event struct {
	target  uint32
	kind    kind
	n       int32
	a       uint64
	payload any
}

type kind uint8

// actor is a simulated process or machine. It learns of other actors only through events.
type actor interface {
	handle(e *event)
}

// actorState is common to all actors: ID, virtual time, random source, and a hash of all events that the actor received.
type actorState struct {
	w      *world
	runner *worker // runs this actor
	id     uint32
	seq    uint32
	now    time.Duration
	rnd    *rand.Rand
	hash   uint64
}

func (s *actorState) attach(w *world, id uint32) {
	s.w, s.id, s.hash = w, id, 14695981039346656037
	s.runner = w.workers[int(id)%len(w.workers)]
	s.rnd = rand.New(rand.NewPCG(uint64(w.script.Seed), uint64(id)))
}

// send schedules an event. An event for another actor comes no earlier than after the lookahead, the shortest network delay between
// two actors.
func (s *actorState) send(dst uint32, at time.Duration, k kind, n int32, a uint64, p any) {
	if dst == s.id {
		at = max(at, s.now)
	} else {
		at = max(at, s.now+s.w.lookahead)
	}
	s.seq++
	item := queue.Item[event]{Key: queue.Key{At: at, Source: s.id, Seq: s.seq}, Value: event{dst, k, n, a, p}}
	if to := int(dst) % len(s.w.workers); to == s.runner.at {
		s.runner.events.Push(item)
	} else {
		s.runner.outbox[to] = append(s.runner.outbox[to], item)
	}
}

func (s *actorState) mixHash(v uint64) { s.hash = (s.hash ^ v) * 1099511628211 }

// worker runs a share of the actors on one core.
type worker struct {
	at          int // index in world.workers
	events      queue.Queue[event]
	outbox      [][]queue.Item[event] // events for actors of other workers, by worker
	nextEventAt time.Duration
	n           uint64 // events processed
	tally       tally
}

const never = time.Duration(1<<63 - 1)

// run processes events up to a time. All workers process the same short time window. It is no longer than the lookahead, so that no
// event that one worker sends another can fall within it. Then they exchange these events and go on with the next window.
func (w *world) run(until time.Duration, stop *atomic.Bool) {
	var all sync.WaitGroup
	b := &barrier{n: int32(len(w.workers))}
	for _, k := range w.workers {
		k.updateNext()
	}
	for _, k := range w.workers {
		all.Go(func() {
			for {
				from := never
				for _, o := range w.workers {
					from = min(from, o.nextEventAt)
				}
				if from > until || w.stopped {
					return
				}
				to := min(from+w.lookahead, until+1)
				k.playUntil(w, to)
				b.wait()
				for _, o := range w.workers {
					if o != k {
						for i := range o.outbox[k.at] {
							k.events.Push(o.outbox[k.at][i])
						}
						clear(o.outbox[k.at])
						o.outbox[k.at] = o.outbox[k.at][:0]
					}
				}
				k.updateNext()
				if k.at == 0 {
					w.now, w.stopped = to, stop.Load()
				}
				b.wait()
			}
		})
	}
	all.Wait()
}

func (k *worker) updateNext() {
	k.nextEventAt = never
	if at, any := k.events.Peek(); any {
		k.nextEventAt = at
	}
}

func (k *worker) playUntil(w *world, to time.Duration) {
	for {
		at, any := k.events.Peek()
		if !any || at >= to {
			return
		}
		i := k.events.Pop()
		k.n++
		w.actors[i.Value.target].deliver(&i)
	}
}

// deliver adds an event to its actor's hash and has the actor handle it.
func (p registeredActor) deliver(i *queue.Item[event]) {
	p.actorState.now = i.At
	p.mixHash(uint64(i.At))
	p.mixHash(uint64(i.Source)<<40 ^ uint64(i.Value.kind)<<32 ^ uint64(uint32(i.Value.n)))
	p.mixHash(i.Value.a)
	p.actor.handle(&i.Value)
}

type registeredActor struct {
	*actorState
	actor
}

// barrier holds workers until all have arrived. They spin, as the work between two barriers takes only microseconds.
type barrier struct {
	n          int32 // workers
	arrived    atomic.Int32
	generation atomic.Uint32
}

func (b *barrier) wait() {
	if b.n == 1 {
		return
	}
	generation := b.generation.Load()
	if b.arrived.Add(1) == b.n {
		b.arrived.Store(0)
		b.generation.Add(1)
		return
	}
	for spins := 0; b.generation.Load() == generation; spins++ {
		if spins%50_000 == 49_999 { // another goroutine may need the core
			runtime.Gosched()
		}
	}
}

// Package play plays a script in virtual time: the real loop, module, door, pool and judge of each broker, driven by simulated
// nodes, clients, a simulated discovery and network. The same script gives the same course to the last event, however many cores
// play it. It owns what happens outside the brokers and audits the six rules from there, never from a broker's own books. It must
// never read a clock or let the order of a map matter.
//
// Depends on cluster/readhint, config/operator, config/terms, decision, decision/routing, decision/readpin,
// decision/cachedlist, discovery, lab/queue, lab/script, server, transport/store. Concurrency: goroutines of its
// own, which the caller's context ends; what they share with callers is behind a lock or an atomic value.
package play

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/lab/queue"
)

// event is what one actor is told, by another or by itself.
type event struct {
	target  uint32
	kind    kind
	n       int32
	a       uint64
	payload any
}

type kind uint8

// actor is one process or machine. What it is told is all that it knows of the others.
type actor interface {
	handle(e *event)
}

// actorState is what every actor has: its place, its time, its chance, and the hash of all that it was told.
type actorState struct {
	w      *world
	runner *worker
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

// send tells an actor something at a moment. Another one can't be told before the shortest way to it has passed.
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

// runner plays a share of the actors on one core.
type worker struct {
	at          int
	events      queue.Queue[event]
	outbox      [][]queue.Item[event] // for the actors of each other worker
	nextEventAt time.Duration
	n           uint64 // events played
	tally       tally
}

const never = time.Duration(1<<63 - 1)

// execution plays until a moment. All workers play the same short span of time, no longer than the shortest way between two
// actors, so that nothing they tell each other can lie within it; then they hand over what they told, and go on.
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

// leaving hashes an event into its actor's course and has it handled.
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

// barrier holds workers until all have come. They spin, as the spans are some microseconds long.
type barrier struct {
	n          int32
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
		if spins%50_000 == 49_999 { // a core may be wanted for something else
			runtime.Gosched()
		}
	}
}

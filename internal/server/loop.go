package server

// This file owns the one goroutine that calls the module. Everything that happens is delivered to it; it hands all
// that is queued to the module as one turn and carries the actions out. It must never wait for a socket or for a
// client, and it takes no decision: what it refuses itself (no place left, an id in hand twice) the settings say.

import (
	"context"
	"log/slog"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/admission"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// queueDepth bounds what is delivered and not yet taken. Whoever delivers more waits, so that bytes stay in the
// kernel and the network slows down whoever sends them.
const queueDepth = 1024

type loop struct {
	start    time.Time
	clock    func() time.Duration        // since start
	say      func(string, time.Duration) // what the module logs
	module   decision.Router
	maxOpen  int
	comeBack time.Duration // for searches that find no place; 0: clients are not told
	batch    int
	in       chan any
	pool     *store.Pool
	ask      func()                             // ask discovery
	tell     func(text string)                  // to the other brokers
	nodes    map[decision.NodeID]discovery.Node // as last listed
	deaf     bool                               // the last call to discovery failed
	next     uint64
	places   int
	searches map[uint64]*search
	owners   map[uint64]*search // of parts
	ids      map[string]bool    // request ids in hand
	events   []decision.Event   // for the next turn
	spare    []decision.Event
	actions  []decision.Action
	calls    []call
	ended    []*search
	wake     time.Duration // 0: none
	tally    QueryCounters
	saved    *saved   // nil: no list is kept
	gate     *gateway // nil: no other site is known
	types    []decision.QueryType
	under    *terms.Terms // in force, where they can change
	cells    int
	door     *doorway // nil: first come, first served
	pins     *pinning // nil: hints on reads are not looked at
	lets     []admission.Let
	crew     *crew    // nil: no other broker of the tier is known
	agreed   *agreed  // nil: brokers agree on nothing
	budgets  *budgets // nil: connections are not divided
}

// tuned is a module that can go on under other terms.
type tuned interface {
	Reconfigure(t decision.Settings, moved bool)
}

func newLoop(start time.Time, module decision.Router, t *decision.Settings) *loop {
	return &loop{start: start, clock: func() time.Duration { return time.Since(start) }, say: logModule, module: module, types: t.QueryTypes, cells: t.Cells, maxOpen: t.MaxInFlight, comeBack: t.MaxRetryAfter, batch: t.MaxBatch,
		in: make(chan any, queueDepth), nodes: map[decision.NodeID]discovery.Node{}, next: 1,
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
	if l.budgets != nil {
		next = min(next, l.budgetTick(now))
	}
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
	if l.agreed != nil {
		next = min(next, l.acknowledge(now))
	}
	if l.wake > 0 && l.wake <= now {
		l.wake = 0
		l.events = append(l.events, decision.Event{Kind: decision.TimerFired})
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

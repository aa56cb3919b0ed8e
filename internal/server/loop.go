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
	start               time.Time
	clock               func() time.Duration        // since start
	logDecision         func(string, time.Duration) // what the module logs
	router              decision.Router
	maxInFlight         int
	maxRetryAfter       time.Duration // for searches that find no place; 0: clients are not told
	maxBatch            int
	inbox               chan any
	pool                *store.Pool
	pollDiscovery       func()                             // ask discovery
	sendGossip          func(text string)                  // to the other brokers
	nodes               map[decision.NodeID]discovery.Node // as last listed
	pollFailed          bool                               // the last call to discovery failed
	nextID              uint64
	slotsUsed           int
	queries             map[uint64]*search
	queryOfShardRequest map[uint64]*search // of parts
	requestIDs          map[string]bool    // request ids in hand
	events              []decision.Event   // for the next turn
	spareEvents         []decision.Event
	actions             []decision.Action
	batches             []batch
	finished            []*search
	timerAt             time.Duration // 0: none
	counters            QueryCounters
	cachedList          *cachedEndpointList // nil: no list is kept
	gateway             *siteGateway        // nil: no other site is known
	queryTypes          []decision.QueryType
	settings            *terms.Terms // in force, where they can change
	cells               int
	admission           *admissionControl // nil: first come, first served
	readPins            *readPinning      // nil: hints on reads are not looked at
	lets                []admission.Let
	membership          *tierMembership   // nil: no other broker of the tier is known
	controlPlane        *controlPlaneView // nil: brokers agree on nothing
	connLeases          *connectionLeases // nil: connections are not divided
}

// reconfigurable is a module that can go on under other terms.
type reconfigurable interface {
	Reconfigure(t decision.Settings, moved bool)
}

func newLoop(start time.Time, module decision.Router, t *decision.Settings) *loop {
	return &loop{start: start, clock: func() time.Duration { return time.Since(start) }, logDecision: logModule, router: module, queryTypes: t.QueryTypes, cells: t.Cells, maxInFlight: t.MaxInFlight, maxRetryAfter: t.MaxRetryAfter, maxBatch: t.MaxBatch,
		inbox: make(chan any, queueDepth), nodes: map[decision.NodeID]discovery.Node{}, nextID: 1,
		queries: map[uint64]*search{}, queryOfShardRequest: map[uint64]*search{}, requestIDs: map[string]bool{},
		pollDiscovery: func() {}, sendGossip: func(string) {}}
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
		case d := <-l.inbox:
			l.handle(d)
		case <-timer.C:
		}
		l.drainInbox()
		next := l.advance()
		timer.Reset(max(0, next-l.since()))
	}
}

// drainInbox takes what else is queued, one queue's length at most, so that a turn comes in any case.
func (l *loop) drainInbox() {
	for range queueDepth {
		select {
		case d := <-l.inbox:
			l.handle(d)
		default:
			return
		}
	}
}

// advance takes a turn if anything happened and tells when to come again.
func (l *loop) advance() (next time.Duration) {
	now := l.since()
	next = l.pool.Sweep(now)
	if l.connLeases != nil {
		next = min(next, l.connLeaseTick(now))
	}
	if l.cachedList != nil {
		next = min(next, l.judgeCachedList(now))
	}
	if l.gateway != nil {
		next = min(next, l.gatewayTick(now))
	}
	if l.admission != nil {
		next = min(next, l.admissionTick(now))
	}
	if l.membership != nil {
		next = min(next, l.membershipTick(now))
	}
	if l.controlPlane != nil {
		next = min(next, l.acknowledgeDrains(now))
	}
	if l.timerAt > 0 && l.timerAt <= now {
		l.timerAt = 0
		l.events = append(l.events, decision.Event{Kind: decision.TimerFired})
	}
	if len(l.events) > 0 {
		l.stepRouter(now)
		if l.admission != nil { // what has ended makes room
			next = min(next, l.admissionTick(now))
		}
	}
	if len(l.events) > 0 { // such as the ends of what was called off
		return now
	}
	if l.timerAt > 0 {
		next = min(next, l.timerAt)
	}
	return next
}

package server

import (
	"context"
	"log/slog"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/usedids"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// inboxCapacity bounds the messages that are delivered and not yet handled. Goroutines that deliver more wait, so that unread bytes stay in
// the kernel and TCP slows down their senders.
const inboxCapacity = 1024

// Memory for the ids of queries that may have run: defaultUsedIDBytes, or a share of the broker's memory where its limit is known.
const (
	defaultUsedIDBytes = 512 << 10
	usedIDMemoryShare  = 64 // of the memory limit, the divisor
)

// loop is the event loop: its goroutine alone calls the router and the extensions, and owns all queries in flight and the pool of
// connections to nodes. It passes the delivered messages to the router as the events of one step and executes the actions that the router
// returns. It never waits for a socket or a client.
type loop struct {
	start       time.Time
	clock       func() time.Duration // since start
	inbox       chan message
	router      decision.Router
	pool        *store.Pool
	counters    QueryCounters
	logDecision func(text string, at time.Duration) // takes the router's log lines
	queryLog    queryLog

	// settings in force
	settings      *terms.Terms // nil in a Core, whose settings don't change
	queryTypes    []decision.QueryType
	cells         int
	maxInFlight   int           // queries and shard requests
	maxRetryAfter time.Duration // told to clients whose query finds no slot; 0: they are told no time
	maxBatch      int           // limit on the attempts to one node in one call

	// endpoints
	nodes         map[decision.NodeID]discovery.Node // as last listed
	pollFailed    bool                               // the last poll of discovery failed
	pollDiscovery func()
	sendGossip    func(text string) // to the other brokers

	// queries in flight
	nextID              uint64
	slotsUsed           int
	queries             map[uint64]*activeQuery
	queryOfShardRequest map[uint64]*activeQuery
	requestIDs          map[string]bool
	usedIDs             *usedids.Record // of clients' queries that may have run
	finished            []*activeQuery  // ended in this step

	// the next step
	events      []decision.Event
	spareEvents []decision.Event
	actions     []decision.Action
	batches     []batch
	timerAt     time.Duration // when the router's timer fires; 0: none is set

	// extensions; one that is off is nil, and its methods do nothing
	extensions   [extensionCount]extension
	cachedList   *cachedEndpointList
	gateway      *siteGateway
	admission    *admissionControl
	readPins     *readPinTracker
	membership   *tierMembership
	controlPlane *controlPlaneView
	connLeases   *connectionLeases
}

func newLoop(start time.Time, router decision.Router, t *decision.Settings) *loop {
	l := &loop{
		start:               start,
		clock:               func() time.Duration { return time.Since(start) },
		inbox:               make(chan message, inboxCapacity),
		router:              router,
		logDecision:         logDecision,
		queryLog:            newQueryLog(),
		nodes:               map[decision.NodeID]discovery.Node{},
		pollDiscovery:       func() {},
		sendGossip:          func(string) {},
		nextID:              1,
		queries:             map[uint64]*activeQuery{},
		queryOfShardRequest: map[uint64]*activeQuery{},
		requestIDs:          map[string]bool{},
		usedIDs:             usedids.New(defaultUsedIDBytes),
	}
	l.applyLimits(t)
	return l
}

func (l *loop) applyLimits(t *decision.Settings) {
	l.queryTypes = t.QueryTypes
	l.cells = t.Cells
	l.maxInFlight = t.MaxInFlight
	l.maxRetryAfter = t.MaxRetryAfter
	l.maxBatch = t.MaxBatch
}

func logDecision(text string, at time.Duration) {
	slog.Info(text, "component", "routing", "at", at.Round(time.Millisecond))
}

// since returns the current time, as the time since the broker's start.
func (l *loop) since() time.Duration { return l.clock() }

// run handles messages and does what is due until ctx ends.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			l.handle(m)
		case <-timer.C:
		}
		l.drainInbox()
		next := l.advance()
		timer.Reset(max(0, next-l.since()))
	}
}

// drainInbox handles the messages that are queued, at most inboxCapacity of them, so that a router step follows in any case.
func (l *loop) drainInbox() {
	for range inboxCapacity {
		select {
		case m := <-l.inbox:
			l.handle(m)
		default:
			return
		}
	}
}

// advance does what is due, steps the router if there are events, and returns the time at which it must be called again.
func (l *loop) advance() (next time.Duration) {
	now := l.since()
	next = l.pool.Sweep(now)
	for _, e := range &l.extensions {
		if e != nil {
			next = min(next, e.tick(now))
		}
	}
	if l.timerAt > 0 && l.timerAt <= now {
		l.timerAt = 0
		l.post(decision.Event{Kind: decision.TimerFired})
	}
	if len(l.events) > 0 {
		l.stepRouter(now)
		next = min(next, l.admission.afterStep(now))
	}
	if len(l.events) > 0 { // new ones, such as the ends of attempts that the step cancelled
		return now
	}
	if l.timerAt > 0 {
		next = min(next, l.timerAt)
	}
	return next
}

// handle turns a message into events for the router's next step, or passes it to the extension that it is for.
func (l *loop) handle(m message) {
	switch m := m.(type) {
	case connectionEvent:
		l.pool.HandleEvent(m.Event)
	case queryReceived:
		l.receive(m.query)
	case queryAbandoned:
		l.abandon(m)
	case listReceived:
		l.handleList(m.list, m.err)
	case gossipReceived:
		l.post(decision.Event{Kind: decision.GossipReceived, From: uint32(m.from), Payload: m.text})
	case settingsChanged:
		l.applySettings(m)
		close(m.done)
	case countersRequested:
		m.reply <- l.snapshot()
	default:
		for _, e := range &l.extensions {
			if e != nil && e.handle(m) {
				return
			}
		}
	}
}

// inspectable is a router that reports its number of ejected nodes and of attempts in flight; operators compare the latter with the pool's.
type inspectable interface {
	Snapshot() (inFlight, ejected int)
}

// snapshot returns a copy of the counters with the state of the pool, the router and the extensions.
func (l *loop) snapshot() QueryCounters {
	c := l.counters
	c.Store = l.pool.Counts
	c.Nodes = l.pool.Nodes()
	c.NodeConnections = l.pool.OpenConnections()
	c.AttemptsInFlight = l.pool.InFlight()
	if r, ok := l.router.(inspectable); ok {
		c.AttemptsByRouter, c.EjectedNodes = r.Snapshot()
	}
	for _, e := range &l.extensions {
		if e != nil {
			e.report(&c)
		}
	}
	return c
}

// reconfigurable is a router that can change to other settings while it runs.
type reconfigurable interface {
	Reconfigure(t decision.Settings, deploymentChanged bool)
}

// applySettings changes the loop, the router and the pool to other settings. Events that came before are passed to the router under the old
// settings, under which queries in flight also end. If the new settings are for other shards or nodes, the nodes known so far get no more
// attempts.
func (l *loop) applySettings(m settingsChanged) {
	if m.deploymentChanged {
		l.applyList(&discovery.List{Full: true})
	}
	if len(l.events) > 0 {
		l.stepRouter(l.since())
	}
	l.router.(reconfigurable).Reconfigure(m.terms.Module, m.deploymentChanged)
	l.settings = m.terms
	l.applyLimits(&m.terms.Module)
	l.pool.UpdateLimits(m.terms.Streams, m.terms.Idle, m.terms.Dial, m.terms.LongestTimeout())
	if m.list != nil {
		l.applyList(m.list)
	}
}

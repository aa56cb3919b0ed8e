package play

// This file simulates a broker: it drives the real server.Core by events of clients, connections and timers, and models the CPU time
// of its event loop.

import (
	"syscall"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/store"
)

// Events for brokers and their clients.
const (
	kConnUp       kind = iota + 40 // a: the connection
	kAnswer                        // a: the connection, payload: *store.Answer
	kConnDown                      // a: the connection, n: downRefused or downReset
	kList                          // payload: *discovery.List or error
	kGossip                        // payload: []byte, n: the broker that sent it
	kStep                          // the event loop takes a step
	kWake                          // a timer of the event loop
	kArrive                        // a client may ask a new query
	kRetry                         // payload: *clientQuery, which the client retries
	kQueryTimeout                  // payload: *clientQuery, n: its count of tries when this was set
	kDialTimeout                   // a: the connection
	kKill
	kRestart
	kSampleBroker
)

// Reasons for the end of a connection.
const (
	downRefused int32 = iota
	downReset
)

const timingTolerance = 50 * time.Millisecond // the same as in the tests of brokers over sockets

// broker is a broker and its clients.
type broker struct {
	actorState
	n          int // index of the broker
	zone       int
	policy     Policy
	starts     uint64
	startedAt  time.Duration // of the present process
	core       *server.Core  // nil while the process is down
	cachedList *cachedlist.EntryTable
	rate       float64 // queries per second of its clients without faults in the load

	conns         map[uint64]*conn
	dialCount     uint64
	leaving       map[string]time.Duration // by name: nodes that discovery lists as draining or removed
	busyUntil     time.Duration
	stepScheduled bool
	wakeAt        time.Duration
	pendingEvents int // since the last step
	lines         int

	queryCount  uint64
	openQueries map[string]*clientQuery
	nodeIDs     []decision.NodeID // by node, as last listed; for sampleAvailability

	extraSends       []time.Duration // rule 6: times of extra attempts within the window
	creditedRequests []time.Duration // rule 6: times of the queries and shard requests that allow for extra attempts

	idleSessions []*session // without a query in progress
	sessionCount int
}

// clientQuery is a query of a client, with its retries.
type clientQuery struct {
	row, typ, tenant  int // row is the index in Result.Rows
	askedAt, deadline time.Duration
	shards            []int
	weights           []float64
	text              string
	client            uint64
	tries             int32
	retriesAtOnce     bool // the client retries without backoff
	id                string
	attemptsByShard   []uint8 // parallel to shards
	pending           server.PendingQuery
	ended             bool // this try has its result
	retryScheduled    bool // the client will retry

	hint        *readhint.Hint
	session     *session
	submittedAt time.Duration // time of the last try
}

func newBroker(w *world, n int, p Policy) *broker {
	b := &broker{n: n, zone: n % w.script.Fleet.Zones, policy: p, conns: map[uint64]*conn{}, leaving: map[string]time.Duration{},
		openQueries: map[string]*clientQuery{}, wakeAt: never}
	l, count := &w.script.Load, w.script.Brokers.Count
	b.rate = l.Rate / float64(count)
	if top := max(1, count/10); l.Skew > 0 && count > top {
		if b.rate = l.Rate * (1 - l.Skew) / float64(count-top); n < top {
			b.rate = l.Rate * l.Skew / float64(top)
		}
	}
	return b
}

func (b *broker) start() error {
	b.extraSends, b.creditedRequests = nil, nil // rule 6 counts from the start of the broker
	for _, r := range b.w.schedule.Restarts {
		if r.Broker == b.n {
			b.send(b.id, r.From, kKill, 0, 0, nil)
			b.send(b.id, r.To, kRestart, 0, 0, nil)
		}
	}
	if b.w.script.Brokers.KeepList {
		b.cachedList = cachedlist.NewEntryTable(cachedlist.Head{}, nil)
	}
	b.scheduleArrival()
	b.pullPositions()
	b.send(b.id, time.Second-2, kSampleBroker, 0, 0, nil)
	return b.boot()
}

// boot starts the broker's process, with no state but its cached list.
func (b *broker) boot() (err error) {
	b.starts++
	b.startedAt = b.now
	t := *b.w.terms
	t.Module.Seed = b.rnd.Uint64()
	b.core, err = server.NewCore(&t, b.w.operatorFile(), b.w.newRouterFunc(b.policy, b), server.Environment{
		Now: b.sinceStart, Start: b.w.epoch.Add(b.startedAt), Sockets: b.w.script.Brokers.Sockets, Carrier: b.dial,
		PollDiscovery: func() {
			b.send(idDiscovery, b.now+b.w.script.Network.ZoneDelay, kPollList, 0, uint64(b.id), nil)
		},
		SendGossip: b.sendGossip, Log: b.log, CachedList: b.cachedList})
	b.scheduleStep()
	return err
}

// sinceStart returns the broker's own time, which counts from its start.
func (b *broker) sinceStart() time.Duration { return b.now - b.startedAt }

func (b *broker) log(text string) {
	b.runner.tally.lineCount++
	if b.lines++; b.lines <= maxLines/b.w.script.Brokers.Count {
		b.runner.tally.lines = append(b.runner.tally.lines, Line{b.now, b.n, text})
	}
	b.mixHash(hashOf(digestedLine(text)))
}

func (b *broker) sendGossip(text string) {
	for i := range b.w.script.Brokers.Count {
		if i != b.n {
			if took, lost, held := b.samplePath(b.zone, i%b.w.script.Fleet.Zones); !lost && held == 0 {
				b.send(uint32(idBrokers+i), b.now+took, kGossip, int32(b.n), 0, []byte(text))
			}
		}
	}
}

// scheduleStep counts an event for the loop and schedules a step for when its core is free.
func (b *broker) scheduleStep() {
	b.pendingEvents++
	if !b.stepScheduled {
		b.stepScheduled = true
		b.send(b.id, max(b.now, b.busyUntil), kStep, 0, 0, nil)
	}
}

func (b *broker) runStep() {
	b.stepScheduled = false
	if b.core == nil {
		return
	}
	cost := b.w.script.Brokers.StepCost
	b.busyUntil = b.now + cost + time.Duration(b.pendingEvents)*cost/8
	b.pendingEvents = 0
	next := b.core.Step()
	for i := 0; next <= b.sinceStart() && i < 64; i++ {
		next = b.core.Step()
	}
	if next <= b.sinceStart() {
		b.scheduleStep()
	} else if next < b.wakeAt-b.startedAt || b.wakeAt <= b.now {
		b.wakeAt = min(next, time.Hour) + b.startedAt
		b.send(b.id, b.wakeAt, kWake, 0, 0, nil)
	}
}

func (b *broker) handle(e *event) {
	switch e.kind {
	case kStep:
		b.runStep()
	case kWake:
		if b.wakeAt <= b.now {
			b.wakeAt = never
			b.scheduleStep()
		}
	case kConnUp:
		if c := b.conns[e.a]; c != nil && !c.closed {
			c.established = true
			b.handleConnEvent(c.poolHandle.Up(b.sinceStart(), c))
		}
	case kAnswer:
		if c := b.conns[e.a]; c != nil && !c.closed {
			b.handleConnEvent(c.poolHandle.Answered(b.sinceStart(), *e.payload.(*store.Answer)))
		}
	case kConnDown:
		if c := b.conns[e.a]; c != nil {
			err := error(syscall.ECONNREFUSED)
			if e.n == downReset {
				err = syscall.ECONNRESET
			}
			b.connectionLost(c, err)
		}
	case kDialTimeout:
		if c := b.conns[e.a]; c != nil && !c.established {
			b.connectionLost(c, &dialTimeoutError{})
		}
	case kList:
		b.handleList(e.payload)
	case kGossip:
		if b.core != nil {
			b.core.HandleGossip(int(e.n), e.payload.([]byte))
			b.scheduleStep()
		}
	case kArrive:
		b.generateQuery()
	case kRetry:
		b.submit(e.payload.(*clientQuery))
	case kQueryTimeout:
		if q := e.payload.(*clientQuery); q.tries == e.n && !q.ended && b.core != nil {
			b.core.Abandon(q.pending, true)
			b.scheduleStep()
		}
	case kKill:
		b.kill()
	case kRestart:
		if err := b.boot(); err != nil {
			b.reportBreach(0, "broker %d did not restart: %v", b.n, err)
		}
	case kPullTimer, kPullRequest, kPullReply, kSessionMoved:
		b.handleSharing(e)
	case kSampleBroker:
		b.sampleAvailability()
		b.send(b.id, b.now+time.Second, kSampleBroker, 0, 0, nil)
	}
}

package server

import (
	"context"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/discovery"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// Environment is what a core needs of the world around it.
type Environment struct {
	Now           func() time.Duration // since Start
	Start         time.Time
	Sockets       int // file descriptors
	Carrier       store.Carrier
	PollDiscovery func()
	SendGossip    func(text string)      // to the other brokers
	Log           func(text string)      // what the router logs
	CachedList    *cachedlist.EntryTable // the endpoint list as last stored; nil: none is
}

// Core is one broker for whoever brings the time and the network: the simulation, which plays many of them in virtual time. It has the loop,
// the router, admission and the pool of a broker in service, without goroutines, client connections and sockets. Its methods must not be
// called concurrently.
type Core struct{ loop *loop }

// Query is a query as it is put to a core.
type Query struct {
	ID      string
	Type    int
	Tenant  int
	Client  uint64 // a hash of the key that the client states; 0: none
	Retry   bool
	Timeout time.Duration
	Text    string
	Shards  []int
	Weights []float64
	Hint    *readhint.Hint // nil: none
}

// QueryResult is the final answer to it.
type QueryResult struct {
	Answered   bool // neither answered nor shed: failed
	Complete   bool
	Shed       bool
	RetryAfter time.Duration
	Shards     []int // that are answered
	Values     []string
	Hinted     bool                // the next ones hold
	Positions  []readhint.Position // by shard
	Behind     []int               // shards that have not reached what the hint asks for
	Staleness  time.Duration       // bound on what the answer may lack; under 0: none is known
}

// PendingQuery is a query that was put to a core.
type PendingQuery struct{ query *activeQuery }

// Done tells whether it has its result, or was abandoned.
func (p PendingQuery) Done() bool { return p.query.done }

// NewCore makes a broker; it knows no node until it is given a list. The error is an InvalidWeightsError.
func NewCore(t *terms.Terms, file *operator.File, newRouter func(decision.Settings) decision.Router, e Environment) (*Core, error) {
	l := newLoop(e.Start, newRouter(t.Module), &t.Module)
	l.clock = e.Now
	l.pollDiscovery = e.PollDiscovery
	l.sendGossip = e.SendGossip
	l.logDecision = func(text string, _ time.Duration) { e.Log(text) }
	limits := store.Limits{
		Streams: t.Streams,
		Idle:    t.Idle,
		Dial:    t.Dial,
		Silent:  t.LongestTimeout(),
		Conns:   max(1, (e.Sockets-spareSockets)/nodeSocketsDivisor),
	}
	l.pool = store.NewPool(context.Background(), limits, nil, e.Now, nil, nil, l.attemptEnded)
	l.pool.Probed = l.healthCheckEnded
	l.pool.Carry(e.Carrier)
	if file.Fleet.Pins {
		l.useReadPins(newReadPinTracker(&file.Fleet, t))
		l.pool.KeepReports()
	}
	var err error
	if file.Door.On {
		admission, doorErr := newAdmissionControl(&file.Door, t)
		if doorErr == nil {
			l.useAdmission(admission)
		}
		err = doorErr
	}
	list := &discovery.List{Full: true}
	if e.CachedList != nil {
		cached := newCachedList(&file.Start, e.CachedList, e.Start)
		cached.store = func(cachedlist.Changes) {}
		reader := discovery.Reader{Zones: t.Zones}
		cached.zone = reader.ZoneNumber
		l.useCachedList(cached)
		list = cached.initialList()
	}
	l.applyList(list)
	return &Core{l}, err
}

// Submit puts a query to the broker; deliver gets its one result, perhaps before Submit returns.
func (c *Core) Submit(q *Query, deliver func(QueryResult)) PendingQuery {
	arrival := c.loop.since()
	active := &activeQuery{Request: q.request(), arrival: arrival, deadline: arrival + q.Timeout}
	active.onResult = func(r query.Result) { deliver(newQueryResult(&r)) }
	c.loop.handle(queryReceived{active})
	return PendingQuery{active}
}

// Abandon tells that a query's client has left; overdue, that its time is up and a result is owed.
func (c *Core) Abandon(p PendingQuery, overdue bool) {
	cause := query.ClientDeparted
	if overdue {
		cause = query.DeadlinePassed
	}
	c.loop.handle(queryAbandoned{p.query, cause})
}

// HandleConnection takes what happened to a connection.
func (c *Core) HandleConnection(e store.Event) { c.loop.handle(connectionEvent{e}) }

// HandleList takes what a poll of discovery returned.
func (c *Core) HandleList(list *discovery.List, err error) { c.loop.handle(listReceived{list, err}) }

// CollectPositions is what the broker knows of replicas' positions.
func (c *Core) CollectPositions() []byte {
	return c.loop.readPins.positions.EncodePositions(c.loop.since())
}

// MergePositions takes what another broker collected; older is the most by which it has aged on the way.
func (c *Core) MergePositions(data []byte, older time.Duration) {
	c.loop.handle(positionsReceived{data, c.loop.since() - older})
}

// HandleGossip takes a message of another broker.
func (c *Core) HandleGossip(from int, text []byte) { c.loop.handle(gossipReceived{from, text}) }

// Step advances the loop and returns when to be called again.
func (c *Core) Step() time.Duration { return c.loop.advance() }

// Counters are the broker's counters.
func (c *Core) Counters() QueryCounters {
	r := countersRequested{make(chan QueryCounters, 1)}
	c.loop.handle(r)
	return <-r.reply
}

// IsAvailable tells whether the router gives a node ordinary work; for reports only.
func (c *Core) IsAvailable(id decision.NodeID) bool {
	r, ok := c.loop.router.(interface{ IsAvailable(decision.NodeID) bool })
	return !ok || r.IsAvailable(id)
}

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

// Environment is what a Core needs from its host: clock, network, discovery and log.
type Environment struct {
	Now           func() time.Duration // since Start
	Start         time.Time
	Sockets       int // file descriptors
	Carrier       store.Carrier
	PollDiscovery func()
	SendGossip    func(text string)      // to the other brokers
	Log           func(text string)      // takes the router's log lines
	CachedList    *cachedlist.EntryTable // the endpoint list as last stored; nil: no list is cached
}

// Core is one broker whose time and network the caller provides: the simulation runs many of them in virtual time. It has the event loop, the
// router, admission and the connection pool of a production broker, but no goroutines, client connections or sockets. Its methods must not
// be called concurrently.
type Core struct{ loop *loop }

// Query is a query submitted to a Core, or by a Front.
type Query struct {
	ID      string
	Type    int
	Tenant  int
	Client  uint64 // a hash of the key that the client sent; 0: none
	Retry   bool
	Timeout time.Duration
	Text    string
	Shards  []int
	Weights []float64
	Hint    *readhint.Hint // nil: none
}

// QueryResult is the final result of a Query.
type QueryResult struct {
	Answered   bool // a query that is neither answered nor shed has failed
	Complete   bool
	Shed       bool
	RetryAfter time.Duration
	Shards     []int // the shards that answered, in the order of Values
	Values     []string
	Hinted     bool                // the query had a read hint; the next three fields are set
	Positions  []readhint.Position // by shard
	Behind     []int               // shards that have not reached what the hint asks for
	Staleness  time.Duration       // upper bound on the age of the writes that the answer may lack; negative: no bound is known
}

// PendingQuery is a query that was submitted to a Core.
type PendingQuery struct{ query *activeQuery }

// Done reports whether the query has its result or was abandoned.
func (p PendingQuery) Done() bool { return p.query.done }

// NewCore returns a broker, which knows no nodes until it receives an endpoint list. The error is an InvalidWeightsError.
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
	l.pool.ProbeEnded = l.healthCheckEnded
	l.pool.SetCarrier(e.Carrier)
	if file.ControlPlaneSettings.Pins {
		l.useReadPins(newReadPinTracker(&file.ControlPlaneSettings, t))
		l.pool.KeepReports()
	}
	var err error
	if file.Admission.On {
		admission, doorErr := newAdmissionControl(&file.Admission, t)
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

// Submit submits a query. deliver is called once with its result, perhaps before Submit returns, and never if the client leaves.
func (c *Core) Submit(q *Query, deliver func(QueryResult)) PendingQuery {
	arrival := c.loop.since()
	active := &activeQuery{Request: q.request(), arrival: arrival, deadline: arrival + q.Timeout}
	active.onResult = func(r query.Result) { deliver(newQueryResult(&r)) }
	c.loop.handle(queryReceived{active})
	return PendingQuery{active}
}

// Abandon ends a query early. If overdue, its deadline has passed and it still gets a result; else its client has left and it gets none.
func (c *Core) Abandon(p PendingQuery, overdue bool) {
	cause := query.ClientDeparted
	if overdue {
		cause = query.DeadlinePassed
	}
	c.loop.handle(queryAbandoned{p.query, cause})
}

// HandleConnection handles an event of a connection to a node.
func (c *Core) HandleConnection(e store.Event) { c.loop.handle(connectionEvent{e}) }

// HandleList handles the endpoint list, or the error, that a poll of discovery returned.
func (c *Core) HandleList(list *discovery.List, err error) { c.loop.handle(listReceived{list, err}) }

// CollectPositions returns the replicas' positions that the broker knows, encoded for other brokers.
func (c *Core) CollectPositions() []byte {
	return c.loop.readPins.positions.EncodePositions(c.loop.since())
}

// MergePositions merges positions that another broker collected. older is an upper bound on the time since they were collected.
func (c *Core) MergePositions(data []byte, older time.Duration) {
	c.loop.handle(positionsReceived{data, c.loop.since() - older})
}

// HandleGossip handles a gossip message of another broker.
func (c *Core) HandleGossip(from int, text []byte) { c.loop.handle(gossipReceived{from, text}) }

// Step does what is due and returns the time at which it must be called again.
func (c *Core) Step() time.Duration { return c.loop.advance() }

// Counters returns the broker's counters.
func (c *Core) Counters() QueryCounters {
	r := countersRequested{make(chan QueryCounters, 1)}
	c.loop.handle(r)
	return <-r.reply
}

// IsNodeAvailable reports whether the router sends a node ordinary attempts; true if the router can't tell. It is used by reports only.
func (c *Core) IsNodeAvailable(id decision.NodeID) bool {
	r, ok := c.loop.router.(interface{ IsAvailable(decision.NodeID) bool })
	return !ok || r.IsAvailable(id)
}

package server

// This file owns the loop for whoever brings the time and the network: the laboratory, which plays many brokers in virtual time.
// It is the same loop, module, door and pool as in service, without goroutines, clients' connections and sockets. It must never
// be used by what serves, or decide anything.

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

// Environment is what a core needs of the world round it.
type Environment struct {
	Now           func() time.Duration // since Start
	Start         time.Time
	Sockets       int // descriptors
	Carrier       store.Carrier
	PollDiscovery func()                 // discovery
	SendGossip    func(text string)      // other brokers
	Log           func(text string)      // what the module logs
	CachedList    *cachedlist.EntryTable // the node list as last kept; nil: none is kept
}

// Core is one broker.
type Core struct{ l *loop }

// Query is a search as it is put to a core.
type Query struct {
	ID      string
	Type    int
	Tenant  int
	Client  uint64
	Retry   bool
	Timeout time.Duration
	Text    string
	Shards  []int
	Weights []float64
	Hint    *readhint.Hint // nil: none
}

// QueryResult is the final answer to it.
type QueryResult struct {
	Answered, Complete, Shed bool // neither answered nor shed: errored
	RetryAfter               time.Duration
	Shards                   []int // that are in
	Values                   []string
	Hinted                   bool                // the next ones hold
	Positions                []readhint.Position // by shard
	Behind                   []int               // shards that do not keep what the hint asked for
	Staleness                time.Duration       // what the answer may lack at the most; under 0: no bound is known
}

// PendingQuery is a search that was put to a core.
type PendingQuery struct{ s *activeQuery }

// Done tells whether it has its verdict, or was left.
func (h PendingQuery) Done() bool { return h.s.done }

// NewCore makes a broker; it knows no node until it is told a list.
func NewCore(t *terms.Terms, file *operator.File, decide func(decision.Settings) decision.Router, a Environment) (*Core, error) {
	l := newLoop(a.Start, decide(t.Module), &t.Module)
	l.clock, l.pollDiscovery, l.sendGossip = a.Now, a.PollDiscovery, a.SendGossip
	l.logDecision = func(text string, _ time.Duration) { a.Log(text) }
	limits := store.Limits{Streams: t.Streams, Idle: t.Idle, Dial: t.Dial, Silent: t.LongestTimeout(),
		Conns: max(1, (a.Sockets-spareSockets)/nodeSocketsDivisor)}
	l.pool = store.NewPool(context.Background(), limits, nil, a.Now, nil, nil, l.attemptEnded)
	l.pool.Probed = l.healthCheckEnded
	l.pool.Carry(a.Carrier)
	if file.Fleet.Pins {
		l.readPins = newReadPinning(&file.Fleet, t)
		l.pool.KeepReports()
	}
	var err error
	if file.Door.On {
		l.admission, err = newAdmissionControl(&file.Door, t)
	}
	if a.CachedList != nil {
		p := file.Start.Trust
		judge := cachedlist.NewEvaluator(cachedlist.Policy{HalfLife: p.HalfLife, MaxAge: p.Oldest, EjectionThreshold: p.StrikeAt, TrialInterval: p.Parole},
			a.CachedList, cachedlist.TimestampOf(a.Start))
		reader := discovery.Reader{Zones: t.Zones}
		l.cachedList = &cachedEndpointList{book: a.CachedList, judge: judge, store: func(cachedlist.Changes) {}, zone: reader.ZoneNumber,
			maxEntries: file.Start.NodeList.MaxEntries, keepEnded: file.Start.NodeList.KeepEnded, start: a.Start}
		list := &discovery.List{Full: true}
		for _, f := range judge.Start(discovery.IDOfName) {
			list.Nodes = append(list.Nodes, l.cachedList.node(f))
		}
		l.applyList(list)
	} else {
		l.applyList(&discovery.List{Full: true})
	}
	return &Core{l}, err
}

// Submit puts a search to the broker; to gets its one verdict, perhaps before Search returns.
func (c *Core) Submit(a *Query, to func(QueryResult)) PendingQuery {
	q := &query.Request{ID: a.ID, Type: a.Type, Tenant: a.Tenant, Client: a.Client, Retry: a.Retry, Timeout: a.Timeout, Text: a.Text, Hint: a.Hint,
		Shards: make([]query.ShardRequest, len(a.Shards))}
	for i, shard := range a.Shards {
		q.Shards[i] = query.ShardRequest{Name: query.ShardRequestName(a.ID, shard), Shard: shard, Weight: a.Weights[i]}
	}
	s := &activeQuery{Request: q, arrival: c.l.since(), deadline: c.l.since() + a.Timeout}
	s.onResult = func(v query.Result) {
		out := QueryResult{Answered: v.Outcome == query.Answered, Complete: v.Complete, Shed: v.Outcome == query.Shed, RetryAfter: v.RetryAfter,
			Hinted: v.Hinted, Positions: v.Positions, Behind: v.Behind, Staleness: v.Staleness}
		for _, p := range v.Answers {
			out.Shards, out.Values = append(out.Shards, p.Shard), append(out.Values, p.Value)
		}
		to(out)
	}
	c.l.handle(queryReceived{s})
	return PendingQuery{s}
}

// Abandon tells that a search's client has gone; overdue, that its time is up and a verdict is owed.
func (c *Core) Abandon(h PendingQuery, overdue bool) {
	cause := query.ClientDeparted
	if overdue {
		cause = query.DeadlinePassed
	}
	c.l.handle(queryAbandoned{h.s, cause})
}

// HandleConnection hands on what happened to a connection.
func (c *Core) HandleConnection(e store.Event) { c.l.handle(e) }

// HandleList hands on what discovery told, or that a call failed.
func (c *Core) HandleList(list *discovery.List, err error) { c.l.handle(listReceived{list, err}) }

// CollectPositions is what the broker knows of replicas' positions.
func (c *Core) CollectPositions() []byte { return c.l.readPins.positions.EncodePositions(c.l.since()) }

// MergePositions hands on what another broker collected; it has grown older by so much at the most.
func (c *Core) MergePositions(data []byte, older time.Duration) {
	c.l.handle(positionsReceived{data, c.l.since() - older})
}

// HandleGossip hands on a message of another broker.
func (c *Core) HandleGossip(from int, text []byte) { c.l.handle(gossipReceived{from, text}) }

// Step takes a turn if anything happened and tells when to come again.
func (c *Core) Step() time.Duration { return c.l.advance() }

// Counters is what the broker counts.
func (c *Core) Counters() QueryCounters {
	r := countersRequested{make(chan QueryCounters, 1)}
	c.l.handle(r)
	return <-r.to
}

// Trusts tells whether the module gives a node work as a matter of course; for reports only.
func (c *Core) Trusts(id decision.NodeID) bool {
	m, tells := c.l.router.(interface{ IsAvailable(decision.NodeID) bool })
	return !tells || m.IsAvailable(id)
}

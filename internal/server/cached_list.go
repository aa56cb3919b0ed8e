package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
)

const (
	storeInterval      = time.Second
	endedWarningFactor = 2 // a warning is logged if a full list ends more than 1/endedWarningFactor of the nodes
)

// cachedEndpointList is the extension that caches the endpoint list on disk, and evaluates its entries while discovery can't be polled.
// cachedlist.Evaluator decides which entries are used; store hands changes to the writer, which runs outside the loop.
type cachedEndpointList struct {
	loop       endpointHost
	table      *cachedlist.EntryTable
	evaluator  *cachedlist.Evaluator
	store      func(cachedlist.Changes) // must not wait
	zone       func(name string) int
	maxEntries int
	keepEnded  time.Duration // how long the entry of an ended node is kept
	nextStore  time.Duration // when the table's changes are collected and stored next
	start      time.Time
}

// useCachedList attaches the cached list to the loop.
func (l *loop) useCachedList(c *cachedEndpointList) {
	c.loop = l
	l.cachedList = c
	l.extensions[cachedListExtension] = c
}

func (c *cachedEndpointList) handle(m message) bool {
	request, ok := m.(operatorRequest)
	if ok {
		c.handleOperatorRequest(request.OperatorRequest)
	}
	return ok
}

// tick applies what the evaluator concludes from the outcomes of attempts, and stores the table's changes.
func (c *cachedEndpointList) tick(now time.Duration) time.Duration {
	updates, next := c.evaluator.Tick(now)
	if len(updates) > 0 {
		list := &discovery.List{}
		for _, update := range updates {
			list.Nodes = append(list.Nodes, c.node(update))
		}
		c.loop.applyList(list)
	}
	for _, line := range c.evaluator.CollectLogLines() {
		slog.Info("cached endpoint judged", "component", "cached-list", "decision", line, "at", now.Round(time.Millisecond))
	}
	if now >= c.nextStore {
		c.nextStore = now + storeInterval
		if changes, any := c.table.CollectChanges(); any {
			c.store(changes)
		}
	}
	return next
}

func (c *cachedEndpointList) report(counters *QueryCounters) {
	state := c.evaluator.Snapshot(c.loop.since())
	counters.CachedList = &state
}

// initialList returns the endpoint list to start with.
func (c *cachedEndpointList) initialList() *discovery.List {
	list := &discovery.List{Full: true}
	for _, update := range c.evaluator.Start(discovery.IDOfName) {
		list.Nodes = append(list.Nodes, c.node(update))
	}
	return list
}

// node converts an endpoint update to a node. A node that must not be used is marked draining, so that it gets no new attempts.
func (c *cachedEndpointList) node(update cachedlist.EndpointUpdate) discovery.Node {
	e := &update.Entry
	n := discovery.Node{Name: e.Name, Address: e.Address, Zone: e.Zone, StartedAtMS: int64(e.StartedAt),
		Endpoint: decision.Endpoint{Node: update.ID, Cell: e.Cell, Zone: c.zone(e.Zone), State: decision.Ready, StartedAt: decision.StartedLongAgo,
			Unconfirmed: update.SlowStart}}
	if !update.Usable {
		n.Endpoint.State = decision.Draining
	}
	if e.StartedAt > 0 {
		n.Endpoint.StartedAt = e.StartedAt.Time().Sub(c.start)
	}
	return n
}

// confirmList applies a list from discovery to the table. The router already has the list.
func (c *cachedEndpointList) confirmList(list *discovery.List) {
	if c == nil {
		return
	}
	now := c.loop.since()
	ended, total := c.evaluator.ApplyList(tableList(list, list.Service), discovery.IDOfName, now)
	if list.Full && endedWarningFactor*ended > total {
		slog.Warn("full endpoint list lacks most nodes", "component", "cached-list", "ended", ended, "of", total,
			"listed", len(list.Nodes), "service", list.Service, "generation", list.Version)
	}
	if n := c.table.Evict(c.maxEntries, c.keepEnded, cachedlist.TimestampOf(c.start.Add(now))); n > 0 {
		slog.Info("entries dropped from the cached endpoint list", "component", "cached-list", "entries", n)
	}
	c.nextStore = now
}

// pollFailed records that discovery could not be polled.
func (c *cachedEndpointList) pollFailed() {
	if c != nil {
		c.evaluator.DiscoveryFailed()
	}
}

// attemptEnded records the outcome of an attempt at a node.
func (c *cachedEndpointList) attemptEnded(node decision.NodeID, outcome decision.Outcome, took time.Duration) {
	if c != nil {
		c.evaluator.RecordOutcome(node, outcome, took, c.loop.since())
	}
}

// confirmByGossip records an endpoint's state that another broker received from discovery.
func (c *cachedEndpointList) confirmByGossip(n *discovery.Node) {
	if c == nil {
		return
	}
	states := [...]cachedlist.State{
		decision.Draining: cachedlist.Draining,
		decision.Removed:  cachedlist.Ended,
		decision.Ready:    cachedlist.Ready,
	}
	c.evaluator.ApplyGossip(n.Name, n.Endpoint.Node, states[n.Endpoint.State], cachedlist.Timestamp(n.StartedAtMS), c.loop.since())
}

// handleOperatorRequest imports and forgets entries as an operator requested while the broker runs.
func (c *cachedEndpointList) handleOperatorRequest(r nodelist.OperatorRequest) {
	imported := c.evaluator.Import(r.Import, discovery.IDOfName, c.loop.since())
	forgotten := c.evaluator.Forget(r.Forget, discovery.IDOfName)
	c.nextStore = c.loop.since()
	slog.Info("cached endpoint list changed by an operator", "component", "cached-list", "imported", imported, "forgotten", forgotten)
}

// tableList converts an endpoint list to the form that the entry table takes.
func tableList(list *discovery.List, service string) cachedlist.List {
	l := cachedlist.List{Service: service, Generation: list.Version, Full: list.Full}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		e := cachedlist.Entry{Name: n.Name, Address: n.Address, Zone: n.Zone, Cell: n.Endpoint.Cell, StartedAt: cachedlist.Timestamp(n.StartedAtMS)}
		switch n.Endpoint.State {
		case decision.Draining:
			e.State = cachedlist.Draining
		case decision.Removed:
			e.State = cachedlist.Ended
		}
		l.Entries = append(l.Entries, e)
	}
	return l
}

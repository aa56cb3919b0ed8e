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
	endedWarningFactor = 2 // a full list that ends more than one in so many nodes is warned of
)

// cachedEndpointList is the extension that keeps the endpoint list on disk, and judges its entries while discovery can't be polled.
// What an entry is worth is cachedlist.Evaluator's decision; writing is done outside the loop, by store.
type cachedEndpointList struct {
	loop       endpointHost
	table      *cachedlist.EntryTable
	evaluator  *cachedlist.Evaluator
	store      func(cachedlist.Changes) // must not wait
	zone       func(name string) int
	maxEntries int
	keepEnded  time.Duration // how long an ended node is remembered
	nextStore  time.Duration // when the book is looked at again for what is to be stored
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

// tick asks the judge what follows from what nodes have shown.
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
		if changes, changed := c.table.CollectChanges(); changed {
			c.store(changes)
		}
	}
	return next
}

func (c *cachedEndpointList) report(counters *QueryCounters) {
	state := c.evaluator.Snapshot(c.loop.since())
	counters.CachedList = &state
}

// initialList is the list to start with.
func (c *cachedEndpointList) initialList() *discovery.List {
	list := &discovery.List{Full: true}
	for _, update := range c.evaluator.Start(discovery.IDOfName) {
		list.Nodes = append(list.Nodes, c.node(update))
	}
	return list
}

// node is a fact as an endpoint. One that is not to be used is draining: it gets nothing new.
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

// confirmList enters what discovery told into the book; the router has it already.
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

// pollFailed notes that discovery could not be polled.
func (c *cachedEndpointList) pollFailed() {
	if c != nil {
		c.evaluator.DiscoveryFailed()
	}
}

// attemptEnded notes what a node has shown by an attempt.
func (c *cachedEndpointList) attemptEnded(node decision.NodeID, outcome decision.Outcome, took time.Duration) {
	if c != nil {
		c.evaluator.RecordOutcome(node, outcome, took, c.loop.since())
	}
}

// confirmByGossip notes an endpoint's state that discovery told another broker.
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

// handleOperatorRequest does what an operator asked of a running broker.
func (c *cachedEndpointList) handleOperatorRequest(r nodelist.OperatorRequest) {
	imported := c.evaluator.Import(r.Import, discovery.IDOfName, c.loop.since())
	forgotten := c.evaluator.Forget(r.Forget, discovery.IDOfName)
	c.nextStore = c.loop.since()
	slog.Info("cached endpoint list changed by an operator", "component", "cached-list", "imported", imported, "forgotten", forgotten)
}

// tableList is a list as the book takes it.
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

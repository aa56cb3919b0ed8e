package server

// This file owns what a saved node list adds to a broker: the list that it starts with, and the judge beside the loop that
// weighs its entries while discovery can't be asked. It must never decide what an entry is worth, or write in the loop.

import (
	"log/slog"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/decision/polling"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
)

// cachedEndpointList is the loop's part of it.
type cachedEndpointList struct {
	book       *cachedlist.EntryTable
	judge      *cachedlist.Evaluator
	store      func(cachedlist.Changes)
	zone       func(name string) int
	maxEntries int
	keepEnded  time.Duration // how long an ended node is remembered
	nextStore  time.Duration // when the book is looked at again for what is to be kept
	start      time.Time
}

const (
	storeInterval      = time.Second
	endedWarningFactor = 2 // a whole list that ends more than one in so many nodes is warned of
)

// openCachedList reads the list on disk and makes of it, and of the one in the configuration, the list to start with.
func (s *Server) openCachedList() {
	o, t := s.operator.Start, &s.start.Terms
	began := time.Now()
	store, content := nodelist.Open(nodelist.Options{Directory: o.NodeList.Directory, Deployment: t.Fingerprint(),
		WriteInterval: o.NodeList.SaveEvery})
	s.listStore = store
	book := cachedlist.NewEntryTable(content.Head, content.Unsorted())
	now := cachedlist.TimestampOf(s.loop.start)
	if s.listGiven {
		book.MergeConfigured(bookList(s.initialList, s.discoveryAddress.String()), now)
	}
	book.Evict(o.NodeList.MaxEntries, o.NodeList.KeepEnded, now)
	judge := cachedlist.NewEvaluator(cachedlist.Policy{HalfLife: o.Trust.HalfLife, MaxAge: o.Trust.Oldest, EjectionThreshold: o.Trust.StrikeAt,
		TrialInterval: o.Trust.Parole}, book, now)
	list := &discovery.List{Full: true}
	s.loop.cachedList = &cachedEndpointList{book: book, judge: judge, store: store.Enqueue, zone: s.reader.ZoneNumber, maxEntries: o.NodeList.MaxEntries,
		keepEnded: o.NodeList.KeepEnded, start: s.loop.start}
	for _, f := range judge.Start(discovery.IDOfName) {
		list.Nodes = append(list.Nodes, s.loop.cachedList.node(f))
	}
	s.initialList = list
	pace := polling.NewBackoff(polling.BackoffSettings{ConnectInterval: o.Discovery.KnockEvery, PollCost: o.Discovery.PerCall,
		MaxPollDelay: o.Discovery.MostDelay, BrokerCount: t.Module.BrokerCount}, t.Module.Seed)
	resume := o.Discovery.Resume && content.Found && content.Head.Service == s.discoveryAddress.String()
	s.discoveryClient.UseBackoff(pace, content.Head.Generation, resume)
	c := judge.Snapshot(0)
	slog.Info("saved node list", "dir", o.NodeList.Directory, "found", content.Found, "entries", book.Len(),
		"used", c.Unconfirmed, "barred", c.Excluded, "age", c.ListAge.Round(time.Second), "service", content.Head.Service,
		"generation", content.Head.Generation, "read_in", time.Since(began).Round(time.Millisecond))
}

// bookList is a list as the book takes it.
func bookList(list *discovery.List, service string) cachedlist.List {
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

// node is a fact as a line of the list. One that is not to be used is told as draining: it gets nothing new.
func (s *cachedEndpointList) node(f cachedlist.EndpointUpdate) discovery.Node {
	e := &f.Entry
	n := discovery.Node{Name: e.Name, Address: e.Address, Zone: e.Zone, StartedAtMS: int64(e.StartedAt),
		Endpoint: decision.Endpoint{Node: f.ID, Cell: e.Cell, Zone: s.zone(e.Zone), State: decision.Ready, StartedAt: decision.StartedLongAgo,
			Unconfirmed: f.SlowStart}}
	if !f.Usable {
		n.Endpoint.State = decision.Draining
	}
	if e.StartedAt > 0 {
		n.Endpoint.StartedAt = e.StartedAt.Time().Sub(s.start)
	}
	return n
}

// confirmList takes discovery's word into the book; the module has it already.
func (l *loop) confirmList(list *discovery.List) {
	s, now := l.cachedList, l.since()
	ended, of := s.judge.ApplyList(bookList(list, list.Service), discovery.IDOfName, now)
	if list.Full && endedWarningFactor*ended > of {
		slog.Warn("discovery's whole list lacks most nodes; it is taken as it is", "ended", ended, "of", of,
			"listed", len(list.Nodes), "service", list.Service, "generation", list.Version)
	}
	if n := s.book.Evict(s.maxEntries, s.keepEnded, cachedlist.TimestampOf(s.start.Add(now))); n > 0 {
		slog.Info("entries dropped from the saved node list", "entries", n)
	}
	s.nextStore = now
}

// judgeCachedList asks the judge what follows from what nodes have shown, and tells the module. It returns when to come again.
func (l *loop) judgeCachedList(now time.Duration) time.Duration {
	s := l.cachedList
	facts, next := s.judge.Tick(now)
	if len(facts) > 0 {
		list := &discovery.List{}
		for _, f := range facts {
			list.Nodes = append(list.Nodes, s.node(f))
		}
		l.applyList(list)
	}
	for _, line := range s.judge.CollectLogLines() {
		slog.Info("saved node list", "verdict", line, "at", now.Round(time.Millisecond))
	}
	if now >= s.nextStore {
		s.nextStore = now + storeInterval
		if c, any := s.book.CollectChanges(); any {
			s.store(c)
		}
	}
	return next
}

// handleOperatorRequest carries out what an operator asked of a broker that runs.
func (l *loop) handleOperatorRequest(a nodelist.OperatorRequest) {
	s := l.cachedList
	took, dropped := s.judge.Import(a.Import, discovery.IDOfName, l.since()), s.judge.Forget(a.Forget, discovery.IDOfName)
	s.nextStore = l.since()
	slog.Info("saved node list", "asked", "by an operator", "imported", took, "forgotten", dropped)
}

package server

// This file owns what a saved node list adds to a broker: the list that it starts with, and the judge beside the loop that
// weighs its entries while discovery can't be asked. It must never decide what an entry is worth, or write in the loop.

import (
	"log/slog"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
)

// cachedEndpointList is the loop's part of it.
type cachedEndpointList struct {
	book       *cachedlist.Book
	judge      *cachedlist.Judge
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
	book := cachedlist.NewBook(content.Head, content.Unsorted())
	now := cachedlist.At(s.loop.start)
	if s.listGiven {
		book.Merge(bookList(s.initialList, s.discoveryAddress.String()), now)
	}
	book.Bound(o.NodeList.MaxEntries, o.NodeList.KeepEnded, now)
	judge := cachedlist.NewJudge(cachedlist.Policy{HalfLife: o.Trust.HalfLife, Oldest: o.Trust.Oldest, StrikeAt: o.Trust.StrikeAt,
		Parole: o.Trust.Parole}, book, now)
	list := &discovery.List{Whole: true}
	s.loop.cachedList = &cachedEndpointList{book: book, judge: judge, store: store.Enqueue, zone: s.reader.Zone, maxEntries: o.NodeList.MaxEntries,
		keepEnded: o.NodeList.KeepEnded, start: s.loop.start}
	for _, f := range judge.Begin(discovery.ID) {
		list.Nodes = append(list.Nodes, s.loop.cachedList.node(f))
	}
	s.initialList = list
	pace := cachedlist.NewPacer(cachedlist.Pace{KnockEvery: o.Discovery.KnockEvery, PerCall: o.Discovery.PerCall,
		MostDelay: o.Discovery.MostDelay, Brokers: t.Module.BrokerCount}, t.Module.Seed)
	resume := o.Discovery.Resume && content.Found && content.Head.Service == s.discoveryAddress.String()
	s.discoveryClient.Pace(pace, content.Head.Generation, resume)
	c := judge.Picture(0)
	slog.Info("saved node list", "dir", o.NodeList.Directory, "found", content.Found, "entries", book.Len(),
		"used", c.Doubtful, "barred", c.Barred, "age", c.ListAge.Round(time.Second), "service", content.Head.Service,
		"generation", content.Head.Generation, "read_in", time.Since(began).Round(time.Millisecond))
}

// bookList is a list as the book takes it.
func bookList(list *discovery.List, service string) cachedlist.List {
	l := cachedlist.List{Service: service, Generation: list.Version, Whole: list.Whole}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		e := cachedlist.Entry{Name: n.Name, Addr: n.Addr, Zone: n.Zone, Cell: n.Entry.Cell, Started: cachedlist.Moment(n.Started)}
		switch n.Entry.State {
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
func (s *cachedEndpointList) node(f cachedlist.Fact) discovery.Node {
	e := &f.Entry
	n := discovery.Node{Name: e.Name, Addr: e.Addr, Zone: e.Zone, Started: int64(e.Started),
		Entry: decision.Endpoint{Node: f.ID, Cell: e.Cell, Zone: s.zone(e.Zone), State: decision.Ready, StartedAt: decision.StartedLongAgo,
			Unconfirmed: f.Eased}}
	if !f.Use {
		n.Entry.State = decision.Draining
	}
	if e.Started > 0 {
		n.Entry.StartedAt = e.Started.Time().Sub(s.start)
	}
	return n
}

// confirmList takes discovery's word into the book; the module has it already.
func (l *loop) confirmList(list *discovery.List) {
	s, now := l.cachedList, l.since()
	ended, of := s.judge.Listed(bookList(list, list.Service), discovery.ID, now)
	if list.Whole && endedWarningFactor*ended > of {
		slog.Warn("discovery's whole list lacks most nodes; it is taken as it is", "ended", ended, "of", of,
			"listed", len(list.Nodes), "service", list.Service, "generation", list.Version)
	}
	if n := s.book.Bound(s.maxEntries, s.keepEnded, cachedlist.At(s.start.Add(now))); n > 0 {
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
	for _, line := range s.judge.Lines() {
		slog.Info("saved node list", "verdict", line, "at", now.Round(time.Millisecond))
	}
	if now >= s.nextStore {
		s.nextStore = now + storeInterval
		if c, any := s.book.Changes(); any {
			s.store(c)
		}
	}
	return next
}

// handleOperatorRequest carries out what an operator asked of a broker that runs.
func (l *loop) handleOperatorRequest(a nodelist.OperatorRequest) {
	s := l.cachedList
	took, dropped := s.judge.Import(a.Import, discovery.ID, l.since()), s.judge.Forget(a.Forget, discovery.ID)
	s.nextStore = l.since()
	slog.Info("saved node list", "asked", "by an operator", "imported", took, "forgotten", dropped)
}

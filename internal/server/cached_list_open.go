package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/discovery/nodelist"
)

// openCachedList reads the list on disk and makes of it, and of the one in the configuration, the list to start with.
func (s *Server) openCachedList() {
	o, t := s.operator.Start, &s.start.Terms
	began := time.Now()
	store, content := nodelist.Open(nodelist.Options{
		Directory:     o.NodeList.Directory,
		Deployment:    t.Fingerprint(),
		WriteInterval: o.NodeList.SaveEvery,
	})
	s.listStore = store
	book := cachedlist.NewBook(content.Head, content.Unsorted())
	now := cachedlist.At(s.loop.start)
	if s.listGiven {
		book.Merge(tableList(s.initialList, s.discoveryAddress.String()), now)
	}
	book.Bound(o.NodeList.MaxEntries, o.NodeList.KeepEnded, now)
	list := newCachedList(&o, book, s.loop.start)
	list.store = store.Enqueue
	list.zone = s.reader.Zone
	s.loop.useCachedList(list)
	s.initialList = list.initialList()
	pace := cachedlist.NewPacer(cachedlist.Pace{
		KnockEvery: o.Discovery.KnockEvery,
		PerCall:    o.Discovery.PerCall,
		MostDelay:  o.Discovery.MostDelay,
		Brokers:    t.Module.BrokerCount,
	}, t.Module.Seed)
	resume := o.Discovery.Resume && content.Found && content.Head.Service == s.discoveryAddress.String()
	s.discoveryClient.Pace(pace, content.Head.Generation, resume)
	state := list.judge.Picture(0)
	slog.Info("cached endpoint list opened", "component", "cached-list", "directory", o.NodeList.Directory, "found", content.Found,
		"entries", book.Len(), "unconfirmed", state.Doubtful, "barred", state.Barred, "age", state.ListAge.Round(time.Second),
		"service", content.Head.Service, "generation", content.Head.Generation, "read_in", time.Since(began).Round(time.Millisecond))
}

// newCachedList makes the extension of a book; store and zone are the caller's.
func newCachedList(o *operator.Start, book *cachedlist.Book, start time.Time) *cachedEndpointList {
	policy := cachedlist.Policy{
		HalfLife: o.Trust.HalfLife,
		Oldest:   o.Trust.Oldest,
		StrikeAt: o.Trust.StrikeAt,
		Parole:   o.Trust.Parole,
	}
	return &cachedEndpointList{
		table:      book,
		judge:      cachedlist.NewJudge(policy, book, cachedlist.At(start)),
		maxEntries: o.NodeList.MaxEntries,
		keepEnded:  o.NodeList.KeepEnded,
		start:      start,
	}
}

package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/decision/polling"
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
	book := cachedlist.NewEntryTable(content.Head, content.Unsorted())
	now := cachedlist.TimestampOf(s.loop.start)
	if s.listGiven {
		book.MergeConfigured(tableList(s.initialList, s.discoveryAddress.String()), now)
	}
	book.Evict(o.NodeList.MaxEntries, o.NodeList.KeepEnded, now)
	list := newCachedList(&o, book, s.loop.start)
	list.store = store.Enqueue
	list.zone = s.reader.ZoneNumber
	s.loop.useCachedList(list)
	s.initialList = list.initialList()
	pace := polling.NewBackoff(polling.BackoffSettings{
		ConnectInterval: o.Discovery.KnockEvery,
		PollCost:        o.Discovery.PerCall,
		MaxPollDelay:    o.Discovery.MostDelay,
		BrokerCount:     t.Module.BrokerCount,
	}, t.Module.Seed)
	resume := o.Discovery.Resume && content.Found && content.Head.Service == s.discoveryAddress.String()
	s.discoveryClient.UseBackoff(pace, content.Head.Generation, resume)
	state := list.judge.Snapshot(0)
	slog.Info("cached endpoint list opened", "component", "cached-list", "directory", o.NodeList.Directory, "found", content.Found,
		"entries", book.Len(), "unconfirmed", state.Unconfirmed, "excluded", state.Excluded, "age", state.ListAge.Round(time.Second),
		"service", content.Head.Service, "generation", content.Head.Generation, "read_in", time.Since(began).Round(time.Millisecond))
}

// newCachedList makes the extension of a book; store and zone are the caller's.
func newCachedList(o *operator.Start, book *cachedlist.EntryTable, start time.Time) *cachedEndpointList {
	policy := cachedlist.Policy{
		HalfLife:          o.Trust.HalfLife,
		MaxAge:            o.Trust.Oldest,
		EjectionThreshold: o.Trust.StrikeAt,
		TrialInterval:     o.Trust.Parole,
	}
	return &cachedEndpointList{
		table:      book,
		judge:      cachedlist.NewEvaluator(policy, book, cachedlist.TimestampOf(start)),
		maxEntries: o.NodeList.MaxEntries,
		keepEnded:  o.NodeList.KeepEnded,
		start:      start,
	}
}

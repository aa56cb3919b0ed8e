package server

import (
	"log/slog"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/decision/polling"
	"flaxfront/internal/discovery/nodelist"
)

// openCachedList reads the list on disk and merges it with the one in the configuration into the list to start with.
func (s *Server) openCachedList() {
	o, t := s.operator.Start, &s.start.Terms
	began := time.Now()
	store, content := nodelist.Open(nodelist.Options{
		Directory:     o.NodeList.Directory,
		Deployment:    t.Fingerprint(),
		WriteInterval: o.NodeList.SaveEvery,
	})
	s.listStore = store
	table := cachedlist.NewEntryTable(content.Head, content.Unsorted())
	now := cachedlist.TimestampOf(s.loop.start)
	if s.listConfigured {
		table.MergeConfigured(tableList(s.initialList, s.discoveryAddress.String()), now)
	}
	table.Evict(o.NodeList.MaxEntries, o.NodeList.KeepEnded, now)
	cached := newCachedList(&o, table, s.loop.start)
	cached.store = store.Enqueue
	cached.zone = s.reader.ZoneNumber
	s.loop.useCachedList(cached)
	s.initialList = cached.initialList()
	backoff := polling.NewBackoff(polling.BackoffSettings{
		ConnectInterval: o.Discovery.ConnectEvery,
		PollCost:        o.Discovery.DelayPerBroker,
		MaxPollDelay:    o.Discovery.MaxDelay,
		BrokerCount:     t.Module.BrokerCount,
	}, t.Module.Seed)
	resume := o.Discovery.Resume && content.Found && content.Head.Service == s.discoveryAddress.String()
	s.discoveryClient.UseBackoff(backoff, content.Head.Generation, resume)
	state := cached.evaluator.Snapshot(0)
	slog.Info("cached endpoint list opened", "component", "cached-list", "directory", o.NodeList.Directory, "found", content.Found,
		"entries", table.Len(), "unconfirmed", state.Unconfirmed, "excluded", state.Excluded, "age", state.ListAge.Round(time.Second),
		"service", content.Head.Service, "generation", content.Head.Generation, "read_in", time.Since(began).Round(time.Millisecond))
}

// newCachedList returns the extension for an entry table. The caller sets store and zone.
func newCachedList(o *operator.Start, entryTable *cachedlist.EntryTable, start time.Time) *cachedEndpointList {
	policy := cachedlist.Policy{
		HalfLife:          o.Trust.HalfLife,
		MaxAge:            o.Trust.MaxEntryAge,
		EjectionThreshold: o.Trust.ExclusionThreshold,
		TrialInterval:     o.Trust.TrialDelay,
	}
	return &cachedEndpointList{
		table:      entryTable,
		evaluator:  cachedlist.NewEvaluator(policy, entryTable, cachedlist.TimestampOf(start)),
		maxEntries: o.NodeList.MaxEntries,
		keepEnded:  o.NodeList.KeepEnded,
		start:      start,
	}
}

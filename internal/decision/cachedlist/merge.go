package cachedlist

// ApplyList applies a list of discovery's, which binds: whatever was known before of the endpoints named gives way, and a full list ends
// the endpoints that it does not name. What an update leaves out is confirmed by that. It returns how many entries in service the list
// ended, and how many there were, so that a list that lacks most endpoints can be warned of.
func (t *EntryTable) ApplyList(list List, now Timestamp) (ended, inService int) {
	named := map[string]bool{}
	for _, e := range list.Entries {
		named[e.Name] = true
		t.applyListed(e, list.Generation, now)
	}
	for name, e := range t.entries {
		if e.State == Ended {
			continue
		}
		inService++
		switch {
		case named[name]:
		case list.Full:
			ended++
			t.markEnded(e, Entry{ConfirmedAt: now, ConfirmedBy: SourceDiscovery, StateSince: now, Generation: list.Generation})
		default: // not marked as changed: on disk the head says so for all of them
			e.ConfirmedAt = now
			e.ConfirmedBy = SourceDiscovery
		}
	}
	t.confirmHead(list, now)
	return ended, inService
}

func (t *EntryTable) applyListed(e Entry, generation uint64, now Timestamp) {
	e.ConfirmedAt = now
	e.ConfirmedBy = SourceDiscovery
	e.StateSince = now
	e.Generation = generation
	if e.State == Ended {
		old := t.entries[e.Name]
		if old == nil {
			return // nothing needs to be remembered of the end of an endpoint that was never known
		}
		if !e.Address.IsValid() {
			e.Address = old.Address
		}
	}
	t.put(e)
}

// markEnded marks an entry as ended; by says when, by whom and by which list.
func (t *EntryTable) markEnded(e *Entry, by Entry) {
	ended := *e
	ended.State = Ended
	ended.ConfirmedAt = by.ConfirmedAt
	ended.ConfirmedBy = by.ConfirmedBy
	ended.StateSince = by.StateSince
	ended.Generation = by.Generation
	t.put(ended)
}

func (t *EntryTable) confirmHead(list List, now Timestamp) {
	sameList := t.Head.Generation == list.Generation && t.Head.Service == list.Service
	if !sameList || now.Since(t.Head.ConfirmedAt) >= confirmationInterval {
		t.headChanged = true
	}
	t.Head.Service = list.Service
	t.Head.Generation = list.Generation
	t.Head.ConfirmedAt = now
}

// MergeConfigured merges the list of the broker's configuration, which says no times: entry by entry the later one counts. Where both
// lists count their generations from the same service, that is the higher generation. Else it is the later start of the endpoint; with
// the same start a drain or an end stays, as no endpoint comes back from one but by a new start.
func (t *EntryTable) MergeConfigured(configured List, now Timestamp) {
	comparable := configured.Service != "" && configured.Service == t.Head.Service
	named := map[string]bool{}
	for _, e := range configured.Entries {
		named[e.Name] = true
		old := t.entries[e.Name]
		if !t.isLater(e, old, configured.Generation, comparable) {
			continue
		}
		e.ConfirmedBy = SourceConfiguration
		e.StateSince = now
		e.Generation = configured.Generation
		e.ConfirmedAt = 0
		if old != nil && e.Address == old.Address && e.Cell == old.Cell {
			e.ConfirmedAt = old.ConfirmedAt
		}
		t.put(e)
	}
	if configured.Full && comparable && configured.Generation > t.Head.Generation {
		t.endUnnamed(named, configured.Generation, now)
	}
}

// isLater reports whether an entry of the configuration counts against the cached one (nil: there is none).
func (t *EntryTable) isLater(e Entry, old *Entry, generation uint64, comparable bool) bool {
	switch {
	case old == nil && e.State == Ended:
		return false
	case old == nil: // a cached list that is later and full would name the endpoint
		return !comparable || generation >= t.Head.Generation
	case comparable:
		return generation > max(old.Generation, t.Head.Generation)
	default:
		return e.StartedAt > old.StartedAt || e.StartedAt == old.StartedAt && e.State > old.State
	}
}

// endUnnamed ends the entries that a later full list of the configuration leaves out.
func (t *EntryTable) endUnnamed(named map[string]bool, generation uint64, now Timestamp) {
	for name, e := range t.entries {
		if !named[name] && e.State != Ended {
			by := Entry{ConfirmedAt: e.ConfirmedAt, ConfirmedBy: SourceConfiguration, StateSince: now, Generation: generation}
			t.markEnded(e, by)
		}
	}
}

package cachedlist

// ApplyList applies a list from discovery, which is authoritative: it replaces what was known of the endpoints that it names, and a full
// list ends the endpoints that it does not name. An update confirms the entries that it leaves out. ApplyList returns how many entries
// the list ended and how many had not ended before, so that the caller can warn of a list that lacks most endpoints.
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
		default: // not marked as changed, as the confirmation time of the head covers these entries on disk
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
			return // the end of an endpoint that was never known need not be stored
		}
		if !e.Address.IsValid() {
			e.Address = old.Address
		}
	}
	t.put(e)
}

// markEnded marks an entry as ended. by says when, by whom and by which list.
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

// MergeConfigured merges the list in the broker's configuration, whose entries have no times. For each entry the later version prevails.
// If both lists number their generations by the same service, that is the one of the higher generation. Otherwise it is the one with the
// later start of the endpoint; with equal starts a drain or an end prevails, as an endpoint leaves these states only by a new start.
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

// isLater reports whether an entry of the configuration prevails over the cached one; old is nil if there is none.
func (t *EntryTable) isLater(e Entry, old *Entry, generation uint64, comparable bool) bool {
	switch {
	case old == nil && e.State == Ended:
		return false
	case old == nil: // a later cached list would name the endpoint if it still existed
		return !comparable || generation >= t.Head.Generation
	case comparable:
		return generation > max(old.Generation, t.Head.Generation)
	default:
		return e.StartedAt > old.StartedAt || e.StartedAt == old.StartedAt && e.State > old.State
	}
}

// endUnnamed ends the entries that a later full list in the configuration leaves out.
func (t *EntryTable) endUnnamed(named map[string]bool, generation uint64, now Timestamp) {
	for name, e := range t.entries {
		if !named[name] && e.State != Ended {
			by := Entry{ConfirmedAt: e.ConfirmedAt, ConfirmedBy: SourceConfiguration, StateSince: now, Generation: generation}
			t.markEnded(e, by)
		}
	}
}

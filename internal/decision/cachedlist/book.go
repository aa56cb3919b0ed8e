// Package cachedlist decides what a node list is worth while discovery can't confirm it: which of its entries are used, which
// of them are eased in, which are struck out on what evidence, and when discovery is asked again. The book owns what was
// said of each node, when and by whom; the judge owns what follows from that and from what the nodes have shown; the pacer
// owns the asking. Nothing here does I/O, reads a clock or starts a goroutine: times come in, facts go out.
//
// Depends on decision. Concurrency: nothing here locks or starts a goroutine; a value is used by one
// goroutine at a time.
package cachedlist

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// EntryTable holds the entries.
type EntryTable struct {
	Head    Head
	entries map[string]*Entry
	changed map[string]bool // since Changes was last called
	headed  bool
}

// NewEntryTable makes a book of entries as they were kept.
func NewEntryTable(head Head, entries []Entry) *EntryTable {
	b := &EntryTable{Head: head, entries: make(map[string]*Entry, len(entries)), changed: map[string]bool{}}
	for i := range entries {
		b.entries[entries[i].Name] = &entries[i]
	}
	return b
}

// Len is how many entries there are, ended ones included.
func (b *EntryTable) Len() int { return len(b.entries) }

// Get finds an entry.
func (b *EntryTable) Get(name string) (Entry, bool) {
	if e := b.entries[name]; e != nil {
		return *e, true
	}
	return Entry{}, false
}

// SortedByName lists the entries by name.
func (b *EntryTable) SortedByName() []Entry {
	sorted := b.sorted()
	all := make([]Entry, len(sorted))
	for i, e := range sorted {
		all[i] = *e
	}
	return all
}

func (b *EntryTable) sorted() []*Entry {
	return slices.SortedFunc(maps.Values(b.entries), func(x, y *Entry) int { return strings.Compare(x.Name, y.Name) })
}

// List is a whole list or the lines that changed, as discovery tells them.
type List struct {
	Service    string
	Generation uint64
	Full       bool
	Entries    []Entry // Name, Addr, Zone, Cell, State and Started count
}

// put takes a word on one node; it tells whether the word is news.
func (b *EntryTable) put(e Entry) bool {
	old := b.entries[e.Name]
	news := old == nil || !old.same(&e)
	if !news {
		e.StateSince = old.StateSince
	}
	if old == nil || *old != e {
		b.entries[e.Name] = &e
		b.changed[e.Name] = true
	}
	return news
}

// ApplyList takes discovery's word. It binds: whatever was known before of the nodes named gives way, and a whole list ends
// the nodes that it does not name. What a watch leaves out is confirmed by that. It returns how many nodes in service a
// whole list ended, and how many there were, so that a list that lacks most nodes can be warned of.
func (b *EntryTable) ApplyList(l List, now Timestamp) (ended, of int) {
	named := map[string]bool{}
	for _, e := range l.Entries {
		named[e.Name] = true
		e.ConfirmedAt, e.ConfirmedBy, e.StateSince, e.Generation = now, SourceDiscovery, now, l.Generation
		if e.State == Ended {
			if old := b.entries[e.Name]; old == nil {
				continue // of a node that was never known nothing needs to be remembered
			} else if !e.Address.IsValid() {
				e.Address = old.Address
			}
		}
		b.put(e)
	}
	for name, e := range b.entries {
		if e.State == Ended {
			continue
		}
		if of++; !named[name] && l.Full {
			ended++
			end := *e
			end.State, end.ConfirmedAt, end.ConfirmedBy, end.StateSince, end.Generation = Ended, now, SourceDiscovery, now, l.Generation
			b.put(end)
		} else if !named[name] {
			e.ConfirmedAt, e.ConfirmedBy = now, SourceDiscovery // on disk the head says so for all of them
		}
	}
	b.headed = b.headed || b.Head.Generation != l.Generation || b.Head.Service != l.Service ||
		now.Since(b.Head.ConfirmedAt) >= headEvery
	b.Head.Service, b.Head.Generation, b.Head.ConfirmedAt = l.Service, l.Generation, now
	return ended, of
}

// headEvery is how stale the time of the last confirmation on disk may be, as it alone is worth no faster writing.
const headEvery = 10 * time.Second

// MergeConfigured takes the list of the broker's configuration, which tells no times: entry by entry the later word counts. Where
// both lists count their generations from the same service, that is the higher generation. Else it is the later start of
// the node; with the same start a drain or an end stays, as no node comes back from one but by a new start.
func (b *EntryTable) MergeConfigured(given List, now Timestamp) {
	comparable := given.Service != "" && given.Service == b.Head.Service
	named := map[string]bool{}
	for _, e := range given.Entries {
		named[e.Name] = true
		old := b.entries[e.Name]
		switch {
		case old == nil && e.State == Ended:
			continue
		case old == nil && comparable && given.Generation < b.Head.Generation:
			continue // the saved list is later and whole: it would name the node
		case old == nil:
		case comparable:
			if given.Generation <= max(old.Generation, b.Head.Generation) {
				continue
			}
		case e.StartedAt < old.StartedAt || e.StartedAt == old.StartedAt && e.State <= old.State:
			continue
		}
		e.ConfirmedBy, e.StateSince, e.Generation, e.ConfirmedAt = SourceConfiguration, now, given.Generation, 0
		if old != nil && e.Address == old.Address && e.Cell == old.Cell {
			e.ConfirmedAt = old.ConfirmedAt
		}
		b.put(e)
	}
	if given.Full && comparable && given.Generation > b.Head.Generation {
		for name, e := range b.entries {
			if !named[name] && e.State != Ended {
				end := *e
				end.State, end.ConfirmedBy, end.StateSince, end.Generation = Ended, SourceConfiguration, now, given.Generation
				b.put(end)
			}
		}
	}
}

// RecordAnswer notes that a node answered a part, which confirms its entry as well as discovery could.
func (b *EntryTable) RecordAnswer(name string, now Timestamp) {
	if e := b.entries[name]; e != nil && now.Since(e.ConfirmedAt) >= headEvery {
		e.ConfirmedAt, e.ConfirmedBy = now, SourceEndpoint
		b.changed[name] = true
	}
}

// Import takes entries from an operator, as far as they are later than what is known; it returns how many it took.
func (b *EntryTable) Import(entries []Entry) (n int) {
	for _, e := range entries {
		if old := b.entries[e.Name]; old == nil || e.StateSince > old.StateSince && !old.same(&e) {
			e.ConfirmedBy = SourceOperator
			b.put(e)
			n++
		}
	}
	return n
}

// Forget drops entries by name and returns how many there were.
func (b *EntryTable) Forget(names []string) (n int) {
	for _, name := range names {
		if b.entries[name] != nil {
			delete(b.entries, name)
			b.changed[name] = true
			n++
		}
	}
	return n
}

// Evict drops what is past its time or beyond the most entries: ended nodes first, those told longest ago first.
func (b *EntryTable) Evict(most int, keepEnded time.Duration, now Timestamp) (dropped int) {
	for name, e := range b.entries {
		if e.State == Ended && now.Since(e.StateSince) > keepEnded {
			delete(b.entries, name)
			b.changed[name] = true
			dropped++
		}
	}
	over := len(b.entries) - most
	if over <= 0 {
		return dropped
	}
	all := b.SortedByName()
	slices.SortStableFunc(all, func(x, y Entry) int {
		if c := cmp.Compare(y.State, x.State); c != 0 {
			return c
		}
		return cmp.Compare(x.ConfirmedAt, y.ConfirmedAt)
	})
	for i := range over {
		delete(b.entries, all[i].Name)
		b.changed[all[i].Name] = true
	}
	return dropped + over
}

// Changes are what a disk has to be told to hold what the book holds.
type Changes struct {
	Head    Head
	Put     []Entry
	Removed []string
}

// CollectChanges gives what changed since the last call; false: nothing that is worth a write.
func (b *EntryTable) CollectChanges() (c Changes, any bool) {
	if len(b.changed) == 0 && !b.headed {
		return c, false
	}
	c.Head, b.headed = b.Head, false
	for name := range b.changed {
		if e := b.entries[name]; e != nil {
			c.Put = append(c.Put, *e)
		} else {
			c.Removed = append(c.Removed, name)
		}
	}
	clear(b.changed)
	return c, true
}

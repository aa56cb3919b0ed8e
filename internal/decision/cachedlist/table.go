// Package cachedlist decides how to use an endpoint list while discovery can't confirm it: which entries are used, which of them in slow
// start, and which are ejected on what evidence. EntryTable holds the content of each entry and when and by whom it was confirmed.
// Evaluator derives from that, and from the outcomes of attempts, how likely each entry is to be wrong.
//
// Nothing here does I/O, reads a clock, locks or starts a goroutine: times are parameters, updates of endpoints are results. A table and
// its evaluator are used by one goroutine. Depends on decision.
package cachedlist

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// confirmationInterval is the minimum time between two writes to disk, of the head or of an entry that its endpoint confirms, if nothing but
// the confirmation time has changed.
const confirmationInterval = 10 * time.Second

// EntryTable holds the entries and records which of them have changed since changes were last collected.
type EntryTable struct {
	Head        Head
	entries     map[string]*Entry // by name
	changed     map[string]bool   // names of entries changed since the last CollectChanges
	headChanged bool              // whether Head has changed since then
}

// NewEntryTable returns a table of entries as they were stored. It retains the slice.
func NewEntryTable(head Head, entries []Entry) *EntryTable {
	t := &EntryTable{Head: head, entries: make(map[string]*Entry, len(entries)), changed: map[string]bool{}}
	for i := range entries {
		t.entries[entries[i].Name] = &entries[i]
	}
	return t
}

// Len returns the number of entries, including ended ones.
func (t *EntryTable) Len() int { return len(t.entries) }

// Get returns the entry of a name, if there is one.
func (t *EntryTable) Get(name string) (entry Entry, found bool) {
	if e := t.entries[name]; e != nil {
		return *e, true
	}
	return Entry{}, false
}

// SortedByName returns copies of the entries, ordered by name.
func (t *EntryTable) SortedByName() []Entry {
	sorted := t.sorted()
	entries := make([]Entry, len(sorted))
	for i, e := range sorted {
		entries[i] = *e
	}
	return entries
}

func (t *EntryTable) sorted() []*Entry {
	return slices.SortedFunc(maps.Values(t.entries), func(x, y *Entry) int { return strings.Compare(x.Name, y.Name) })
}

// put replaces an entry. If the content is unchanged, StateSince stays.
func (t *EntryTable) put(e Entry) {
	old := t.entries[e.Name]
	if old != nil && old.sameContent(&e) {
		e.StateSince = old.StateSince
	}
	if old == nil || *old != e {
		t.entries[e.Name] = &e
		t.changed[e.Name] = true
	}
}

// remove deletes an entry and marks it as changed.
func (t *EntryTable) remove(name string) {
	delete(t.entries, name)
	t.changed[name] = true
}

// RecordAnswer records that an endpoint answered a shard request, which confirms its entry as well as discovery could.
func (t *EntryTable) RecordAnswer(name string, now Timestamp) {
	e := t.entries[name]
	if e == nil || now.Since(e.ConfirmedAt) < confirmationInterval {
		return
	}
	e.ConfirmedAt = now
	e.ConfirmedBy = SourceEndpoint
	t.changed[name] = true
}

// Import accepts entries from an operator that are newer than the known ones and differ from them; it returns how many it accepted.
func (t *EntryTable) Import(entries []Entry) (imported int) {
	for _, e := range entries {
		old := t.entries[e.Name]
		if old != nil && (e.StateSince <= old.StateSince || old.sameContent(&e)) {
			continue
		}
		e.ConfirmedBy = SourceOperator
		t.put(e)
		imported++
	}
	return imported
}

// Forget drops entries by name and returns how many it dropped.
func (t *EntryTable) Forget(names []string) (forgotten int) {
	for _, name := range names {
		if t.entries[name] != nil {
			t.remove(name)
			forgotten++
		}
	}
	return forgotten
}

// Changes are the writes that bring the stored list up to date with the table.
type Changes struct {
	Head    Head
	Put     []Entry
	Removed []string // names
}

// CollectChanges returns what changed since the last call, in no particular order; changed is false if nothing needs to be written.
func (t *EntryTable) CollectChanges() (changes Changes, changed bool) {
	if len(t.changed) == 0 && !t.headChanged {
		return Changes{}, false
	}
	changes.Head = t.Head
	t.headChanged = false
	for name := range t.changed {
		if e := t.entries[name]; e != nil {
			changes.Put = append(changes.Put, *e)
		} else {
			changes.Removed = append(changes.Removed, name)
		}
	}
	clear(t.changed)
	return changes, true
}

// Package cachedlist decides what an endpoint list is worth while discovery can't confirm it: which of its entries are used, which of
// them in slow start, and which are ejected on what evidence. EntryTable holds what was said of each endpoint, when and by whom.
// Evaluator holds what follows from that and from what the endpoints have shown.
//
// Nothing here does I/O, reads a clock or starts a goroutine: times come in, updates of endpoints go out. Nothing is locked: a table and
// its evaluator are used by one goroutine. Depends on decision.
package cachedlist

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// confirmationInterval bounds how often an entry or the head is written to disk for its time of confirmation alone.
const confirmationInterval = 10 * time.Second

// EntryTable holds the entries and what of them has changed since it was last stored.
type EntryTable struct {
	Head        Head
	entries     map[string]*Entry // by name
	changed     map[string]bool   // names, since CollectChanges
	headChanged bool              // likewise
}

// NewEntryTable makes a table of entries as they were stored. It keeps the slice.
func NewEntryTable(head Head, entries []Entry) *EntryTable {
	t := &EntryTable{Head: head, entries: make(map[string]*Entry, len(entries)), changed: map[string]bool{}}
	for i := range entries {
		t.entries[entries[i].Name] = &entries[i]
	}
	return t
}

// Len is how many entries there are, ended ones included.
func (t *EntryTable) Len() int { return len(t.entries) }

// Get finds an entry by name.
func (t *EntryTable) Get(name string) (entry Entry, found bool) {
	if e := t.entries[name]; e != nil {
		return *e, true
	}
	return Entry{}, false
}

// SortedByName lists copies of the entries.
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

// put replaces an entry. One that says what was known keeps the time since which it is known.
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

// remove drops an entry.
func (t *EntryTable) remove(name string) {
	delete(t.entries, name)
	t.changed[name] = true
}

// RecordAnswer notes that an endpoint answered a shard request, which confirms its entry as well as discovery could.
func (t *EntryTable) RecordAnswer(name string, now Timestamp) {
	e := t.entries[name]
	if e == nil || now.Since(e.ConfirmedAt) < confirmationInterval {
		return
	}
	e.ConfirmedAt = now
	e.ConfirmedBy = SourceEndpoint
	t.changed[name] = true
}

// Import takes entries from an operator, as far as they are later than what is known; it returns how many it took.
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

// Forget drops entries by name and returns how many there were.
func (t *EntryTable) Forget(names []string) (forgotten int) {
	for _, name := range names {
		if t.entries[name] != nil {
			t.remove(name)
			forgotten++
		}
	}
	return forgotten
}

// Changes are what a disk has to be told to hold what the table holds.
type Changes struct {
	Head    Head
	Put     []Entry
	Removed []string // names
}

// CollectChanges returns what changed since the last call, in no order; false: nothing that is worth a write.
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

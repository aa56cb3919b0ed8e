package cachedlist

import (
	"cmp"
	"slices"
	"time"
)

// Evict drops ended entries that have been known as such for longer than keepEnded, and, beyond maxEntries, ended entries first, then
// draining ones, then ready ones, among them those confirmed longest ago. It returns how many it dropped.
func (t *EntryTable) Evict(maxEntries int, keepEnded time.Duration, now Timestamp) (evicted int) {
	for name, e := range t.entries {
		if e.State == Ended && now.Since(e.StateSince) > keepEnded {
			t.remove(name)
			evicted++
		}
	}
	excess := len(t.entries) - maxEntries
	if excess <= 0 {
		return evicted
	}
	entries := t.SortedByName()
	slices.SortStableFunc(entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.State, x.State), cmp.Compare(x.ConfirmedAt, y.ConfirmedAt))
	})
	for _, e := range entries[:excess] {
		t.remove(e.Name)
	}
	return evicted + excess
}

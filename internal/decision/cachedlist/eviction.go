package cachedlist

import (
	"cmp"
	"slices"
	"time"
)

// Evict drops entries that have been ended for longer than keepEnded. If more than maxEntries remain, it drops ended entries first, then
// draining ones, then ready ones, and among equals those confirmed longest ago. It returns how many entries it dropped.
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

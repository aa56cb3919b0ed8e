package connlease

import (
	"slices"
	"time"
)

// ExcessConnections is what must be closed now, in the order of keys: idle connections first, then those in use, which get nothing more;
// where hard is true all of them at once. Of the tenants at a node the one furthest above its units gives first.
func (h *Holder) ExcessConnections(now time.Duration) (rows []ConnectionCount, hard bool) {
	usable := h.LeaseUsable(now)
	for node, at := range h.atNode {
		if h.free {
			break
		}
		over := -h.floor(node)
		for _, tenant := range at {
			over += max(0, h.beyond(LeaseKey{node, tenant}, usable))
		}
		for ; over > 0; over-- {
			var worst ConnectionCount
			for _, tenant := range at {
				k := LeaseKey{node, tenant}
				if n := h.beyond(k, usable) - rowOf(rows, k); n > worst.Connections {
					worst = ConnectionCount{k, n}
				}
			}
			rows = addOne(rows, worst.LeaseKey)
		}
	}
	slices.SortFunc(rows, func(a, b ConnectionCount) int { return CompareKeys(a.LeaseKey, b.LeaseKey) })
	return rows, now >= h.until-h.closing
}

// beyond is how many connections of a tenant that were not closed are above its units.
func (h *Holder) beyond(k LeaseKey, usable bool) int {
	return h.open[k] - h.going[k] - h.units(k, usable)
}

func rowOf(rows []ConnectionCount, k LeaseKey) int {
	for _, r := range rows {
		if r.LeaseKey == k {
			return r.Connections
		}
	}
	return 0
}

func addOne(rows []ConnectionCount, k LeaseKey) []ConnectionCount {
	for i := range rows {
		if rows[i].LeaseKey == k {
			rows[i].Connections++
			return rows
		}
	}
	return append(rows, ConnectionCount{k, 1})
}

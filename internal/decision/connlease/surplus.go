package connlease

import (
	"slices"
	"time"
)

// Surplus is what must be closed now, in the order of keys: idle connections first, then those in use, which get nothing more;
// where hard is true all of them at once. Of the tenants at a node the one furthest above its units gives first.
func (h *Holder) Surplus(now time.Duration) (rows []Row, hard bool) {
	usable := h.Usable(now)
	for node, at := range h.atNode {
		if h.free {
			break
		}
		over := -h.floor(node)
		for _, tenant := range at {
			over += max(0, h.beyond(Key{node, tenant}, usable))
		}
		for ; over > 0; over-- {
			var worst Row
			for _, tenant := range at {
				k := Key{node, tenant}
				if n := h.beyond(k, usable) - rowOf(rows, k); n > worst.Units {
					worst = Row{k, n}
				}
			}
			rows = addOne(rows, worst.Key)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return Compare(a.Key, b.Key) })
	return rows, now >= h.until-h.closing
}

// beyond is how many connections of a tenant that were not closed are above its units.
func (h *Holder) beyond(k Key, usable bool) int { return h.open[k] - h.going[k] - h.units(k, usable) }

func rowOf(rows []Row, k Key) int {
	for _, r := range rows {
		if r.Key == k {
			return r.Units
		}
	}
	return 0
}

func addOne(rows []Row, k Key) []Row {
	for i := range rows {
		if rows[i].Key == k {
			rows[i].Units++
			return rows
		}
	}
	return append(rows, Row{k, 1})
}

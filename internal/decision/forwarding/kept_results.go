package forwarding

// This file bounds the results that are kept for queries that may not run twice, and forgets those that can't be requested any more.

import "time"

// keptResults counts the results that are kept.
type keptResults struct {
	limit int // of bytes; 0: none
	bytes int
	order []Key // oldest first; some may be gone
}

// LimitKeptBytes limits the bytes of the results that are kept; 0: no limit. It is called before the first query.
func (r *Receiver) LimitKeptBytes(limit int) { r.kept.limit = limit }

// KeepResult records how many bytes the result of an ended query takes, which is kept until ForgetExpired returns its key. It returns the keys
// of the results that are not kept any longer, so that the others stay within the limit: the oldest ones, or the new one if it alone is
// too large. Their queries stay remembered and count as failed if they arrive again, as they have run.
func (r *Receiver) KeepResult(k Key, bytes int) (dropped []Key) {
	entry := r.remembered[k]
	if entry == nil || entry.running {
		return nil
	}
	limit := r.kept.limit
	if limit > 0 && bytes > limit {
		return []Key{k}
	}
	for limit > 0 && r.kept.bytes+bytes > limit {
		oldest := r.kept.order[0]
		r.kept.order = r.kept.order[1:]
		if kept := r.remembered[oldest]; kept != nil && kept.keptBytes > 0 {
			r.kept.bytes -= kept.keptBytes
			kept.keptBytes = 0
			dropped = append(dropped, oldest)
		}
	}
	entry.keptBytes = bytes
	r.kept.bytes += bytes
	r.kept.order = append(r.kept.order, k)
	r.updateCounters()
	return dropped
}

// compactKeptResults forgets the order of results that are not kept any longer.
func (r *Receiver) compactKeptResults() {
	kept := r.kept.order[:0]
	for _, k := range r.kept.order {
		if entry := r.remembered[k]; entry != nil && entry.keptBytes > 0 {
			kept = append(kept, k)
		}
	}
	r.kept.order = kept
}

// ForgetExpired forgets ended queries that can't be requested any more, and returns their keys, whose results may be dropped.
func (r *Receiver) ForgetExpired(now time.Duration) []Key {
	var expired []Key
	remaining := map[Origin]bool{}
	for k, entry := range r.remembered {
		if !entry.running && entry.rememberedUntil <= now {
			delete(r.remembered, k)
			r.kept.bytes -= entry.keptBytes
			expired = append(expired, k)
		} else {
			remaining[k.Origin] = true
		}
	}
	for o := range r.newestLinks {
		if !remaining[o] && r.linkEndedAt[o] > 0 && now-r.linkEndedAt[o] > lateMessagePeriod {
			delete(r.newestLinks, o)
			delete(r.linkEndedAt, o)
		}
	}
	if len(expired) > 0 {
		r.compactKeptResults()
	}
	r.updateCounters()
	return expired
}

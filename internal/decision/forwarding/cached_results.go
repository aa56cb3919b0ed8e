package forwarding

// This file bounds the results that are kept for queries that may not run twice, and forgets those that can't be requested any more.

import "time"

// cachedResults counts the results that are kept.
type cachedResults struct {
	limit int // of bytes; 0: none
	bytes int
	order []Key // oldest first; some may be gone
}

// LimitCachedBytes limits the bytes of the results that are kept; 0: no limit. It is called before the first query.
func (r *Receiver) LimitCachedBytes(limit int) { r.cached.limit = limit }

// CacheResult records how many bytes the result of an ended query takes, which is kept until ForgetExpired returns its key. It returns the keys
// of the results that are not kept any longer, so that the others stay within the limit: the oldest ones, or the new one if it alone is
// too large. Their queries stay remembered and count as failed if they arrive again, as they have run.
func (r *Receiver) CacheResult(k Key, bytes int) (dropped []Key) {
	entry := r.remembered[k]
	if entry == nil || entry.running {
		return nil
	}
	limit := r.cached.limit
	if limit > 0 && bytes > limit {
		return []Key{k}
	}
	for limit > 0 && r.cached.bytes+bytes > limit {
		oldest := r.cached.order[0]
		r.cached.order = r.cached.order[1:]
		if kept := r.remembered[oldest]; kept != nil && kept.cachedBytes > 0 {
			r.cached.bytes -= kept.cachedBytes
			kept.cachedBytes = 0
			dropped = append(dropped, oldest)
		}
	}
	entry.cachedBytes = bytes
	r.cached.bytes += bytes
	r.cached.order = append(r.cached.order, k)
	r.updateCounters()
	return dropped
}

// compactCachedResults forgets the order of results that are not kept any longer.
func (r *Receiver) compactCachedResults() {
	kept := r.cached.order[:0]
	for _, k := range r.cached.order {
		if entry := r.remembered[k]; entry != nil && entry.cachedBytes > 0 {
			kept = append(kept, k)
		}
	}
	r.cached.order = kept
}

// ForgetExpired forgets ended queries that can't be requested any more, and returns their keys, whose results may be dropped.
func (r *Receiver) ForgetExpired(now time.Duration) []Key {
	var expired []Key
	remaining := map[Origin]bool{}
	for k, entry := range r.remembered {
		if !entry.running && entry.rememberedUntil <= now {
			delete(r.remembered, k)
			r.cached.bytes -= entry.cachedBytes
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
		r.compactCachedResults()
	}
	r.updateCounters()
	return expired
}

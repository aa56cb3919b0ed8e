package readpin

import (
	"time"

	"flaxfront/internal/decision"
)

// maxLagWait bounds how much longer than RecheckInterval a replica is excluded because of its lag.
const maxLagWait = 2 * time.Second

// Requirement is what a query requires of its reads.
type Requirement struct {
	Pin          uint64        // see HashPin; 0: the query is not pinned
	ReceivedAt   time.Duration // when the broker received the query
	MaxStaleness time.Duration // writes acknowledged at least this long before ReceivedAt must be visible; 0: no bound
	AllowStale   bool          // use any ready replica if none is fresh enough
}

// EligibleReplicas appends to dst the replicas that may answer a shard request, in the pin's order, and returns the promise that the answer
// has to keep. minOffset is the position that the client has already seen; 0: none. If no replica is eligible, retryAfter is the delay
// after which one may be.
//
// A replica is excluded while it is known to be behind: a recent observation showed that it lacked the position or exceeded the staleness
// bound. Any other replica may have caught up, and its answer will show whether it has. Requiring proof of freshness in advance would
// exclude most healthy replicas and crowd the one observed last. An eligible replica thus probably keeps the promise; Assess checks it.
//
// A session that moves to another replica must not go backwards. The first replica in a pin's order is assumed to have served everything
// up to its known position, also for a while after its removal; any replica that answers in its place must have reached that position.
func (t *Tracker) EligibleReplicas(now time.Duration, shard int, minOffset uint64, r *Requirement, dst []decision.NodeID) (
	replicas []decision.NodeID, promise Promise, retryAfter time.Duration) {
	promise = Promise{Offset: minOffset, AsOf: DistantPast, ReceivedAt: r.ReceivedAt}
	if shard < 0 || shard >= t.config.Shards {
		return dst, promise, 0
	}
	if r.MaxStaleness > 0 {
		promise.AsOf = r.ReceivedAt - time.Duration(float64(r.MaxStaleness)*(1-t.config.MaxDrift))
	}
	order := t.rank(r.Pin, shard)
	promise.Offset = max(promise.Offset, t.firstReplicaOffset(r.Pin, shard, order))

	before := len(dst)
	dst, retryAfter = t.appendFresh(now, shard, r, &promise, dst)
	if len(dst) > before {
		t.Counts.Chosen++
		t.recordTried(now, shard, r, &promise, dst[before:])
		return dst, promise, 0
	}
	if !r.AllowStale {
		t.Counts.Refused++
		return dst, promise, retryAfter
	}
	t.Counts.AcceptedStale++
	for i := range order {
		n := &t.nodes[order[i].index]
		if n.ready {
			dst = append(dst, n.id)
		}
	}
	return dst, promise, retryAfter
}

// firstReplicaOffset returns the known position of the first replica in a pin's order, or 0 if it is unknown or there is no pin.
func (t *Tracker) firstReplicaOffset(pin uint64, shard int, order []candidate) uint64 {
	if pin == 0 || len(order) == 0 {
		return 0
	}
	first := t.position(&t.nodes[order[0].index], shard)
	if !first.known {
		return 0
	}
	return first.offset
}

// appendFresh appends the ready replicas of t.order that are not known to be behind. It omits those at which the pin is at its limit,
// unless there is no other. retryAfter is the shortest delay after which a replica that is behind may be tried; 0: none is behind.
func (t *Tracker) appendFresh(now time.Duration, shard int, r *Requirement, promise *Promise, dst []decision.NodeID) (
	_ []decision.NodeID, retryAfter time.Duration) {
	before := len(dst)
	atLimit := 0
	retryAfter = distantFuture
	for i := range t.order {
		n := &t.nodes[t.order[i].index]
		if !n.ready {
			continue
		}
		if excludedFor := t.remainingExclusion(now, t.position(n, shard), promise, r); excludedFor > 0 {
			retryAfter = min(retryAfter, excludedFor)
			continue
		}
		if r.Pin != 0 && t.isAtLimit(now, r.Pin, n) {
			atLimit++
			continue
		}
		if atLimit > 0 && len(dst) == before {
			t.Counts.Spilled++
		}
		dst = append(dst, n.id)
	}
	if len(dst) == before && atLimit > 0 {
		dst = t.appendAtLimit(now, shard, r, promise, dst)
	}
	if retryAfter == distantFuture {
		retryAfter = 0
	}
	return dst, retryAfter
}

// appendAtLimit appends the ready replicas that are not known to be behind, even those at which the pin is at its limit.
func (t *Tracker) appendAtLimit(now time.Duration, shard int, r *Requirement, promise *Promise, dst []decision.NodeID) []decision.NodeID {
	for i := range t.order {
		n := &t.nodes[t.order[i].index]
		if n.ready && t.remainingExclusion(now, t.position(n, shard), promise, r) == 0 {
			dst = append(dst, n.id)
		}
	}
	return dst
}

// recordTried records which replicas are tried although they were behind when last observed. With a pin it considers only the first, as
// the others are for hedges and retries.
func (t *Tracker) recordTried(now time.Duration, shard int, r *Requirement, promise *Promise, replicas []decision.NodeID) {
	if r.Pin != 0 {
		replicas = replicas[:1]
	}
	for _, id := range replicas {
		p := t.position(&t.nodes[t.byID[id]], shard)
		if p.known && p.isBehind(promise, r) {
			p.triedAt = now
		}
	}
}

// remainingExclusion returns for how much longer a replica is excluded; 0: it is eligible.
func (t *Tracker) remainingExclusion(now time.Duration, p *position, promise *Promise, r *Requirement) time.Duration {
	if !p.known || !p.isBehind(promise, r) {
		return 0
	}
	wait := t.config.RecheckInterval
	if p.isTooOld(promise, r) && p.lag != UnknownAge {
		wait += min(max(0, p.lag-r.MaxStaleness)/4, maxLagWait)
	}
	return max(0, max(p.observedAfter, p.triedAt)+wait-now)
}

// isBehind reports whether a replica lacked the promised position or exceeded the staleness bound when it was last observed.
func (p *position) isBehind(promise *Promise, r *Requirement) bool {
	return p.offset < promise.Offset || p.isTooOld(promise, r)
}

// isTooOld reports whether a replica exceeded the staleness bound when it was last observed, or did not report its age.
func (p *position) isTooOld(promise *Promise, r *Requirement) bool {
	return p.asOf < promise.AsOf && (p.lag == UnknownAge || p.lag > r.MaxStaleness)
}

package routing

import (
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// What a replica costs beside its calls in flight.
const (
	newConnectionCost = 0.01 // a connection would have to be opened: decides between equal replicas only
	stickyOrderCost   = 1e6  // a place further back in the order of a sticky shard request: goes before all else
)

// While every replica is ejected, one that has this many calls in flight gets another attempt only after the interval.
const (
	allEjectedMaxCalls = 2
	allEjectedInterval = 500 * time.Millisecond
)

// Results of a selection beside a replica.
const (
	noReplica      nodeIndex = -1
	waitForReplica nodeIndex = -2 // one may be sent the attempt in a moment
)

// attemptKind says for what attempt a replica is selected.
type attemptKind uint8

const (
	firstAttempt           attemptKind = iota
	extraAttemptNewReplica             // to a replica that had no attempt of the shard request
	extraAttemptAnyReplica             // to any
)

// selectForFirstAttempt selects the replica of a first attempt: one in the shard's own cell that has a call open in this step, so that shard
// requests share calls, or else by selectReplica. While replicas are crowded the open call may be of any cell.
func (d *dispatcher) selectForFirstAttempt(q *query, sr *shardRequest) nodeIndex {
	candidates := d.endpoints.byCell[sr.shard%len(d.endpoints.byCell)]
	if d.isCrowded(sr) {
		candidates = d.endpoints.replicas(sr.shard)
	}
	for _, i := range candidates {
		e := &d.endpoints.all[i]
		open := e.openCall(d.router.now, d.router.settings.MaxBatch) != nil
		if open && e.mode == modeWarmedUp && sr.stickyRank(e.id, firstAttempt) == 0 {
			return i
		}
	}
	return d.selectReplica(q, sr, firstAttempt)
}

// selectReplica selects the replica with the fewest calls in flight, ties at random. The calls of a degraded replica count as several.
// First attempts also go to an ejected replica whose trial is due. Where every replica is ejected, the least busy still gets a little;
// where one that is unconfirmed or unchecked has all it may have for now, the shard request waits for it while there is time. What is
// sticky goes to the first of its replicas that can be sent work; its hedges and retries go to any of them.
func (d *dispatcher) selectReplica(q *query, sr *shardRequest, kind attemptKind) nodeIndex {
	best := candidate{index: noReplica}
	leastBusyEjected := noReplica
	shouldWait := false
	for _, i := range d.endpoints.replicas(sr.shard) {
		e := &d.endpoints.all[i]
		rank := sr.stickyRank(e.id, kind)
		if rank < 0 || !d.mayReceiveAttempt(e) || kind != extraAttemptAnyReplica && sr.wasSentTo(i) {
			continue
		}
		needsCheck := d.needsHealthCheck(e)
		if needsCheck && kind == firstAttempt && d.mayAwaitHealthCheck(q) || !d.confirmationAdmits(e) {
			shouldWait = true
			continue
		}
		trial := e.mode == modeTrial && kind == firstAttempt && q.queryType.Idempotency == decision.Idempotent
		if e.mode <= modeTrial && !trial {
			if d.mayUseEjected(e) && (leastBusyEjected < 0 || len(e.calls) < len(d.endpoints.all[leastBusyEjected].calls)) {
				leastBusyEjected = i
			}
			continue
		}
		best.consider(i, d.cost(sr, e, rank, needsCheck), &d.router.random)
	}
	switch {
	case best.index >= 0 || sr.inFlight > 0: // no hedge goes to an ejected replica
		return best.index
	case shouldWait && d.router.now+d.latency.p50 <= q.deadline:
		return waitForReplica
	default:
		return leastBusyEjected
	}
}

// candidate is the cheapest replica so far.
type candidate struct {
	index nodeIndex
	cost  float64
	ties  int // replicas of that cost
}

// offer takes a replica if it is cheaper, or by chance if it costs the same: each of equal replicas is as likely.
func (c *candidate) consider(index nodeIndex, cost float64, random *randomSource) {
	switch {
	case c.index < 0 || cost < c.cost:
		*c = candidate{index: index, cost: cost, ties: 1}
	case cost == c.cost:
		c.ties++
		if random.share()*float64(c.ties) < 1 {
			c.index = index
		}
	}
}

// cost is what an attempt to a replica costs, in calls in flight.
func (d *dispatcher) cost(sr *shardRequest, e *endpoint, rank int, needsCheck bool) float64 {
	r := d.router
	factor := max(e.costFactor, 1+(maxCostFactor-1)*e.health.lossRate)
	if needsCheck || d.zones[e.zone].avoided {
		factor = maxCostFactor
	}
	cost := factor * float64(len(e.calls)+1)
	if e.slowStart.share < 1 && cost == 1 {
		cost = 0 // a warming-up node takes what it is allowed at once: many small allowances left unused add up to none
	}
	// Where all are idle, a degraded replica gets the fewer attempts the more replicas there are beside it.
	if len(e.calls) == 0 && factor > 1 && r.random.share() < math.Pow(factor, float64(1-d.endpoints.warmedUpReplicas(sr.shard))) {
		cost = 1
	}
	if e.lastUsedAt == 0 || r.now-e.lastUsedAt >= r.settings.ConnIdleTimeout {
		cost += newConnectionCost
	}
	return cost + stickyOrderCost*float64(rank)
}

// mayReceiveAttempt reports whether a node is listed and, if it is warming up, its slow start allows an attempt.
func (d *dispatcher) mayReceiveAttempt(e *endpoint) bool {
	return e.mode != modeUnlisted && (e.slowStart.share >= 1 || d.slowStartAdmits(e))
}

// mayUseEjected reports whether an ejected node may get an attempt where all replicas are ejected.
func (d *dispatcher) mayUseEjected(e *endpoint) bool {
	idle := len(e.calls) < allEjectedMaxCalls || d.router.now-e.lastSentAt >= allEjectedInterval
	return idle && !e.unreachable
}

func (sr *shardRequest) wasSentTo(index nodeIndex) bool {
	return slices.ContainsFunc(sr.attempts, func(a attempt) bool { return a.node == index })
}

// stickyRank is a node's place in the order of the replicas that are allowed, 0 where the order does not count; negative: the node is
// not allowed.
func (sr *shardRequest) stickyRank(id decision.NodeID, kind attemptKind) int {
	if sr.allowed == nil {
		return 0
	}
	rank := slices.Index(sr.allowed.Nodes, id)
	if rank > 0 && (!sr.allowed.Sticky || kind != firstAttempt) {
		return 0
	}
	return rank
}

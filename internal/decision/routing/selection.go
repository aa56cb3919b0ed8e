package routing

import (
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Selection costs, in calls in flight.
const (
	newConnectionCost = 0.01 // if a connection must be opened; so small that it only decides between replicas of equal cost
	stickyOrderCost   = 1e6  // for each position after the first in a sticky shard request's list; so large that it outweighs all other costs
)

// While every replica of a shard is ejected, a replica with allEjectedMaxCalls calls in flight gets its next attempt only
// allEjectedInterval after the last one.
const (
	allEjectedMaxCalls = 2
	allEjectedInterval = 500 * time.Millisecond
)

// Results of a selection that are no replica.
const (
	noReplica      nodeIndex = -1
	waitForReplica nodeIndex = -2 // a replica is expected to be available soon
)

// attemptKind says what kind of attempt a replica is selected for.
type attemptKind uint8

const (
	firstAttempt           attemptKind = iota
	extraAttemptNewReplica             // only replicas that have had no attempt of the shard request
	extraAttemptAnyReplica             // any replica
)

// selectForFirstAttempt selects the replica for a first attempt. It prefers a warmed-up replica in the shard's own cell to which a call
// has been opened in this step, so that shard requests share calls; while replicas are crowded, that replica may be in any cell that
// holds the shard. Without such a call it falls back to selectReplica.
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

// selectReplica selects the replica with the fewest calls in flight, and one at random among equals. A degraded replica's calls count
// several times.
//
//   - An ejected replica whose trial attempt is due takes part in the selection for first attempts of idempotent queries.
//   - If every replica is ejected, the least busy of them still gets a few attempts.
//   - If no replica is available, but one awaits a health check or is unconfirmed and has as many calls as it may have, the shard
//     request waits for that replica while there is time.
//   - The first attempt of a sticky shard request goes to the first available replica of its list, hedges and retries to any of them.
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
	case best.index >= 0 || sr.inFlight > 0: // a hedge never goes to an ejected replica
		return best.index
	case shouldWait && d.router.now+d.latency.p50 <= q.deadline:
		return waitForReplica
	default:
		return leastBusyEjected
	}
}

// candidate is the replica of lowest cost found so far.
type candidate struct {
	index nodeIndex
	cost  float64
	ties  int // number of replicas considered that have this cost
}

// consider replaces the candidate if the given replica costs less. Among replicas of equal cost each is selected with equal probability
// (reservoir sampling).
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

// cost returns the cost of sending an attempt to a replica, in calls in flight.
func (d *dispatcher) cost(sr *shardRequest, e *endpoint, rank int, needsCheck bool) float64 {
	r := d.router
	factor := max(e.costFactor, 1+(maxCostFactor-1)*e.health.lossRate)
	if needsCheck || d.zones[e.zone].avoided {
		factor = maxCostFactor
	}
	cost := factor * float64(len(e.calls)+1)
	if e.slowStart.share < 1 && cost == 1 {
		cost = 0 // an idle warming-up node comes first: with many brokers, allowances left unused would leave it almost without traffic
	}
	// An idle degraded replica counts like a healthy one with a probability that falls with the number of warmed-up replicas.
	if len(e.calls) == 0 && factor > 1 && r.random.share() < math.Pow(factor, float64(1-d.endpoints.warmedUpReplicas(sr.shard))) {
		cost = 1
	}
	if e.lastUsedAt == 0 || r.now-e.lastUsedAt >= r.settings.ConnIdleTimeout {
		cost += newConnectionCost
	}
	return cost + stickyOrderCost*float64(rank)
}

// mayReceiveAttempt reports whether a node is listed and its slow start, if it is warming up, allows another attempt.
func (d *dispatcher) mayReceiveAttempt(e *endpoint) bool {
	return e.mode != modeUnlisted && (e.slowStart.share >= 1 || d.slowStartAdmits(e))
}

// mayUseEjected reports whether an ejected node may get an attempt when all replicas of the shard are ejected: its last connection did not
// fail, and it has fewer than allEjectedMaxCalls calls in flight or got its last attempt at least allEjectedInterval ago.
func (d *dispatcher) mayUseEjected(e *endpoint) bool {
	underLimit := len(e.calls) < allEjectedMaxCalls || d.router.now-e.lastSentAt >= allEjectedInterval
	return underLimit && !e.unreachable
}

// wasSentTo reports whether any attempt of the shard request went to the node.
func (sr *shardRequest) wasSentTo(index nodeIndex) bool {
	return slices.ContainsFunc(sr.attempts, func(a attempt) bool { return a.node == index })
}

// stickyRank returns a node's position among the allowed replicas, 0 if their order does not matter for this kind of attempt, or a
// negative number if the node is not allowed.
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

package routing

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// Expected wait over the time left, from which queries are shed: all above the upper bound, by chance between the two.
const (
	minShedWaitRatio = 0.5
	maxShedWaitRatio = 0.75
)

// What makes a query wait in the comparison longer or shorter than it does.
const (
	uncrowdedWaitFactor    = 0.3 // counted of the wait while replicas are not crowded
	valueExponent          = 0.2 // of a query's value over the mean: the less it is worth, the sooner it is shed
	minValueShare          = 0.01
	meanValueWeight        = 0.02 // of one query in the means
	lateTimeDivisor        = 4    // a query past its deadline has its remaining time over this
	lowWeightExponent      = 2.0  // of a shard request's weight over the mean: the less it counts, the sooner it is left out
	lowWeightFullWaitRatio = 0.25 // mean expected wait from which the exponent is in full force
)

// Rejections by nodes.
const (
	rejectionWeight       = 0.03 // of one attempt in the rejection rate; also what a single rejection leaves
	rejectionPenalty      = 50.0 // how much longer a wait counts for each unit of rejection rate
	rejectionTimeConstant = 4 * time.Second
)

// Tenants over quota.
const maxTenantRateFactor = 1.3 // times the tenant's share of the usual traffic

// loadShedding is what decides whether queries are shed.
type loadShedding struct {
	meanValue              float64 // of a query
	meanRequests           float64 // shard requests of a query
	queryCount             float64 // in the means
	active                 bool    // load is being shed
	rejectionRate          float64
	rejectionRateUpdatedAt time.Duration
	arrivals               rate   // of queries
	tenantArrivals         []rate // by tenant
}

// rejections is the share of attempts that nodes reject, as far as it is remembered.
func (s *loadShedding) currentRejectionRate(now time.Duration) float64 {
	return s.rejectionRate * decayFactor(now-s.rejectionRateUpdatedAt, rejectionTimeConstant)
}

// observeRejection takes an attempt into the rejection rate. Latencies tell of what was served only.
func (s *loadShedding) observeRejection(rejected float64, now time.Duration) {
	s.rejectionRate = (1-rejectionWeight)*s.currentRejectionRate(now) + rejectionWeight*rejected
	s.rejectionRateUpdatedAt = now
}

// excessRejectionRate is the rejection rate beyond what one rejection causes: a node that rejects alone may be draining.
func (s *loadShedding) excessRejectionRate(now time.Duration) float64 {
	return max(0, s.currentRejectionRate(now)-rejectionWeight)
}

// countArrival counts a query of a tenant.
func (s *loadShedding) countArrival(tenant int, now time.Duration) {
	s.arrivals.add(now, 1)
	if tenant < len(s.tenantArrivals) {
		s.tenantArrivals[tenant].add(now, 1)
	}
}

// bias is above 1 for a query that is worth less for its shard requests than the mean, and below for one that is worth more. It takes
// the query into the means first.
func (s *loadShedding) valueBias(value, requests float64) float64 {
	s.queryCount++
	weight := max(meanValueWeight, 1/s.queryCount) // the first queries make the means
	s.meanValue += weight * (value - s.meanValue)
	s.meanRequests += weight * (requests - s.meanRequests)
	return math.Pow(s.meanValue/s.meanRequests*requests/max(value, minValueShare*s.meanValue), valueExponent)
}

// shed decides whether a query that came is shed for lack of time, and which of its shard requests are left out. Under overload all
// queries would end late, and each retry would add to it.
func (d *dispatcher) shed(q *query) bool {
	r := d.router
	scale := d.waitScale(q)
	bound := minShedWaitRatio + r.random.share()*(maxShedWaitRatio-minShedWaitRatio)
	longest := 0.0
	sum := 0.0
	for i := range q.requests {
		sr := &q.requests[i]
		sr.expectedWait = d.scaledWait(q, sr, scale)
		longest = max(longest, sr.expectedWait)
		sum += sr.expectedWait
	}
	kept := d.abandonLongWaits(q, bound, sum/float64(len(q.requests)))
	d.logShedding(q, longest)
	return kept < q.queryType.MinCompleteness-weightTolerance
}

// waitScale is what an expected wait is multiplied by to be compared with the bounds: one over the time left, more for a query that is
// worth less than the mean, and more the more attempts are rejected.
func (d *dispatcher) waitScale(q *query) float64 {
	s := d.router.settings
	now := d.router.now
	value := q.queryType.PriorityWeight
	if d.isOverQuota(q.tenant) {
		value *= s.OverQuotaWeight
	}
	requests := float64(len(q.requests))
	if s.WeightPerShardRequest {
		requests = 1
	}
	valueBias := d.shedding.valueBias(value, requests)
	return valueBias / float64(max(1, d.remainingTime(q))) * (1 + rejectionPenalty*d.shedding.excessRejectionRate(now))
}

// remainingTime is the time until a query's deadline, less what its client spent before. Once that has passed the query gives way to those
// that can still earn their full weight.
func (d *dispatcher) remainingTime(q *query) time.Duration {
	left := q.deadline - d.router.now - q.clientTimeSpent
	if left <= 0 {
		left = (q.hardDeadline - d.router.now) / lateTimeDivisor
	}
	return left
}

// scaledWait is the wait expected of a shard request at the replica that it would be sent to. Without a replica it is abandoned.
func (d *dispatcher) scaledWait(q *query, sr *shardRequest, scale float64) float64 {
	index := d.selectReplica(q, sr, firstAttempt)
	sr.abandoned = index == noReplica
	switch {
	case index >= 0:
		return d.expectedWait(sr, index) * scale
	case index == waitForReplica:
		return float64(d.latency.p50) * scale
	default:
		return 0
	}
}

// abandonLongWaits abandons the shard requests whose expected wait is above the bound and returns the weight of the others. Where an answer may
// be partial, those that count little give way to those that count much, the more so the longer the waits are on average.
func (d *dispatcher) abandonLongWaits(q *query, bound, meanWait float64) (kept float64) {
	exponent := 0.0
	if q.mayBePartial() {
		exponent = -lowWeightExponent * math.Pow(min(1, meanWait/lowWeightFullWaitRatio), 2)
	}
	for i := range q.requests {
		sr := &q.requests[i]
		wait := sr.expectedWait * math.Pow(q.relativeWeight(sr), exponent)
		// Where replicas are not crowded, a long wait for the time left tells of a client with little patience, not of overload.
		if wait > bound && !q.isLowWeight(sr) && !d.isCrowded(sr) {
			wait *= uncrowdedWaitFactor
		}
		sr.abandoned = sr.abandoned || wait > bound
		if !sr.abandoned {
			kept += sr.weight
		}
	}
	return kept
}

// logShedding logs that shedding begins or ends.
func (d *dispatcher) logShedding(q *query, longest float64) {
	s := &d.shedding
	begins := !s.active && longest > maxShedWaitRatio
	ends := s.active && longest < minShedWaitRatio
	switch {
	case begins:
		s.active = true
		d.router.log(logSheddingStarted, longest, d.remainingTime(q))
	case ends:
		s.active = false
		d.router.log(logSheddingEnded, longest, d.remainingTime(q))
	}
}

// isOverQuota reports whether a tenant sends more than its quota and its share of what this broker gets.
func (d *dispatcher) isOverQuota(tenant int) bool {
	r := d.router
	s := &d.shedding
	if tenant >= len(s.tenantArrivals) || r.settings.OverQuotaWeight >= 1 {
		return false
	}
	arrivals := &s.tenantArrivals[tenant]
	share := &r.settings.Tenants[tenant]
	arrivals.decay(r.now)
	quota := share.Quota / float64(r.settings.BrokerCount)
	limit := max(quota, maxTenantRateFactor*share.TrafficShare*s.arrivals.usual(r.now))
	oneQuery := 1 / fastRateTimeConstant.Seconds() // to a broker with little traffic one query looks like a burst
	return arrivals.fast-oneQuery > limit
}

// updateRejectionRate takes an answer or a rejection into the rejection rate.
func (d *dispatcher) updateRejectionRate(outcome decision.Outcome) {
	switch outcome {
	case decision.OK:
		d.shedding.observeRejection(0, d.router.now)
	case decision.Rejected:
		d.shedding.observeRejection(1, d.router.now)
	}
}

// mayBePartial reports whether a query can be answered without all that makes it complete.
func (q *query) mayBePartial() bool {
	return q.queryType.MinCompleteness < q.queryType.FullCompleteness
}

// relativeWeight is the weight of a shard request over the mean of its query.
func (q *query) relativeWeight(sr *shardRequest) float64 { return sr.weight * float64(len(q.requests)) }

// isLowWeight reports whether a shard request counts less than the mean and its query can do without it.
func (q *query) isLowWeight(sr *shardRequest) bool {
	return q.mayBePartial() && q.relativeWeight(sr) < 1-weightTolerance
}

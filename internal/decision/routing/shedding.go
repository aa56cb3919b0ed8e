package routing

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// Bounds on the ratio of a shard request's expected wait to the remaining time of its query. Above the upper bound the shard request is
// abandoned; between the two it is abandoned with a probability that grows with the ratio.
const (
	minShedWaitRatio = 0.5
	maxShedWaitRatio = 0.75
)

// Adjustments of the expected wait before it is compared with the bounds.
const (
	uncrowdedWaitFactor    = 0.3  // factor on a wait above the bound, while replicas are not crowded
	valueExponent          = 0.2  // of the ratio of the mean value to the query's value: queries of less value are shed sooner
	minValueShare          = 0.01 // of the mean value; a query of less value counts as having this much
	meanValueWeight        = 0.02 // weight of one query in the moving averages of value and number of shard requests
	lateTimeDivisor        = 4    // a query past its deadline gets the time until its client's timeout divided by this
	lowWeightExponent      = 2.0  // of the ratio of the mean weight to a shard request's weight: low-weight shard requests are abandoned sooner
	lowWeightFullWaitRatio = 0.25 // mean wait ratio from which lowWeightExponent applies in full
)

// Rejections by nodes.
const (
	rejectionWeight       = 0.03 // weight of one attempt in the moving average; so a single rejection raises the rate from 0 to this value
	rejectionPenalty      = 50.0 // factor on the expected wait is 1 plus this times the excess rejection rate
	rejectionTimeConstant = 4 * time.Second
)

// Tenants beyond their quota.
const maxTenantRateFactor = 1.3 // a tenant beyond its quota may send this times its share of the usual traffic

// loadShedding holds the averages and rates by which queries are shed.
type loadShedding struct {
	meanValue              float64 // moving average of the value of a query
	meanRequests           float64 // moving average of the number of shard requests of a query
	queryCount             float64 // queries counted in the averages
	active                 bool    // load is being shed
	rejectionRate          float64 // moving average: share of attempts that nodes rejected
	rejectionRateUpdatedAt time.Duration
	arrivals               rate   // of queries
	tenantArrivals         []rate // by tenant
}

// currentRejectionRate returns the share of attempts that nodes reject, decayed by the time since the last update.
func (s *loadShedding) currentRejectionRate(now time.Duration) float64 {
	return s.rejectionRate * decayFactor(now-s.rejectionRateUpdatedAt, rejectionTimeConstant)
}

// observeRejection updates the rejection rate with an attempt: 1 for a rejected one, 0 for an answered one. The rate is needed because
// latencies come only from attempts that were answered, and so do not show rejections.
func (s *loadShedding) observeRejection(rejected float64, now time.Duration) {
	s.rejectionRate = (1-rejectionWeight)*s.currentRejectionRate(now) + rejectionWeight*rejected
	s.rejectionRateUpdatedAt = now
}

// excessRejectionRate returns by how much the rejection rate exceeds what a single rejection causes, which may come from a node that is
// draining.
func (s *loadShedding) excessRejectionRate(now time.Duration) float64 {
	return max(0, s.currentRejectionRate(now)-rejectionWeight)
}

// countArrival counts a query that a tenant has sent.
func (s *loadShedding) countArrival(tenant int, now time.Duration) {
	s.arrivals.add(now, 1)
	if tenant < len(s.tenantArrivals) {
		s.tenantArrivals[tenant].add(now, 1)
	}
}

// valueBias updates the averages with a query and returns the factor on its expected wait: above 1 if the query has less value per shard
// request than the average, below 1 if it has more.
func (s *loadShedding) valueBias(value, requests float64) float64 {
	s.queryCount++
	weight := max(meanValueWeight, 1/s.queryCount) // plain mean of the first queries, then a moving average
	s.meanValue += weight * (value - s.meanValue)
	s.meanRequests += weight * (requests - s.meanRequests)
	return math.Pow(s.meanValue/s.meanRequests*requests/max(value, minValueShare*s.meanValue), valueExponent)
}

// shed abandons the shard requests of a new query that are not expected to be answered in time, and reports whether the query is to be
// shed because too few are left. Without shedding, all queries would end late under overload, and each client retry would add load.
func (d *dispatcher) shed(q *query) bool {
	r := d.router
	scale := d.waitScale(q)
	maxWait := minShedWaitRatio + r.random.share()*(maxShedWaitRatio-minShedWaitRatio)
	longestWait := 0.0
	sum := 0.0
	for i := range q.requests {
		sr := &q.requests[i]
		sr.expectedWait = d.scaledWait(q, sr, scale)
		longestWait = max(longestWait, sr.expectedWait)
		sum += sr.expectedWait
	}
	keptWeight := d.abandonLongWaits(q, maxWait, sum/float64(len(q.requests)))
	d.logShedding(q, longestWait)
	return keptWeight < q.queryType.MinCompleteness-weightTolerance
}

// waitScale returns the factor that turns an expected wait into a ratio to compare with the bounds: 1 divided by the remaining time,
// higher for a query of less value than the average, and higher the more attempts nodes reject.
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

// remainingTime returns the time until a query's deadline, less the time that its client spent on earlier tries. Once none is left,
// it returns a fraction of the time until the client's timeout, so that the query is shed before those that can still be in time.
func (d *dispatcher) remainingTime(q *query) time.Duration {
	left := q.deadline - d.router.now - q.clientTimeSpent
	if left <= 0 {
		left = (q.hardDeadline - d.router.now) / lateTimeDivisor
	}
	return left
}

// scaledWait returns the wait expected at the replica that a shard request would be sent to, times scale. It abandons the shard request
// if there is no replica.
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

// abandonLongWaits abandons the shard requests whose expected wait is above maxWait and returns the summed weight of the others. If
// the answer may be partial, shard requests of low weight are abandoned sooner than those of high weight, and this difference grows with
// the mean wait.
func (d *dispatcher) abandonLongWaits(q *query, maxWait, meanWait float64) (keptWeight float64) {
	exponent := 0.0
	if q.mayBePartial() {
		exponent = -lowWeightExponent * math.Pow(min(1, meanWait/lowWeightFullWaitRatio), 2)
	}
	for i := range q.requests {
		sr := &q.requests[i]
		wait := sr.expectedWait * math.Pow(q.relativeWeight(sr), exponent)
		// If replicas are not crowded, a high ratio is due to a short client timeout, not to overload.
		if wait > maxWait && !q.isLowWeight(sr) && !d.isCrowded(sr) {
			wait *= uncrowdedWaitFactor
		}
		sr.abandoned = sr.abandoned || wait > maxWait
		if !sr.abandoned {
			keptWeight += sr.weight
		}
	}
	return keptWeight
}

// logShedding logs when shedding starts and when it ends.
func (d *dispatcher) logShedding(q *query, longestWait float64) {
	s := &d.shedding
	begins := !s.active && longestWait > maxShedWaitRatio
	ends := s.active && longestWait < minShedWaitRatio
	switch {
	case begins:
		s.active = true
		d.router.log(logSheddingStarted, longestWait, d.remainingTime(q))
	case ends:
		s.active = false
		d.router.log(logSheddingEnded, longestWait, d.remainingTime(q))
	}
}

// isOverQuota reports whether a tenant's queries to this broker exceed both its quota and its share of the usual traffic.
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
	oneQuery := 1 / fastRateTimeConstant.Seconds() // not counted: on a broker with little traffic one query would look like a burst
	return arrivals.fast-oneQuery > limit
}

// updateRejectionRate updates the rejection rate if an attempt was answered or rejected. Other outcomes do not count.
func (d *dispatcher) updateRejectionRate(outcome decision.Outcome) {
	switch outcome {
	case decision.OK:
		d.shedding.observeRejection(0, d.router.now)
	case decision.Rejected:
		d.shedding.observeRejection(1, d.router.now)
	}
}

// mayBePartial reports whether the query may be answered with less than a complete result.
func (q *query) mayBePartial() bool {
	return q.queryType.MinCompleteness < q.queryType.FullCompleteness
}

// relativeWeight returns the weight of a shard request divided by the mean weight in its query.
func (q *query) relativeWeight(sr *shardRequest) float64 { return sr.weight * float64(len(q.requests)) }

// isLowWeight reports whether a shard request has less than the mean weight in a query that may be answered partially.
func (q *query) isLowWeight(sr *shardRequest) bool {
	return q.mayBePartial() && q.relativeWeight(sr) < 1-weightTolerance
}

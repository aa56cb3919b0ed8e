package routing

import (
	"slices"
	"time"
)

// Latencies of the fleet.
const (
	sampleCount            = 96 // number of latencies kept
	samplesPerUpdate       = 16 // latencies recorded between two computations of the quantiles
	minSamples             = 24 // below this number the quantiles are not computed
	hedgeQuantile          = 0.95
	lowPointGrowth         = 1.005 // largest factor by which the low point rises at each computation, so that it follows only lasting rises
	assumedP50Divisor      = 8     // until latencies are known, the p50 is taken to be the shortest latency objective divided by this
	assumedP95Divisor      = 2
	assumedLowPointDivisor = 12
	crowdedLatencyFactor   = 1.5 // times the low point; replicas with a higher latency are crowded
)

// Latency of the replicas of a shard.
const (
	minLatencyWeight    = 0.1  // of one latency in the moving average, if latencies come often
	maxLatencyWeight    = 0.35 // of the first latency after a long time without any
	latencyTimeConstant = 4 * time.Second
)

// fleetLatency holds the latest latencies of answered shard requests over all nodes, and their quantiles.
type fleetLatency struct {
	samples          [sampleCount]time.Duration // ring buffer
	sorted           [sampleCount]time.Duration
	recorded         int
	recordedAtUpdate int  // value of recorded when the quantiles were last computed
	known            bool // the quantiles are computed from samples; false: they are assumed
	p50              time.Duration
	p95              time.Duration
	lowPoint         time.Duration // of p50: falls with it at once and rises slowly
}

// assume sets the quantiles that hold until there are samples, from the shortest latency objective.
func (f *fleetLatency) assume(objective time.Duration) {
	f.p50 = objective / assumedP50Divisor
	f.p95 = objective / assumedP95Divisor
	f.lowPoint = objective / assumedLowPointDivisor
}

// record adds the latency of an answered shard request.
func (f *fleetLatency) record(latency time.Duration) {
	f.samples[f.recorded%sampleCount] = latency
	f.recorded++
}

// update recomputes the quantiles if enough latencies have been recorded since the last time. It is called when a query ends and not at
// each answer: the first answers of a query with many shard requests are its fastest, and quantiles computed from those alone would get
// all its other shard requests hedged.
func (f *fleetLatency) update() {
	if f.recorded-f.recordedAtUpdate < samplesPerUpdate {
		return
	}
	f.recordedAtUpdate = f.recorded
	sorted := f.sorted[:min(f.recorded, sampleCount)]
	copy(sorted, f.samples[:])
	slices.Sort(sorted)
	if len(sorted) < minSamples {
		return
	}
	f.p50 = sorted[len(sorted)/2]
	f.p95 = sorted[int(hedgeQuantile*float64(len(sorted)))]
	f.lowPoint = min(f.p50, time.Duration(lowPointGrowth*float64(f.lowPoint)))
	if !f.known {
		f.known = true
		f.lowPoint = f.p50
	}
}

// decayedMean returns a mean latency that was last updated at learnedAt, decayed towards the p50 of the fleet by the time since.
func (f *fleetLatency) decayedMean(mean float64, learnedAt, now time.Duration) float64 {
	usual := float64(f.p50)
	return usual + (mean-usual)*decayFactor(now-learnedAt, latencyTimeConstant)
}

// shardLatency holds the mean latency of the replicas of a shard.
type shardLatency struct {
	perCall   float64 // mean of latency / (calls in flight per replica + 1), in nanoseconds
	mean      float64 // mean latency, in nanoseconds
	updatedAt time.Duration
}

// observe updates the means with a latency, and with the calls in flight per replica when the attempt was sent.
func (s *shardLatency) observe(fleet *fleetLatency, latency time.Duration, callsPerReplica float64, now time.Duration) {
	weight := min(maxLatencyWeight, max(minLatencyWeight, 1-decayFactor(now-s.updatedAt, latencyTimeConstant)))
	s.perCall = fleet.decayedMean(s.perCall, s.updatedAt, now)
	s.mean = fleet.decayedMean(s.mean, s.updatedAt, now)
	s.perCall += weight * (float64(latency)/(callsPerReplica+1) - s.perCall)
	s.mean += weight * (float64(latency) - s.mean)
	s.updatedAt = now
}

// latencyOf returns the latency of the replicas of a shard. Shards with the same replicas share it.
func (d *dispatcher) latencyOf(shard int) *shardLatency {
	return &d.shardLatencies[shard%len(d.shardLatencies)]
}

// isCrowded reports whether the fleet as a whole, or the replicas of a shard request, are much slower than the low point.
func (d *dispatcher) isCrowded(sr *shardRequest) bool {
	s := d.latencyOf(sr.shard)
	latency := max(float64(d.latency.p50), d.latency.decayedMean(s.mean, s.updatedAt, d.router.now))
	return latency > crowdedLatencyFactor*float64(d.latency.lowPoint)
}

// learnLatency updates the latency of the shard's replicas with that of an attempt.
func (d *dispatcher) learnLatency(sr *shardRequest, a *attempt, latency time.Duration) {
	d.latencyOf(sr.shard).observe(&d.latency, latency, a.callsPerReplica, d.router.now)
}

// learnFromCancelled learns from an attempt that was cancelled. Its answer would have taken longer than its age, so the age is a lower
// bound on its latency.
func (d *dispatcher) learnFromCancelled(sr *shardRequest, a *attempt) {
	age := d.router.now - a.sentAt
	if age > d.latency.p95 {
		d.observeConnection(a, attemptFailed)
	}
	switch {
	case sr.answered:
		d.latency.record(age)
	case float64(age) > d.latencyOf(sr.shard).mean:
		d.learnLatency(sr, a, age)
	}
}

// expectedWait returns the latency expected of an attempt to a node, in nanoseconds. It is derived from the latency of the shard's
// replicas. It is at least what the node's only pending call has waited, or the second oldest if there are several, as the oldest may be an
// exception.
func (d *dispatcher) expectedWait(sr *shardRequest, index nodeIndex) float64 {
	now := d.router.now
	e := &d.endpoints.all[index]
	waited := time.Duration(0)
	if pending := e.pendingCalls(); len(pending) > 0 && e.available() { // a long wait must not prevent trial attempts
		waited = now - pending[min(1, len(pending)-1)].sentAt
	}
	s := d.latencyOf(sr.shard)
	expected := d.latency.decayedMean(s.perCall, s.updatedAt, now) * (d.endpoints.callsPerReplica(sr.shard) + 1)
	return max(expected, float64(waited))
}

// usualLatency returns the latency that a node's latency is compared with: the p50 of the fleet, or the mean of the other warmed-up nodes
// that share shards with the node if that is longer, as all nodes of a crowded group are slow.
func (r *Router) usualLatency(n *nodeHealth) time.Duration {
	sum := time.Duration(0)
	count := time.Duration(0)
	for _, i := range r.dispatcher.endpoints.sharingShards(n.cell) {
		other := r.nodes[i]
		if other != n && other.reported.mode == modeWarmedUp {
			sum += other.latency
			count++
		}
	}
	return max(r.dispatcher.latency.p50, sum/max(1, count))
}

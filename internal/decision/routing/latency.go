package routing

import (
	"slices"
	"time"
)

// Latencies of the fleet.
const (
	sampleCount            = 96 // latencies kept
	samplesPerUpdate       = 16 // recorded between two computations of the quantiles
	minSamples             = 24 // for a computation
	hedgeQuantile          = 0.95
	lowPointGrowth         = 1.005 // of the low point at each computation, so that it follows a lasting change
	assumedP50Divisor      = 8     // until it is known, the p50 is the shortest latency objective over this
	assumedP95Divisor      = 2
	assumedLowPointDivisor = 12
	crowdedLatencyFactor   = 1.5 // times the low point of the p50; above it replicas are crowded
)

// Latency of the replicas of a shard.
const (
	minLatencyWeight    = 0.1  // of one latency in the mean, where many come
	maxLatencyWeight    = 0.35 // after a long time without any
	latencyTimeConstant = 4 * time.Second
)

// fleetLatency holds the latest latencies of answered shard requests and quantiles of them.
type fleetLatency struct {
	samples          [sampleCount]time.Duration // a ring
	sorted           [sampleCount]time.Duration
	recorded         int
	recordedAtUpdate int  // how many were recorded when the quantiles were last computed
	known            bool // the quantiles were computed; before, they are assumed
	p50              time.Duration
	p95              time.Duration
	lowPoint         time.Duration // of p50
}

// assume sets quantiles by the shortest latency objective, until there are samples.
func (f *fleetLatency) assume(objective time.Duration) {
	f.p50 = objective / assumedP50Divisor
	f.p95 = objective / assumedP95Divisor
	f.lowPoint = objective / assumedLowPointDivisor
}

func (f *fleetLatency) record(latency time.Duration) {
	f.samples[f.recorded%sampleCount] = latency
	f.recorded++
}

// update computes the quantiles anew if enough was recorded since. It is called as queries end: the first answers of a query with many
// shard requests are its quickest, and would have all others hedged.
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

// faded is a mean latency that was learned at a time, as far as it is remembered; the rest is taken for the p50.
func (f *fleetLatency) decayedMean(mean float64, learnedAt, now time.Duration) float64 {
	usual := float64(f.p50)
	return usual + (mean-usual)*decayFactor(now-learnedAt, latencyTimeConstant)
}

// shardLatency is the latency of the replicas of a shard.
type shardLatency struct {
	perCall   float64 // mean of latency over (calls in flight a replica + 1), in nanoseconds
	mean      float64 // of the latency, in nanoseconds
	updatedAt time.Duration
}

// observe takes a latency into the means.
func (s *shardLatency) observe(fleet *fleetLatency, latency time.Duration, callsPerReplica float64, now time.Duration) {
	weight := min(maxLatencyWeight, max(minLatencyWeight, 1-decayFactor(now-s.updatedAt, latencyTimeConstant)))
	s.perCall = fleet.decayedMean(s.perCall, s.updatedAt, now)
	s.mean = fleet.decayedMean(s.mean, s.updatedAt, now)
	s.perCall += weight * (float64(latency)/(callsPerReplica+1) - s.perCall)
	s.mean += weight * (float64(latency) - s.mean)
	s.updatedAt = now
}

// latencyOf is the latency of the replicas of a shard. Shards whose replicas are the same nodes share it.
func (d *dispatcher) latencyOf(shard int) *shardLatency {
	return &d.shardLatencies[shard%len(d.shardLatencies)]
}

// isCrowded reports whether the whole fleet, or the replicas of a shard request, are slow.
func (d *dispatcher) isCrowded(sr *shardRequest) bool {
	s := d.latencyOf(sr.shard)
	latency := max(float64(d.latency.p50), d.latency.decayedMean(s.mean, s.updatedAt, d.router.now))
	return latency > crowdedLatencyFactor*float64(d.latency.lowPoint)
}

// learnLatency takes the latency of an answered attempt into that of the shard's replicas.
func (d *dispatcher) learnLatency(sr *shardRequest, a *attempt, latency time.Duration) {
	d.latencyOf(sr.shard).observe(&d.latency, latency, a.callsPerReplica, d.router.now)
}

// learnFromCancelled takes the age of an attempt that was cancelled for a latency: its answer would have taken longer still.
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

// expectedWait is the latency expected of an attempt to a node, in nanoseconds: by the latency of the shard's replicas, and no less
// than what the second oldest of the node's calls has waited; the oldest may be stuck alone.
func (d *dispatcher) expectedWait(sr *shardRequest, index nodeIndex) float64 {
	now := d.router.now
	e := &d.endpoints.all[index]
	waited := time.Duration(0)
	if pending := e.pendingCalls(); len(pending) > 0 && e.available() { // a trial is sent all the same
		waited = now - pending[min(1, len(pending)-1)].sentAt
	}
	s := d.latencyOf(sr.shard)
	expected := d.latency.decayedMean(s.perCall, s.updatedAt, now) * (d.endpoints.callsPerReplica(sr.shard) + 1)
	return max(expected, float64(waited))
}

// usualLatency is what a node's latency is compared with: the p50 of the fleet, or the mean of the warmed-up nodes that share shards
// with it where that is longer, as in a crowded group all nodes are slow.
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

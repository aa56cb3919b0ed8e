package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// An answer to an attempt or health check shows that a node is alive.
const (
	livenessValidity   = 500 * time.Millisecond // how long an answer shows this, from when its attempt or health check was sent
	maxHealthCheckWait = 200 * time.Millisecond // the longest that a first attempt waits for the result of a health check
	lossWeight         = 0.5                    // of one health check in the moving average of the loss rate
)

// healthCheckState holds what is known of a node's liveness.
type healthCheckState struct {
	lastAliveAt time.Duration // when the latest answered attempt or health check was sent
	inFlight    bool          // a health check is in flight
	lossRate    float64       // moving average: share of health checks that the node did not answer
}

// needsHealthCheck reports whether health checks are allowed and the node has not shown within livenessValidity that it is alive.
func (d *dispatcher) needsHealthCheck(e *endpoint) bool {
	return d.router.settings.HealthChecksAllowed && d.router.now-e.health.lastAliveAt > livenessValidity
}

// mayAwaitHealthCheck reports whether the first attempts of a query may still wait for the results of health checks.
func (d *dispatcher) mayAwaitHealthCheck(q *query) bool {
	now := d.router.now
	return now < q.replicasCheckedAt+maxHealthCheckWait && now+d.latency.p50 <= q.deadline
}

// checkReplicas sends health checks to those replicas of a query's shard requests that need one. On a broker with little traffic, the last
// answer of a node is often older than the node's present fault, and a query with many shard requests would meet all faults present.
func (d *dispatcher) checkReplicas(q *query) {
	if !d.router.settings.HealthChecksAllowed {
		return
	}
	q.replicasCheckedAt = d.router.now
	for i := range q.requests {
		for _, index := range d.endpoints.replicas(q.requests[i].shard) {
			e := &d.endpoints.all[index]
			if e.mode != modeUnlisted && !e.health.inFlight && d.needsHealthCheck(e) {
				e.health.inFlight = true
				d.router.act(decision.Action{Kind: decision.SendHealthCheck, Node: e.id})
			}
		}
	}
}

// handleHealthCheckEnded records the result of a health check.
func (d *dispatcher) handleHealthCheckEnded(event *decision.Event) {
	r := d.router
	index, known := r.indexes[event.Node]
	if !known {
		return
	}
	h := &d.endpoints.all[index].health
	h.inFlight = false
	h.lossRate *= 1 - lossWeight
	if event.Outcome != decision.OK {
		h.lossRate += lossWeight
		return
	}
	h.lastAliveAt = max(h.lastAliveAt, r.now-event.Elapsed)
	r.post(&r.nodes[index].inbox, message{kind: healthCheckAnswered})
}

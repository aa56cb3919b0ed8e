package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// Signs of life are answers to attempts and health checks.
const (
	livenessValidity   = 500 * time.Millisecond
	maxHealthCheckWait = 200 * time.Millisecond // a first attempt waits for a node that shows life
	lossWeight         = 0.5                    // of one health check in the loss rate
)

// healthCheckState is what is known of a node by health checks.
type healthCheckState struct {
	lastAliveAt time.Duration // when the latest attempt or health check was sent that it answered
	inFlight    bool
	lossRate    float64 // moving average of health checks that it did not answer
}

// needsHealthCheck reports whether a node has shown no sign of life lately, though it could be asked for one.
func (d *dispatcher) needsHealthCheck(e *endpoint) bool {
	return d.router.settings.HealthChecksAllowed && d.router.now-e.health.lastAliveAt > livenessValidity
}

// mayAwaitHealthCheck reports whether a first attempt of a query may wait for a node that shows life.
func (d *dispatcher) mayAwaitHealthCheck(q *query) bool {
	now := d.router.now
	return now < q.replicasCheckedAt+maxHealthCheckWait && now+d.latency.p50 <= q.deadline
}

// checkReplicas sends health checks to the replicas of a query's shard requests that have shown no sign of life lately. What a broker
// with little traffic knows of a node is older than most faults last, and a query of many shard requests meets each of them.
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

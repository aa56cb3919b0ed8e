package play

// This file simulates the cores of a node: the queue before them, the jobs in progress, and the answers.

import (
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

func (n *node) enqueue(j *job) {
	n.queue = append(n.queue, j)
	n.startJobs()
}

// startJobs hands queued jobs to idle cores.
func (n *node) startJobs() {
	if n.processDown || n.crashed || n.hangCount > 0 || n.now < n.stalledUntil {
		return
	}
	for c := range n.cores {
		for n.cores[c] == nil && len(n.queue) > 0 {
			j := n.queue[0]
			n.queue[0] = nil
			n.queue = n.queue[1:]
			if j.cancelled || j.conn.closed && j.id == "" {
				continue
			}
			n.jobCount++
			j.n = n.jobCount
			n.cores[c] = j
			if j.id != "" {
				j.version, j.report = n.readReplica(j.id)
			}
			took := time.Duration(float64(j.work) / n.capacity() * n.w.schedule.Slow(n.n, n.now))
			n.send(n.id, n.now+took, kJobDone, int32(c), j.n, nil)
		}
	}
}

// finishJob ends a core's job and answers it. If the node is stalled, the job ends at the end of the stall.
func (n *node) finishJob(core int, number uint64) {
	j := n.cores[core]
	switch {
	case j == nil || j.n != number:
		return
	case n.now < n.stalledUntil:
		n.send(n.id, n.stalledUntil, kJobDone, int32(core), number, nil)
		return
	}
	n.cores[core] = nil
	if j.id != "" {
		counts := &n.runner.tally.work
		a := store.Answer{ID: j.id, Result: store.Served, Value: expectedValue(j.id) + j.version, Report: j.report}
		if errorShare := n.w.schedule.ErrorShare(n.n, n.now); errorShare > 0 && n.rnd.Float64() < errorShare {
			a.Result, a.Value = store.Broke, ""
			counts.Broke++
		} else {
			counts.Served++
			n.served++
		}
		n.effect(j)
		n.sendAnswer(j.conn, a)
	}
	n.startJobs()
}

// effect reports the execution of a shard request that is not idempotent to the auditor.
func (n *node) effect(j *job) {
	if j.effect != decision.Idempotent {
		n.send(idAuditor, n.now, kExecuted, int32(j.effect), hashOf(j.id), executed{j.id, j.sentAt})
	}
}

func (n *node) sendAnswer(c *nodeConn, a store.Answer) {
	if c.closed || n.vanishCount > 0 {
		return
	}
	n.send(c.brokerID, n.deliveryTime(n.zone, c.zone, &c.lastArrival), kAnswer, 0, c.id, &a)
}

// cancel drops a queued shard request, if the script has nodes that act on cancellations.
func (n *node) cancel(id string) {
	if n.w.script.Fleet.DropsCancelled {
		for _, j := range n.queue {
			if j.id == id {
				j.cancelled = true
			}
		}
	}
}

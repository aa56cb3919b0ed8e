package play

// This file applies the faults of a script to a node.

import (
	"flaxfront/internal/discovery"
	"flaxfront/internal/lab/script"
)

// applyFault applies a fault event of the script.
func (n *node) applyFault(e *script.Event) {
	if !n.processDown && n.vanishCount == 0 { // otherwise the replica applied no writes meanwhile
		n.replicaState.advance(n.now, n.w.script.Reads.CatchUp)
	}
	switch e.Action {
	case script.Lags:
		n.replicaState.lagsUntil = max(n.replicaState.lagsUntil, n.now+e.Span)
	case script.RollsBack:
		n.replicaState.stateAt -= e.Span
	case script.Dies, script.Leaves:
		n.processDown = true
		n.loseState()
	case script.Vanishes:
		n.vanishCount++
	case script.Returns:
		if n.vanishCount > 0 { // the node is reachable again, but its connections are gone
			if n.vanishCount--; n.vanishCount == 0 {
				n.replicaState.updatedAt = n.now
				n.resetConns()
			}
			return
		}
		n.restart()
	case script.Arrives:
		n.drained = false
		n.restart()
	case script.Drains:
		n.drained = true
	case script.Hangs:
		n.hangCount++
		n.queue = nil
		clear(n.cores)
	case script.Resumes:
		n.hangCount = max(0, n.hangCount-1)
	case script.Stalls:
		n.stalledUntil = max(n.stalledUntil, n.now+e.Span)
		n.send(n.id, n.stalledUntil, kStallEnd, 0, 0, nil)
	}
}

// resetConns resets all connections.
func (n *node) resetConns() {
	for len(n.conns) > 0 {
		l := n.conns[len(n.conns)-1]
		n.dropConn(l)
		n.runner.tally.work.Resets++
		n.send(l.brokerID, n.deliveryTime(n.zone, l.zone, &l.lastArrival), kConnDown, downReset, l.id, nil)
	}
}

// loseState drops the connections and jobs of a process that ended.
func (n *node) loseState() {
	n.resetConns()
	n.queue = nil
	clear(n.cores)
}

func (n *node) restart() {
	n.startCount++
	n.processDown, n.crashed, n.hangCount, n.stalledUntil, n.cold, n.startedAt = false, false, 0, 0, true, n.now
	n.recentWork, n.recentWorkSum = nil, 0
	n.replicaState.updatedAt = n.now // no writes were applied while the process was down
	if len(n.w.workers) == 1 {       // only the oracle reads byID, and it runs on one worker
		n.w.byID[discovery.IDOfName(nodeName(n.n, n.startCount))] = n
	}
}

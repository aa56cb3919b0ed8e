package lab

// This file simulates how a node treats an attempt.

import (
	"flaxfront/internal/decision"
)

// send carries one attempt to a node and back. Each attempt ends exactly once.
func (b *Broker) send(a decision.Action) {
	sim, s, node := b.sim, b.shardRequests[a.ID], b.sim.nodes[a.Node]
	if s == nil || s.finished {
		sim.recordViolation("rule 1: shard request %d sent after its query's answer", a.ID)
		return
	}
	begun, attempt, ended := sim.now, s.attempts[a.ID], false
	s.attempts[a.ID]++
	key := [2]uint64{a.ID, uint64(attempt)}
	end := func(how decision.Outcome) {
		if ended {
			return
		}
		ended = true
		delete(s.cancels, key)
		if how == decision.OK && !s.finished && s.shares[a.ID] > 0 {
			s.completeness += s.shares[a.ID]
			s.shares[a.ID] = 0
		}
		if b.evaluator != nil {
			b.evaluator.RecordOutcome(a.Node, how, sim.now-begun, sim.now)
		}
		b.deliver(decision.Event{Kind: decision.AttemptEnded, ID: a.ID, Attempt: attempt, Outcome: how, Elapsed: sim.now - begun, Node: a.Node})
	}
	s.cancels[key] = func() { end(decision.Cancelled) }
	sim.Tally.ShardRequests++
	if node.Mode != Serving {
		sim.Tally.Wrong++
	}
	switch node.Mode {
	case Dead:
		sim.at(sim.now+2*oneWayDelay, func() { end(decision.ConnectFailed) })
	case Unreachable:
		sim.at(sim.now+connectTimeout, func() { end(decision.ConnectFailed) })
	default:
		sim.at(sim.now+oneWayDelay, func() {
			done, taken := node.Offer(sim.now)
			switch {
			case node.Crashed:
				sim.recordViolation("rule 4: %s crashed by overload while cold", node.Name)
				node.Mode, node.Crashed = Hanging, false
			case node.Mode == Hanging:
			case !taken:
				sim.at(sim.now+oneWayDelay, func() { end(decision.Rejected) })
			default:
				sim.at(done+oneWayDelay, func() { end(decision.OK) })
			}
		})
	}
	sim.at(s.deadline, func() { end(decision.TimedOut) })
}

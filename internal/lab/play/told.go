package play

// This file handles endpoint lists for a broker, its kill, and the samples and checks of its state.

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
)

// handleList passes a list or an error from discovery to the broker.
func (b *broker) handleList(p any) {
	if b.core == nil {
		return
	}
	if err, failed := p.(error); failed {
		b.core.HandleList(nil, err)
		b.scheduleStep()
		return
	}
	list := *p.(*discovery.List)
	list.Nodes = slices.Clone(list.Nodes) // other brokers receive the same list
	if b.nodeIDs == nil {
		b.nodeIDs = make([]decision.NodeID, b.w.script.Fleet.Nodes)
	}
	for i := range list.Nodes {
		n := &list.Nodes[i]
		number, _ := strconv.Atoi(n.Name[1:6])
		if n.Endpoint.StartedAt != decision.StartedLongAgo {
			n.Endpoint.StartedAt -= b.startedAt
		}
		if n.Endpoint.State == decision.Ready {
			delete(b.leaving, n.Name)
			b.nodeIDs[number] = n.Endpoint.Node
		} else if _, leaving := b.leaving[n.Name]; !leaving {
			b.leaving[n.Name] = b.now
		}
	}
	b.core.HandleList(&list, nil)
	b.scheduleStep()
}

// kill ends the broker's process. Its queries are lost, which their clients see at once.
func (b *broker) kill() {
	b.addPinCounts()
	b.core, b.wakeAt = nil, never
	var open []*conn
	for id := uint64(b.id)<<40 | 1; id <= uint64(b.id)<<40|b.dialCount; id++ {
		if c := b.conns[id]; c != nil {
			open = append(open, c)
		}
	}
	for _, c := range open {
		c.closed = true
		b.send(b.w.nodeActorID(c.node), b.deliveryTime(b.zone, b.w.script.ZoneOf(c.node), &c.lastArrival), kClose, 0, c.id, nil)
	}
	clear(b.conns)
	clear(b.leaving)
	for _, id := range slices.Sorted(maps.Keys(b.openQueries)) {
		q := b.openQueries[id]
		delete(b.openQueries, id)
		q.ended = true
		if !b.scheduleRetry(q, 0) {
			b.countsOf(q).Failed++
		}
	}
}

// sampleAvailability records the nodes that the broker's router does not regard as available.
func (b *broker) sampleAvailability() {
	if b.core == nil || b.nodeIDs == nil || b.now > b.w.script.Length+settleTime || b.w.script.Fleet.Nodes > 200 && int(b.now/time.Second)%10 != 0 {
		return
	}
	unavailable := b.runner.tally.distrustAt(b.now, b.w.script.Fleet.Nodes)
	for n, id := range b.nodeIDs {
		if !b.core.IsNodeAvailable(id) {
			unavailable[n]++
		}
	}
}

// auditUnanswered reports the queries that never got a result.
func (b *broker) auditUnanswered() {
	b.addPinCounts()
	if b.w.stopped {
		return
	}
	for _, q := range b.openQueries {
		b.reportBreach(1, "query %s of broker %d never got a result", q.id, b.n)
	}
}

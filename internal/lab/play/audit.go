package play

// This file simulates the discovery service and audits how often non-idempotent shard requests are executed (rule 2).

import (
	"errors"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/lab/script"
)

// Events for discovery and the auditor.
const (
	kPollList   kind = iota + 20
	kNodeChange      // payload: *script.Event
	kDiscoveryOutage
	kExecuted  // a: hash of the shard request, n: its idempotency, payload: executed
	kQueryShed // a: hash of the query, payload: its ID
)

// simDiscovery is the discovery service. It learns of node changes with a delay and notifies the brokers that watch the list.
type simDiscovery struct {
	actorState
	nodes       []discovery.Node
	startCounts []int
	version     uint64
	watchers    []uint32 // actor IDs of brokers, in the order in which they subscribed
}

var errDiscoveryDown = errors.New("discovery did not answer")

func newSimDiscovery(w *world) *simDiscovery {
	d := &simDiscovery{version: 1}
	for n := range w.script.Fleet.Nodes {
		d.startCounts = append(d.startCounts, 0)
		d.nodes = append(d.nodes, d.nodeEntry(w, n, decision.Ready, decision.StartedLongAgo))
	}
	return d
}

func (d *simDiscovery) nodeEntry(w *world, n int, state decision.EndpointState, startedAt time.Duration) discovery.Node {
	name := nodeName(n, d.startCounts[n])
	l := discovery.Node{Name: name, Zone: w.terms.Zones[w.script.ZoneOf(n)], Endpoint: decision.Endpoint{Node: discovery.IDOfName(name),
		Cell: n % w.script.Fleet.Cells, Zone: w.script.ZoneOf(n), State: state, StartedAt: startedAt}}
	if startedAt != decision.StartedLongAgo {
		l.StartedAtMS = w.epoch.Add(startedAt).UnixMilli()
	}
	return l
}

func (d *simDiscovery) start() {
	delay := d.w.script.List.Delay
	for i := range d.w.schedule.Events {
		e := &d.w.schedule.Events[i]
		switch e.Action {
		case script.Dies, script.Returns, script.Leaves, script.Arrives:
			d.send(d.id, e.At+delay, kNodeChange, int32(e.Node), uint64(e.Action), e)
		case script.Drains: // planned through discovery itself, so without the delay
			d.send(d.id, e.At, kNodeChange, int32(e.Node), uint64(e.Action), e)
		}
	}
	for _, s := range append(slices.Clone(d.w.schedule.Down), d.w.schedule.Hangs...) {
		d.send(d.id, s.From, kDiscoveryOutage, 0, 0, nil)
	}
}

func (d *simDiscovery) handle(e *event) {
	switch e.kind {
	case kPollList:
		from := uint32(e.a)
		coversNow := func(s script.Span) bool { return s.Includes(d.now) }
		switch {
		case slices.ContainsFunc(d.w.schedule.Down, coversNow):
			d.send(from, d.now+d.w.script.Network.ZoneDelay, kList, 0, 0, errDiscoveryDown)
		case slices.ContainsFunc(d.w.schedule.Hangs, coversNow):
			d.send(from, d.now+6*time.Second, kList, 0, 0, errDiscoveryDown)
		default:
			if !slices.Contains(d.watchers, from) {
				d.watchers = append(d.watchers, from)
			}
			d.send(from, d.now+d.w.script.Network.ZoneDelay, kList, 0, 0,
				&discovery.List{Version: d.version, Full: true, Nodes: slices.Clone(d.nodes), Service: "discovery"})
		}
	case kDiscoveryOutage:
		for _, b := range d.watchers {
			d.send(b, d.now+d.w.script.Network.ZoneDelay, kList, 0, 0, errDiscoveryDown)
		}
		d.watchers = d.watchers[:0]
	case kNodeChange:
		d.applyEvent(e.payload.(*script.Event))
	}
}

func (d *simDiscovery) applyEvent(e *script.Event) {
	at := d.nodes[e.Node].Endpoint
	list := &discovery.List{Full: false, Service: "discovery"}
	add := func(l discovery.Node) { list.Nodes = append(list.Nodes, l) }
	switch e.Action {
	case script.Dies, script.Leaves:
		if at.State == decision.Removed {
			return
		}
		d.nodes[e.Node] = d.nodeEntry(d.w, e.Node, decision.Removed, at.StartedAt)
		add(d.nodes[e.Node])
	case script.Drains:
		if at.State != decision.Ready {
			return
		}
		d.nodes[e.Node] = d.nodeEntry(d.w, e.Node, decision.Draining, at.StartedAt)
		add(d.nodes[e.Node])
	case script.Returns, script.Arrives:
		if at.State != decision.Removed { // it was unreachable for a while, which discovery does not notice
			return
		}
		d.startCounts[e.Node]++
		d.nodes[e.Node] = d.nodeEntry(d.w, e.Node, decision.Ready, e.At)
		add(d.nodes[e.Node])
	}
	d.version++
	list.Version = d.version
	for _, b := range d.watchers {
		d.send(b, d.now+d.w.script.Network.ZoneDelay, kList, 0, 0, list)
	}
}

// auditor receives each execution of a shard request that is not idempotent, and each non-idempotent query that was shed. It drops
// records once they are too old for any attempt to be in flight.
type auditor struct {
	actorState
	executed map[uint64]execution // by hash of the shard request or of its query
	shed     map[uint64]time.Duration
	order    []uint64        // keys of both maps, oldest first
	times    []time.Duration // parallel to order: when the key was recorded
}

// executed is a node's report of one execution.
type executed struct {
	requestID string
	sentAt    time.Duration // when the broker wrote the attempt
}

type execution struct{ sentAt time.Duration }

const auditRetention = time.Minute

func (a *auditor) handle(e *event) {
	for len(a.times) > 0 && a.now-a.times[0] > auditRetention {
		delete(a.executed, a.order[0])
		delete(a.shed, a.order[0])
		a.order, a.times = a.order[1:], a.times[1:]
	}
	a.order, a.times = append(a.order, e.a), append(a.times, a.now)
	switch e.kind {
	case kExecuted:
		first, known := a.executed[e.a]
		report, window := e.payload.(executed), time.Duration(0)
		if decision.Idempotency(e.n) == decision.IdempotencyKeyed { // the store drops repeats for this long
			for i := range a.w.terms.Module.QueryTypes {
				window = max(window, a.w.terms.Module.QueryTypes[i].IdempotencyWindow)
			}
		}
		if known && (report.sentAt-first.sentAt).Abs() > window || known && window == 0 {
			a.reportBreach(2, "shard request %s was executed again; the repeat was sent %v after the first attempt", report.requestID, report.sentAt-first.sentAt)
		}
		if !known {
			a.executed[e.a] = execution{report.sentAt}
		}
		queryHash := hashOf(queryIDOf(report.requestID))
		if _, was := a.shed[queryHash]; was && decision.Idempotency(e.n) == decision.NonIdempotent {
			a.reportBreach(2, "shard request %s was executed although its query was shed", report.requestID)
		}
		a.executed[queryHash] = execution{report.sentAt}
	case kQueryShed:
		a.shed[e.a] = a.now
		if _, executed := a.executed[e.a]; executed {
			a.reportBreach(2, "query %s was shed although one of its shard requests had been executed", e.payload)
		}
	}
}

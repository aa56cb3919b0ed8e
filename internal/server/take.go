package server

// This file owns what is delivered to the loop, and what the loop does with each. It must never decide:
// what happened becomes events for the module's next turn.

import (
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/link"
	"flaxfront/internal/transport/store"
)

// What is delivered to the loop, beside store.Event.
type (
	queryReceived  struct{ s *activeQuery }
	queryAbandoned struct {
		s     *activeQuery
		cause query.AbandonCause
	}
	listReceived struct {
		list *discovery.List
		err  error
	}
	gossipReceived struct {
		from int
		text []byte
	}
	countersRequested struct{ to chan QueryCounters }
	shutdownStarted   struct{ done chan struct{} } // the broker stops: the tier is told
	settingsChanged   struct {                     // other settings come into force
		terms *terms.Terms
		moved bool            // with other shards, or other nodes
		list  *discovery.List // the nodes there, as far as known; nil: not at all
		done  chan struct{}
	}
)

// handle turns what was delivered into events for the module.
func (l *loop) handle(d any) {
	switch d := d.(type) {
	case store.Event:
		l.pool.Handle(d)
	case queryReceived:
		l.receive(d.s)
	case queryAbandoned:
		if !d.s.done {
			if d.cause == query.DeadlinePassed {
				l.deliverResult(d.s, query.Result{Outcome: query.Failed})
			} else {
				l.counters.Left++
			}
			if d.s.queued {
				l.abandonQueued(d.s)
				return
			}
			l.reportDone(d.s, false, false)
			if d.s.forwarded {
				l.gateway.outgoing.Gone(d.s.id)
				l.executeForwarding()
				l.forgetForwarded(d.s, d.s.id)
				return
			}
			l.events = append(l.events, decision.Event{Kind: decision.ClientDeparted, ID: d.s.id})
			l.finish(d.s)
			l.cancelUnsent(d.s) // now, as a connection may come up in the same moment
		}
	case listReceived:
		l.handleList(d.list, d.err)
	case gossipReceived:
		l.events = append(l.events, decision.Event{Kind: decision.GossipReceived, From: uint32(d.from), Payload: d.text})
	case viewReceived:
		l.handleView(d.view)
	case drainAckFailed:
		if have := l.controlPlane.drains[d.node]; have != nil && have.number == d.number {
			have.ackProposed = false
		}
	case memberDatagram:
		l.handleMemberDatagram(d)
	case settingsChanged:
		l.applySettings(d)
		close(d.done)
	case leaseReleaseRequested:
		d.holds <- l.connLeases.release()
	case shutdownStarted:
		l.leaveTier()
		close(d.done)
	case nodelist.OperatorRequest:
		l.handleOperatorRequest(d)
	case link.Event:
		l.handleLink(d)
	case positionsRequested, positionsReceived, epochAgreed:
		l.handlePositions(d)
	case countersRequested:
		t := l.counters
		if l.cachedList != nil {
			c := l.cachedList.judge.Snapshot(l.since())
			t.Trust = &c
		}
		t.Store, t.Nodes, t.NodeConns, t.Out = l.pool.Counts, l.pool.Nodes(), l.pool.Open(), l.pool.Out()
		if m, tells := l.router.(inspectable); tells {
			t.OutByModule, t.ShutOut = m.Snapshot()
		}
		if l.gateway != nil {
			t.Gateway = &GatewayState{l.gateway.outgoing.Counts, l.gateway.incoming.Counts, l.gateway.outgoing.State(l.since())}
		}
		if l.membership != nil {
			t.Crew = l.membershipState(l.since())
		}
		if l.controlPlane != nil {
			t.Fleet = l.controlPlaneState()
		}
		if l.admission != nil {
			t.Door = &AdmissionState{l.admission.State(l.since()), l.admission.tenants}
		}
		if l.readPins != nil {
			t.Pins = l.readPinState()
		}
		d.to <- t
	}
}

// applySettings has the loop, the pool and the module go on under other settings. What came before is taken under the old ones, and what
// is in hand ends by them. Where shards or nodes are others now, the nodes known so far get nothing more.
func (l *loop) applySettings(d settingsChanged) {
	if d.moved {
		l.applyList(&discovery.List{Full: true})
	}
	if len(l.events) > 0 {
		l.stepRouter(l.since())
	}
	t := &d.terms.Module
	l.router.(reconfigurable).Reconfigure(*t, d.moved)
	l.settings, l.queryTypes, l.cells, l.maxInFlight, l.maxRetryAfter, l.maxBatch = d.terms, t.QueryTypes, t.Cells, t.MaxInFlight, t.MaxRetryAfter, t.MaxBatch
	l.pool.Retune(d.terms.Streams, d.terms.Idle, d.terms.Dial, d.terms.LongestTimeout())
	if d.list != nil {
		l.applyList(d.list)
	}
}

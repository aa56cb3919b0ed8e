package server

// This file owns what is delivered to the loop, and what the loop does with each. It must never decide:
// what happened becomes events for the module's next turn.

import (
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/transport/link"
	"flaxfront/internal/transport/store"
)

// What is delivered to the loop, beside store.Event.
type (
	queryReceived  struct{ s *search }
	queryAbandoned struct {
		s       *search
		overdue bool // no verdict came in time; else the client has gone
	}
	listReceived struct {
		list *discovery.List
		err  error
	}
	peerMessage struct {
		from int
		text []byte
	}
	tallyWanted     struct{ to chan QueryCounters }
	stopBegun       struct{ done chan struct{} } // the broker stops: the tier is told
	settingsChanged struct {                     // other settings come into force
		terms *terms.Terms
		moved bool            // with other shards, or other nodes
		list  *discovery.List // the nodes there, as far as known; nil: not at all
		done  chan struct{}
	}
)

// take turns what was delivered into events for the module.
func (l *loop) take(d any) {
	switch d := d.(type) {
	case store.Event:
		l.pool.Handle(d)
	case queryReceived:
		l.admit(d.s)
	case queryAbandoned:
		if !d.s.over {
			if d.overdue {
				l.conclude(d.s, result{kind: errored})
			} else {
				l.tally.Left++
			}
			if d.s.queued {
				l.leaveDoor(d.s)
				return
			}
			l.outside(d.s, false, false)
			if d.s.abroad {
				l.gate.near.Gone(d.s.id)
				l.routed()
				l.leaveAbroad(d.s, d.s.id)
				return
			}
			l.events = append(l.events, decision.Event{Kind: decision.ClientLeft, ID: d.s.id})
			l.finish(d.s)
			l.unsend(d.s) // now, as a connection may come up in the same moment
		}
	case listReceived:
		l.list(d.list, d.err)
	case peerMessage:
		l.events = append(l.events, decision.Event{Kind: decision.GossipReceived, From: uint32(d.from), Payload: d.text})
	case viewed:
		l.see(d.view)
	case unacked:
		if have := l.agreed.drains[d.node]; have != nil && have.number == d.number {
			have.asked = false
		}
	case met:
		l.metOne(d)
	case settingsChanged:
		l.retune(d)
		close(d.done)
	case yielded:
		d.holds <- l.budgets.yield()
	case stopBegun:
		l.leaveCrew()
		close(d.done)
	case nodelist.OperatorRequest:
		l.asked(d)
	case link.Event:
		l.linked(d)
	case pinCollect, pinFacts, pinEpoch:
		l.pinTold(d)
	case tallyWanted:
		t := l.tally
		if l.saved != nil {
			c := l.saved.judge.Picture(l.since())
			t.Trust = &c
		}
		t.Store, t.Nodes, t.NodeConns, t.Out = l.pool.Counts, l.pool.Nodes(), l.pool.Open(), l.pool.Out()
		if m, tells := l.module.(pictured); tells {
			t.OutByModule, t.ShutOut = m.Snapshot()
		}
		if l.gate != nil {
			t.Gateway = &GatewayState{l.gate.near.Counts, l.gate.far.Counts, l.gate.near.State(l.since())}
		}
		if l.crew != nil {
			t.Crew = l.crewState(l.since())
		}
		if l.agreed != nil {
			t.Fleet = l.fleetState()
		}
		if l.door != nil {
			t.Door = &AdmissionState{l.door.State(l.since()), l.door.names}
		}
		if l.pins != nil {
			t.Pins = l.pinState()
		}
		d.to <- t
	}
}

// retune has the loop, the pool and the module go on under other settings. What came before is taken under the old ones, and what
// is in hand ends by them. Where shards or nodes are others now, the nodes known so far get nothing more.
func (l *loop) retune(d settingsChanged) {
	if d.moved {
		l.relist(&discovery.List{Whole: true})
	}
	if len(l.events) > 0 {
		l.turn(l.since())
	}
	t := &d.terms.Module
	l.module.(tuned).Reconfigure(*t, d.moved)
	l.under, l.types, l.cells, l.maxOpen, l.comeBack, l.batch = d.terms, t.QueryTypes, t.Cells, t.MaxInFlight, t.MaxRetryAfter, t.MaxBatch
	l.pool.Retune(d.terms.Streams, d.terms.Idle, d.terms.Dial, longest(d.terms))
	if d.list != nil {
		l.relist(d.list)
	}
}

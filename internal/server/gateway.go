package server

// This file owns the loop's part of the gateway to other sites: what the module sheds is offered to the routes. It must
// never forward a search that came from another site, or decide itself where one goes.

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/transport/link"
)

const (
	sayEvery = 200 * time.Millisecond // the status that heartbeats carry is made anew
	slip     = 1e-4                   // sums of weights may fall so far short
)

// gateway is the loop's part of it.
type gateway struct {
	near    *forwarding.Near
	far     *forwarding.Far
	links   *link.Links
	terms   *terms.Terms
	conns   []*link.Conn       // standing, by peer
	abroad  map[uint64]*search // by the id that they had when they left
	foreign map[forwarding.Key]*foreigner
	next    time.Duration // when the status is made anew
	stop    func() bool   // a planned stop is under way
	lacking []int         // shards without a sound holder
}

// sounding is a module that tells whether a shard has a sound holder.
type sounding interface{ HasAvailableReplica(shard int) bool }

func newGateway(p forwarding.Policy, names []string, links *link.Links, t *terms.Terms, stop func() bool) *gateway {
	return &gateway{near: forwarding.NewNear(p, names), far: forwarding.NewFar(p), links: links, terms: t, stop: stop,
		conns: make([]*link.Conn, len(names)), abroad: map[uint64]*search{}, foreign: map[forwarding.Key]*foreigner{}}
}

// offer tells whether a search that the module sheds goes abroad. The module has done with it; so has the loop, but for its
// client and its id.
func (l *loop) offer(s *search) bool {
	g := l.gate
	if g == nil || s.pin != nil { // what its reads need is known here alone
		return false
	}
	r := forwarding.Search{ID: s.id, Effect: l.types[s.typ].Idempotency, Window: l.types[s.typ].IdempotencyWindow, Due: s.deadline,
		Foreign: s.foreign, Home: s.home}
	lacking := false
	for i := range s.ask.parts {
		r.Shards = append(r.Shards, s.ask.parts[i].shard)
		lacking = lacking || slices.Contains(g.lacking, s.ask.parts[i].shard)
	}
	if !s.foreign && !lacking {
		g.far.Shed(l.since())
	}
	if !g.near.Offer(r, l.since()) {
		return false
	}
	l.outside(s, false, true)
	s.abroad = true
	g.abroad[s.id] = s
	l.places -= 1 + len(s.parts)
	l.ended = append(l.ended, s)
	return true
}

// routed carries out what the routes decided.
func (l *loop) routed() {
	g := l.gate
	for acts := g.near.Acts(); len(acts) > 0; acts = g.near.Acts() {
		for _, a := range acts {
			s := g.abroad[a.ID]
			switch a.Kind {
			case forwarding.Forward:
				if s == nil || g.conns[a.Peer] == nil || !g.conns[a.Peer].Ask(g.ask(s, a)) {
					g.near.Back(a.Peer, a.ID, forwarding.Refused, l.since()) // it has not left
				}
			case forwarding.Cancel:
				if c := g.conns[a.Peer]; c != nil {
					c.Cancel(a.ID)
				}
			case forwarding.Home:
				l.bringHome(s, a)
			case forwarding.Shed:
				l.endAbroad(s, a.ID, result{kind: shed, after: max(s.after, l.comeBack)})
			case forwarding.Fail:
				l.endAbroad(s, a.ID, result{kind: errored})
			case forwarding.Log:
				slog.Info("gateway", "mode", a.Text)
			}
		}
	}
}

// ask is a search as the link carries it.
func (g *gateway) ask(s *search, a forwarding.Act) link.Ask {
	out := link.Ask{ID: a.ID, Again: a.Again, Left: a.Left.Microseconds(), Type: g.terms.Types[s.typ], Repeat: s.repeat,
		Request: s.ask.id, Text: s.text}
	if len(g.terms.Tenants) > 0 {
		out.Tenant = g.terms.Tenants[s.tenant]
	}
	for i := range s.ask.parts {
		out.Parts = append(out.Parts, link.Part{Shard: s.ask.parts[i].shard, Weight: s.ask.parts[i].weight})
	}
	return out
}

// endAbroad gives a search that was abroad its verdict.
func (l *loop) endAbroad(s *search, id uint64, v result) {
	l.conclude(s, v)
	l.leaveAbroad(s, id)
}

// leaveAbroad forgets a search that was abroad.
func (l *loop) leaveAbroad(s *search, id uint64) {
	s.over = true
	l.tally.InHand--
	delete(l.gate.abroad, id)
	delete(l.ids, s.ask.id)
}

// bringHome hands a search to the module once more, as a new one with the time that is left.
func (l *loop) bringHome(s *search, a forwarding.Act) {
	delete(l.gate.abroad, a.ID)
	s.abroad, s.home, s.risk = false, true, a.Risk
	if l.places+1+len(s.ask.parts) > l.maxOpen {
		l.tally.InHand--
		s.over = true
		delete(l.ids, s.ask.id)
		l.tally.Full++
		l.conclude(s, s.shedding(result{kind: shed, after: l.comeBack}, l))
		return
	}
	l.enter(s, a.Left)
}

// shedding is the verdict on a search that is shed: one that may have run elsewhere can't say that asking again is harmless.
func (s *search) shedding(v result, l *loop) result {
	if v.kind == shed && s.risk && l.types[s.typ].Idempotency != decision.Idempotent {
		return result{kind: errored}
	}
	return v
}

// gateTick lets time act on what is abroad, and makes the status anew; it returns when to come again.
func (l *loop) gateTick(now time.Duration) time.Duration {
	g := l.gate
	next := g.near.Tick(now)
	l.routed()
	if now >= g.next {
		g.next = now + sayEvery
		g.lacking = g.lacking[:0]
		if m, tells := l.module.(sounding); tells {
			for shard := range g.terms.Shards {
				if !m.HasAvailableReplica(shard) {
					g.lacking = append(g.lacking, shard)
				}
			}
		}
		for _, k := range g.far.Forget(now) {
			delete(g.foreign, k)
		}
		g.links.Say(g.status(l, now), false)
	}
	return min(next, g.next)
}

func (g *gateway) status(l *loop, now time.Duration) link.Status {
	return link.Status{Room: g.far.Room(l.maxOpen), Refusing: g.far.Refusing(now), Stopping: g.stop(),
		Lacking: slices.Clone(g.lacking)}
}

// GatewayState is what operators see of the gateway.
type GatewayState struct {
	Near  forwarding.NearCounts
	Far   forwarding.FarCounts
	Links []forwarding.PeerState
}

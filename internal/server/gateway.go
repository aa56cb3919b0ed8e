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
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/link"
)

const (
	statusInterval     = 200 * time.Millisecond // the status that heartbeats carry is made anew
	weightSumTolerance = 1e-4                   // sums of weights may fall so far short
)

// siteGateway is the loop's part of it.
type siteGateway struct {
	outgoing        *forwarding.Near
	incoming        *forwarding.Far
	links           *link.Links
	settings        *terms.Terms
	conns           []*link.Conn       // standing, by peer
	forwarded       map[uint64]*search // by the id that they had when they left
	remote          map[forwarding.Key]*remoteQuery
	nextStatus      time.Duration // when the status is made anew
	stopping        func() bool   // a planned stop is under way
	unhealthyShards []int         // shards without a sound holder
}

// shardHealth is a module that tells whether a shard has a sound holder.
type shardHealth interface{ HasAvailableReplica(shard int) bool }

func newGateway(p forwarding.Policy, names []string, links *link.Links, t *terms.Terms, stop func() bool) *siteGateway {
	return &siteGateway{outgoing: forwarding.NewNear(p, names), incoming: forwarding.NewFar(p), links: links, settings: t, stopping: stop,
		conns: make([]*link.Conn, len(names)), forwarded: map[uint64]*search{}, remote: map[forwarding.Key]*remoteQuery{}}
}

// offerToSites tells whether a search that the module sheds goes abroad. The module has done with it; so has the loop, but for its
// client and its id.
func (l *loop) offerToSites(s *search) bool {
	g := l.gateway
	if g == nil || s.pin != nil { // what its reads need is known here alone
		return false
	}
	r := forwarding.Search{ID: s.id, Effect: l.queryTypes[s.Type].Idempotency, Window: l.queryTypes[s.Type].IdempotencyWindow, Due: s.deadline,
		Foreign: s.remote, Home: s.takenBack}
	lacking := false
	for i := range s.Request.Shards {
		r.Shards = append(r.Shards, s.Request.Shards[i].Shard)
		lacking = lacking || slices.Contains(g.unhealthyShards, s.Request.Shards[i].Shard)
	}
	if !s.remote && !lacking {
		g.incoming.Shed(l.since())
	}
	if !g.outgoing.Offer(r, l.since()) {
		return false
	}
	l.reportDone(s, false, true)
	s.forwarded = true
	g.forwarded[s.id] = s
	l.slotsUsed -= 1 + len(s.requests)
	l.finished = append(l.finished, s)
	return true
}

// executeForwarding carries out what the routes decided.
func (l *loop) executeForwarding() {
	g := l.gateway
	for acts := g.outgoing.Acts(); len(acts) > 0; acts = g.outgoing.Acts() {
		for _, a := range acts {
			s := g.forwarded[a.ID]
			switch a.Kind {
			case forwarding.Forward:
				if s == nil || g.conns[a.Peer] == nil || !g.conns[a.Peer].Ask(g.encode(s, a)) {
					g.outgoing.Back(a.Peer, a.ID, forwarding.Refused, l.since()) // it has not left
				}
			case forwarding.Cancel:
				if c := g.conns[a.Peer]; c != nil {
					c.Cancel(a.ID)
				}
			case forwarding.Home:
				l.takeBack(s, a)
			case forwarding.Shed:
				l.finishForwarded(s, a.ID, query.Result{Outcome: query.Shed, RetryAfter: max(s.remoteRetryAfter, l.maxRetryAfter)})
			case forwarding.Fail:
				l.finishForwarded(s, a.ID, query.Result{Outcome: query.Failed})
			case forwarding.Log:
				slog.Info("gateway", "mode", a.Text)
			}
		}
	}
}

// encode is a search as the link carries it.
func (g *siteGateway) encode(s *search, a forwarding.Act) link.Ask {
	out := link.Ask{ID: a.ID, Again: a.Again, Left: a.Left.Microseconds(), Type: g.settings.Types[s.Type], Repeat: s.Retry,
		Request: s.Request.ID, Text: s.Text}
	if len(g.settings.Tenants) > 0 {
		out.Tenant = g.settings.Tenants[s.Tenant]
	}
	for i := range s.Request.Shards {
		out.Parts = append(out.Parts, link.Part{Shard: s.Request.Shards[i].Shard, Weight: s.Request.Shards[i].Weight})
	}
	return out
}

// finishForwarded gives a search that was abroad its verdict.
func (l *loop) finishForwarded(s *search, id uint64, v query.Result) {
	l.deliverResult(s, v)
	l.forgetForwarded(s, id)
}

// forgetForwarded forgets a search that was abroad.
func (l *loop) forgetForwarded(s *search, id uint64) {
	s.done = true
	l.counters.InFlight--
	delete(l.gateway.forwarded, id)
	delete(l.requestIDs, s.Request.ID)
}

// takeBack hands a search to the module once more, as a new one with the time that is left.
func (l *loop) takeBack(s *search, a forwarding.Act) {
	delete(l.gateway.forwarded, a.ID)
	s.forwarded, s.takenBack, s.mayHaveRun = false, true, a.Risk
	if l.slotsUsed+1+len(s.Request.Shards) > l.maxInFlight {
		l.counters.InFlight--
		s.done = true
		delete(l.requestIDs, s.Request.ID)
		l.counters.NoCapacity++
		l.deliverResult(s, s.shedResult(query.Result{Outcome: query.Shed, RetryAfter: l.maxRetryAfter}, l))
		return
	}
	l.submit(s, a.Left)
}

// shedResult is the verdict on a search that is shed: one that may have run elsewhere can't say that asking again is harmless.
func (s *search) shedResult(v query.Result, l *loop) query.Result {
	if v.Outcome == query.Shed && s.mayHaveRun && l.queryTypes[s.Type].Idempotency != decision.Idempotent {
		return query.Result{Outcome: query.Failed}
	}
	return v
}

// gatewayTick lets time act on what is abroad, and makes the status anew; it returns when to come again.
func (l *loop) gatewayTick(now time.Duration) time.Duration {
	g := l.gateway
	next := g.outgoing.Tick(now)
	l.executeForwarding()
	if now >= g.nextStatus {
		g.nextStatus = now + statusInterval
		g.unhealthyShards = g.unhealthyShards[:0]
		if m, tells := l.router.(shardHealth); tells {
			for shard := range g.settings.Shards {
				if !m.HasAvailableReplica(shard) {
					g.unhealthyShards = append(g.unhealthyShards, shard)
				}
			}
		}
		for _, k := range g.incoming.Forget(now) {
			delete(g.remote, k)
		}
		g.links.Say(g.status(l, now), false)
	}
	return min(next, g.nextStatus)
}

func (g *siteGateway) status(l *loop, now time.Duration) link.Status {
	return link.Status{Room: g.incoming.Room(l.maxInFlight), Refusing: g.incoming.Refusing(now), Stopping: g.stopping(),
		Lacking: slices.Clone(g.unhealthyShards)}
}

// GatewayState is what operators see of the gateway.
type GatewayState struct {
	Outgoing forwarding.NearCounts `json:"Near"`
	Incoming forwarding.FarCounts  `json:"Far"`
	Links    []forwarding.PeerState
}

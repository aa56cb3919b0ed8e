package server

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
	statusInterval  = 200 * time.Millisecond // between two statuses for heartbeats
	weightTolerance = 1e-4                   // sums of weights may fall so far short
)

// gatewayHost is what the gateway may use of the loop.
type gatewayHost interface {
	host
	receive(q *activeQuery)
	hasCapacity(q *activeQuery) bool
	capacity() (used, limit int)
	submit(q *activeQuery, left time.Duration)
	finish(q *activeQuery)
	detach(q *activeQuery)
	release(q *activeQuery)
	deliverResult(q *activeQuery, r query.Result)
	shedResult() query.Result
	retryAfterLimit() time.Duration
	admissionDone(q *activeQuery, outcome query.Outcome)
	typeOf(r *query.Request) *decision.QueryType
	hasAvailableReplica(shard int) bool
}

// siteGateway is the extension for other sites: what the router sheds is offered to the forwarding decisions, and what other sites forward
// is received. A query that came from another site is never forwarded.
type siteGateway struct {
	loop            gatewayHost
	outgoing        *forwarding.Forwarder
	incoming        *forwarding.Receiver
	links           *link.Links
	settings        *terms.Terms
	conns           []*link.Conn            // established, by peer
	forwarded       map[uint64]*activeQuery // by the id that they had when they were forwarded
	remote          map[forwarding.Key]*remoteQuery
	nextStatus      time.Duration
	stopping        func() bool // a graceful shutdown is under way
	unhealthyShards []int       // without an available replica
}

// forwardingState is what the gateway keeps of a query.
type forwardingState struct {
	remote     bool          // a broker of another site sent it
	forwarded  bool          // another site has it; the router has done with it
	returned   bool          // it came back
	mayHaveRun bool          // and may have run at the other site
	retryAfter time.Duration // when the other site wants it back
}

func newGateway(p forwarding.Policy, names []string, links *link.Links, t *terms.Terms, stopping func() bool) *siteGateway {
	return &siteGateway{
		outgoing:  forwarding.NewForwarder(p, names),
		incoming:  forwarding.NewReceiver(p),
		links:     links,
		settings:  t,
		stopping:  stopping,
		conns:     make([]*link.Conn, len(names)),
		forwarded: map[uint64]*activeQuery{},
		remote:    map[forwarding.Key]*remoteQuery{},
	}
}

// useGateway attaches the gateway to the loop.
func (l *loop) useGateway(g *siteGateway) {
	g.loop = l
	l.gateway = g
	l.extensions[gatewayExtension] = g
}

// shardAvailability is a router that tells whether a shard has an available replica.
type shardAvailability interface{ HasAvailableReplica(shard int) bool }

// hasAvailableReplica tells whether the router has a replica for a shard; one that can't tell has.
func (l *loop) hasAvailableReplica(shard int) bool {
	r, ok := l.router.(shardAvailability)
	return !ok || r.HasAvailableReplica(shard)
}

// admissionDone tells admission that a query which it let in has ended here.
func (l *loop) admissionDone(q *activeQuery, outcome query.Outcome) { l.admission.done(q, outcome) }

func (g *siteGateway) handle(m message) bool {
	e, ok := m.(linkEvent)
	if !ok {
		return false
	}
	if e.Conn.Peer >= 0 {
		g.handleDialledLink(e.Event)
		g.execute()
	} else {
		g.handleAcceptedLink(e.Event)
	}
	return true
}

// tick lets time act on what is forwarded, and makes the status anew.
func (g *siteGateway) tick(now time.Duration) time.Duration {
	next := g.outgoing.Tick(now)
	g.execute()
	if now >= g.nextStatus {
		g.nextStatus = now + statusInterval
		g.unhealthyShards = g.unhealthyShards[:0]
		for shard := range g.settings.Shards {
			if !g.loop.hasAvailableReplica(shard) {
				g.unhealthyShards = append(g.unhealthyShards, shard)
			}
		}
		for _, k := range g.incoming.ForgetExpired(now) {
			delete(g.remote, k)
		}
		g.links.Say(g.status(now), false)
	}
	return min(next, g.nextStatus)
}

// queryAccepted counts a client's query, by which the share of forwarded ones is bounded.
func (g *siteGateway) queryAccepted() {
	if g != nil {
		g.outgoing.QueryAccepted()
	}
}

// offer tells whether a query that the router sheds is forwarded. The loop keeps its client and its id only. A query with read pins is
// not: the positions that its reads need are known here alone.
func (g *siteGateway) offer(q *activeQuery) bool {
	if g == nil || q.pin != nil {
		return false
	}
	t := g.loop.typeOf(q.Request)
	offered := forwarding.Query{ID: q.id, Idempotency: t.Idempotency, IdempotencyWindow: t.IdempotencyWindow, Deadline: q.deadline,
		Remote: q.forwarding.remote, Returned: q.forwarding.returned}
	lacking := false
	for i := range q.Request.Shards {
		shard := q.Request.Shards[i].Shard
		offered.Shards = append(offered.Shards, shard)
		lacking = lacking || slices.Contains(g.unhealthyShards, shard)
	}
	if !q.forwarding.remote && !lacking {
		g.incoming.QueryShed(g.loop.since())
	}
	if !g.outgoing.Offer(offered, g.loop.since()) {
		return false
	}
	g.loop.admissionDone(q, query.Shed)
	q.forwarding.forwarded = true
	g.forwarded[q.id] = q
	g.loop.detach(q)
	g.execute()
	return true
}

// abandon forgets a forwarded query that nobody waits for any more.
func (g *siteGateway) abandon(q *activeQuery) {
	g.outgoing.Abandon(q.id)
	g.execute()
	g.forget(q, q.id)
}

// execute carries out what the forwarding decisions ask for.
func (g *siteGateway) execute() {
	for acts := g.outgoing.DrainActions(); len(acts) > 0; acts = g.outgoing.DrainActions() {
		for _, a := range acts {
			g.executeOne(g.forwarded[a.ID], a)
		}
	}
}

func (g *siteGateway) executeOne(q *activeQuery, a forwarding.Action) {
	switch a.Kind {
	case forwarding.Forward:
		if q == nil || g.conns[a.Link] == nil || !g.conns[a.Link].Ask(g.encode(q, a)) {
			g.outgoing.HandleResult(a.Link, a.ID, forwarding.Rejected, g.loop.since()) // it has not left
		}
	case forwarding.Cancel:
		if c := g.conns[a.Link]; c != nil {
			c.Cancel(a.ID)
		}
	case forwarding.Resubmit:
		g.resubmit(q, a)
	case forwarding.Shed:
		g.finish(q, a.ID, query.Result{Outcome: query.Shed, RetryAfter: max(q.forwarding.retryAfter, g.loop.retryAfterLimit())})
	case forwarding.Fail:
		g.finish(q, a.ID, query.Result{Outcome: query.Failed})
	case forwarding.Log:
		slog.Info("forwarding mode changed", "component", "gateway", "mode", a.Text)
	}
}

// finish gives a forwarded query its result.
func (g *siteGateway) finish(q *activeQuery, id uint64, r query.Result) {
	g.loop.deliverResult(q, r)
	g.forget(q, id)
}

// forget drops a forwarded query.
func (g *siteGateway) forget(q *activeQuery, id uint64) {
	q.done = true
	delete(g.forwarded, id)
	g.loop.release(q)
}

// resubmit submits a forwarded query to the router once more, as a new one with the time that is left.
func (g *siteGateway) resubmit(q *activeQuery, a forwarding.Action) {
	delete(g.forwarded, a.ID)
	q.forwarding.forwarded = false
	q.forwarding.returned = true
	q.forwarding.mayHaveRun = a.MayHaveRun
	if g.loop.hasCapacity(q) {
		g.loop.submit(q, a.RemainingTime)
		return
	}
	q.done = true
	g.loop.release(q)
	g.loop.stats().NoCapacity++
	g.loop.deliverResult(q, g.safeResult(q, g.loop.shedResult()))
}

// safeResult is the result of a query that is shed: one that may have run at another site can't promise that sending it again is harmless.
func (g *siteGateway) safeResult(q *activeQuery, r query.Result) query.Result {
	if r.Outcome == query.Shed && q.forwarding.mayHaveRun && g.loop.typeOf(q.Request).Idempotency != decision.Idempotent {
		return query.Result{Outcome: query.Failed}
	}
	return r
}

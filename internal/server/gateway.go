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
	statusInterval  = 200 * time.Millisecond // between updates of the status that heartbeats carry
	weightTolerance = 1e-4                   // by which sums of weights may fall short
)

// gatewayHost is what the gateway may use of the loop.
type gatewayHost interface {
	host
	receive(q *activeQuery)
	hasCapacity(q *activeQuery) bool
	capacity() (used, limit int)
	submit(q *activeQuery, left time.Duration)
	finishQuery(q *activeQuery)
	freeSlots(q *activeQuery)
	clearInFlight(q *activeQuery)
	deliverResult(q *activeQuery, r query.Result)
	shedResult() query.Result
	retryAfterLimit() time.Duration
	admissionDone(q *activeQuery, outcome query.Outcome)
	markSent(q *activeQuery)
	typeOf(r *query.Request) *decision.QueryType
	hasAvailableReplica(shard int) bool
}

// siteGateway is the extension for other sites: it offers queries that the router sheds to the forwarder, and receives queries that other
// sites forward. A query that came from another site is never forwarded.
type siteGateway struct {
	loop            gatewayHost
	outgoing        *forwarding.Forwarder
	incoming        *forwarding.Receiver
	links           *link.Links
	settings        *terms.Terms
	conns           []*link.Conn            // established links by peer
	forwarded       map[uint64]*activeQuery // by the ids that they had when they were forwarded
	remote          map[forwarding.Key]*remoteQuery
	nextStatus      time.Duration
	stopping        func() bool // a graceful shutdown is under way
	unhealthyShards []int       // those without an available replica
}

// forwardingState is the gateway's state of a query.
type forwardingState struct {
	remote     bool          // a broker of another site sent it
	forwarded  bool          // another site has it, and the router no longer does
	returned   bool          // it was forwarded, and came back without a result
	mayHaveRun bool          // it may have run at the other site
	retryAfter time.Duration // as the other site stated when it rejected the query
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

// shardAvailability is implemented by routers that report whether a shard has an available replica.
type shardAvailability interface{ HasAvailableReplica(shard int) bool }

// hasAvailableReplica reports whether the router has an available replica of a shard. A router that can't tell counts as having one.
func (l *loop) hasAvailableReplica(shard int) bool {
	r, ok := l.router.(shardAvailability)
	return !ok || r.HasAvailableReplica(shard)
}

// admissionDone tells admission that a query which it admitted has ended at this broker.
func (l *loop) admissionDone(q *activeQuery, outcome query.Outcome) {
	l.admission.done(q, outcome)
}

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

// tick applies the timeouts of forwarded queries, and updates the status that other sites are told.
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
		g.links.SetStatus(g.status(now), false)
	}
	return min(next, g.nextStatus)
}

// queryAccepted counts a client's query: the number of forwarded queries is bounded by a share of these.
func (g *siteGateway) queryAccepted() {
	if g != nil {
		g.outgoing.QueryAccepted()
	}
}

// offer forwards a query that the router sheds, if possible, and reports whether it did. The loop then keeps only the waiting client and the
// request id. A query with read pins is not forwarded, as only this site knows the positions that its reads need.
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
	g.loop.markSent(q)
	q.forwarding.forwarded = true
	g.forwarded[q.id] = q
	g.loop.freeSlots(q)
	g.execute()
	return true
}

// abandon cancels and forgets a forwarded query whose client no longer waits.
func (g *siteGateway) abandon(q *activeQuery) {
	g.outgoing.Abandon(q.id)
	g.execute()
	g.forget(q, q.id)
}

// execute carries out the forwarder's actions.
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
		if g.conns[a.Link] == nil || !g.conns[a.Link].Query(g.encode(q, a)) {
			g.outgoing.HandleNotSent(a.Link, a.ID, g.loop.since())
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

// finish delivers the result of a forwarded query and forgets it.
func (g *siteGateway) finish(q *activeQuery, id uint64, r query.Result) {
	g.loop.deliverResult(q, r)
	g.forget(q, id)
}

// forget removes a forwarded query that has ended.
func (g *siteGateway) forget(q *activeQuery, id uint64) {
	q.done = true
	delete(g.forwarded, id)
	g.loop.clearInFlight(q)
}

// resubmit submits a forwarded query to the router again, as a new query with the remaining time. Without capacity it is shed.
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
	g.loop.clearInFlight(q)
	g.loop.stats().NoCapacity++
	g.loop.deliverResult(q, g.safeResult(q, g.loop.shedResult()))
}

// safeResult returns r, or failed in place of shed if the query is not idempotent and may have run at another site: a client may send a
// query that was shed again, and this one could then run twice.
func (g *siteGateway) safeResult(q *activeQuery, r query.Result) query.Result {
	if r.Outcome == query.Shed && q.forwarding.mayHaveRun && g.loop.typeOf(q.Request).Idempotency != decision.Idempotent {
		return query.Result{Outcome: query.Failed}
	}
	return r
}

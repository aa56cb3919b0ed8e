package server

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/link"
)

// remoteQuery is a query that another site has forwarded to this one.
type remoteQuery struct {
	query  *activeQuery      // nil: it has ended
	conn   *link.Conn        // the link over which it came last; nil: that link is down
	result *link.CachedReply // nil: none is kept
}

// handleAcceptedLink handles an event of a link that another site has dialled.
func (g *siteGateway) handleAcceptedLink(e link.Event) {
	c := e.Conn
	origin := forwarding.Origin{Name: c.RemoteHello.Site + "/" + c.RemoteHello.Broker, Epoch: c.RemoteHello.Epoch}
	switch {
	case e.Up != nil:
		g.incoming.LinkOpened(origin, c.Serial)
		c.WakeWriter()
	case e.Query != nil:
		g.receive(c, forwarding.Key{Origin: origin, ID: e.Query.ID}, e.Query)
	case e.Cancel != nil:
		k := forwarding.Key{Origin: origin, ID: *e.Cancel}
		if r := g.remote[k]; r != nil && g.incoming.Cancel(k) {
			g.cancelRemote(r.query)
		}
	case e.Down != nil:
		g.incoming.LinkClosed(origin, c.Serial, g.loop.since())
		g.dropLink(c)
	}
}

// dropLink cancels the queries that came over a closed link, except those whose results may be requested over another one.
func (g *siteGateway) dropLink(c *link.Conn) {
	for k, r := range g.remote {
		if r.conn != c {
			continue
		}
		r.conn = nil
		if g.incoming.CancelledByLinkLoss(k) {
			g.cancelRemote(r.query)
		}
	}
}

// handleDialledLink handles an event of a link that this site has dialled.
func (g *siteGateway) handleDialledLink(e link.Event) {
	c, now := e.Conn, g.loop.since()
	peer := forwarding.LinkIndex(c.Peer)
	switch {
	case e.Up != nil:
		g.conns[c.Peer] = c
		g.outgoing.LinkUp(peer, e.Up.Epoch, e.Up.Credit, now)
	case e.Down != nil:
		g.conns[c.Peer] = nil
		g.outgoing.LinkDown(peer, e.Down.Unsent, now)
	case e.Heartbeat != nil:
		status := forwarding.Status{
			FreeShare:         e.Heartbeat.FreeCapacity,
			Shedding:          e.Heartbeat.IsShedding,
			Draining:          e.Heartbeat.IsDraining,
			UnavailableShards: e.Heartbeat.MissingShards,
		}
		g.outgoing.HandleStatus(peer, status, c.RTT(), now)
	case e.Reply != nil:
		g.handleRemoteResult(peer, e.Reply)
	}
}

// handleRemoteResult handles the other site's result of a forwarded query. The result is verified, like all input from outside.
func (g *siteGateway) handleRemoteResult(peer forwarding.LinkIndex, v *link.Reply) {
	q := g.forwarded[v.ID]
	if q == nil {
		return // it has been abandoned
	}
	result, outcome := query.Result{Outcome: query.Failed}, forwarding.Failed
	switch v.Kind {
	case link.Refused:
		outcome = forwarding.Rejected
		q.forwarding.retryAfter = time.Duration(v.RetryAfterMicros) * time.Microsecond
	case link.Answered:
		result = q.verifiedAnswer(v, g.loop.typeOf(q.Request))
		if result.Outcome == query.Answered {
			outcome = forwarding.Answered
		} else {
			slog.Warn("answer of another site rejected: it lacks what it claims", "component", "gateway", "query", q.Request.ID)
		}
	}
	if g.outgoing.HandleResult(peer, v.ID, outcome, g.loop.since()) {
		g.finish(q, v.ID, result)
	}
}

// verifiedAnswer returns the result that another site's answers make. The result is Failed if an answer is for a shard that was not requested
// or that already has one, or if the answers are less complete than they must be.
func (q *activeQuery) verifiedAnswer(v *link.Reply, t *decision.QueryType) query.Result {
	invalid := query.Result{Outcome: query.Failed}
	completeness, r := 0.0, query.Result{Outcome: query.Answered, Complete: v.IsComplete}
	for _, p := range v.ShardAnswers {
		at := slices.IndexFunc(q.Request.Shards, func(s query.ShardRequest) bool { return s.Shard == p.Shard })
		twice := slices.ContainsFunc(r.Answers, func(a query.ShardAnswer) bool { return a.Shard == p.Shard })
		if at < 0 || twice {
			return invalid
		}
		completeness += q.Request.Shards[at].Weight
		r.Answers = append(r.Answers, query.ShardAnswer{Shard: p.Shard, Value: p.Value})
	}
	if completeness < t.MinCompleteness-weightTolerance || v.IsComplete && completeness < t.FullCompleteness-weightTolerance {
		return invalid
	}
	return r
}

// receive handles a query of another site. If admitted, the loop runs it like any other, and its result is sent over the link.
func (g *siteGateway) receive(c *link.Conn, k forwarding.Key, in *link.Query) {
	now := g.loop.since()
	request, known := g.decode(in)
	if !known {
		slog.Warn("malformed query of another site rejected", "component", "gateway", "site", c.RemoteHello.Site, "query_type", in.Type,
			"tenant", in.Tenant)
		c.Reply(link.Reply{ID: in.ID, Kind: link.Refused})
		return
	}
	used, limit := g.loop.capacity()
	lacking := slices.ContainsFunc(request.Shards, func(s query.ShardRequest) bool { return slices.Contains(g.unhealthyShards, s.Shard) })
	load := forwarding.Load{Capacity: limit, Used: used, Draining: g.stopping(), ShardUnavailable: lacking}
	left := time.Duration(in.RemainingMicros) * time.Microsecond
	offered := forwarding.RemoteQuery{Key: k, Link: c.Serial, Idempotency: g.loop.typeOf(request).Idempotency,
		ShardRequests: len(request.Shards), RemainingTime: left}
	switch g.incoming.HandleQuery(offered, load, now) {
	case forwarding.Reject:
		c.Reply(link.Reply{ID: in.ID, Kind: link.Refused, RetryAfterMicros: g.loop.retryAfterLimit().Microseconds()})
	case forwarding.AlreadyRunning:
		g.remote[k].conn = c
	case forwarding.AlreadyEnded:
		if r := g.remote[k]; r != nil && r.result != nil {
			c.ReplyCached(r.result)
		}
	case forwarding.Admit:
		r := &remoteQuery{conn: c, query: &activeQuery{Request: request, deadline: now + left}}
		r.query.forwarding.remote = true
		r.query.onResult = func(result query.Result) { g.sendResult(k, r, result) }
		g.remote[k] = r
		g.loop.receive(r.query)
	}
}

// cancelRemote ends another site's query for which nobody waits any more.
func (g *siteGateway) cancelRemote(q *activeQuery) {
	if q.done {
		return
	}
	g.loop.post(decision.Event{Kind: decision.ClientDeparted, ID: q.id})
	g.loop.deliverResult(q, query.Result{Outcome: query.Failed})
	g.loop.finishQuery(q)
}

// encode returns the message that forwards a query.
func (g *siteGateway) encode(q *activeQuery, a forwarding.Action) link.Query {
	out := link.Query{ID: a.ID, Resent: a.Retry, RemainingMicros: a.RemainingTime.Microseconds(), Type: g.settings.Types[q.Type], ClientRetry: q.Retry,
		Request: q.Request.ID, Text: q.Text}
	if len(g.settings.Tenants) > 0 {
		out.Tenant = g.settings.Tenants[q.Tenant]
	}
	for i := range q.Request.Shards {
		out.ShardRequests = append(out.ShardRequests, link.ShardRequest{Shard: q.Request.Shards[i].Shard, Weight: q.Request.Shards[i].Weight})
	}
	return out
}

// decode returns the query in a message of another site. It returns false if this site does not know its type, tenant or shards, or if its
// id or its weights are invalid.
func (g *siteGateway) decode(in *link.Query) (*query.Request, bool) {
	t := g.settings
	r := &query.Request{
		ID:      in.Request,
		Type:    slices.Index(t.Types, in.Type),
		Retry:   in.ClientRetry,
		Text:    in.Text,
		Timeout: time.Duration(in.RemainingMicros) * time.Microsecond,
	}
	if len(t.Tenants) > 0 {
		r.Tenant = slices.Index(t.Tenants, in.Tenant)
	}
	if r.Type < 0 || r.Tenant < 0 || !query.ValidID(in.Request) {
		return nil, false
	}
	seen, sum := map[int]bool{}, 0.0
	for _, p := range in.ShardRequests {
		if p.Shard >= t.Shards || seen[p.Shard] {
			return nil, false
		}
		seen[p.Shard] = true
		sum += p.Weight
		r.Shards = append(r.Shards, query.ShardRequest{Name: query.ShardRequestName(in.Request, p.Shard), Shard: p.Shard, Weight: p.Weight})
	}
	return r, sum > 1-query.WeightTolerance && sum < 1+query.WeightTolerance
}

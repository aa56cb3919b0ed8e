package server

// This file owns the other side of the gateway: what comes over the links; a search of another site is handed to the module
// like any other. It must never forward one.

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/link"
)

// remoteQuery is a search of another site.
type remoteQuery struct {
	query  *search
	conn   *link.Conn // that asked last
	result *link.Verdict
}

// handleLink takes what happened on a link.
func (l *loop) handleLink(e link.Event) {
	g, c, now := l.gateway, e.Conn, l.since()
	if c.Peer >= 0 {
		l.handleDialledLink(e)
		l.executeForwarding()
		return
	}
	origin := forwarding.Origin{Name: c.Theirs.Site + "/" + c.Theirs.Broker, Epoch: c.Theirs.Epoch}
	switch {
	case e.Up != nil:
		g.incoming.Opened(origin, c.Serial)
		c.Say()
	case e.Ask != nil:
		l.receiveRemoteQuery(c, forwarding.Key{Origin: origin, ID: e.Ask.ID}, e.Ask)
	case e.Cancel != nil:
		k := forwarding.Key{Origin: origin, ID: *e.Cancel}
		if f := g.remote[k]; f != nil && g.incoming.Cancel(k) {
			l.cancelRemoteQuery(f.query)
		}
	case e.Down != nil:
		g.incoming.Closed(origin, c.Serial, now)
		for k, f := range g.remote {
			if f.conn == c {
				f.conn = nil
				if g.incoming.Cut(k) {
					l.cancelRemoteQuery(f.query)
				}
			}
		}
	}
}

// handleDialledLink takes what happened on a link that this side has dialled.
func (l *loop) handleDialledLink(e link.Event) {
	g, c, now := l.gateway, e.Conn, l.since()
	at := forwarding.Peer(c.Peer)
	switch {
	case e.Up != nil:
		g.conns[c.Peer] = c
		g.outgoing.Up(at, e.Up.Epoch, e.Up.Credit, now)
	case e.Down != nil:
		g.conns[c.Peer] = nil
		g.outgoing.Down(at, e.Down.Unsent, now)
	case e.Heard != nil:
		g.outgoing.Heard(at, forwarding.Status{Room: e.Heard.Room, Refusing: e.Heard.Refusing, Stopping: e.Heard.Stopping,
			Lacking: e.Heard.Lacking}, c.RTT(), now)
	case e.Verdict != nil:
		l.handleRemoteResult(at, e.Verdict)
	}
}

// handleRemoteResult takes the far side's verdict. It is checked like any other word from outside: an answer must hold what it claims.
func (l *loop) handleRemoteResult(at forwarding.Peer, v *link.Verdict) {
	g := l.gateway
	s := g.forwarded[v.ID]
	if s == nil {
		return // given up meanwhile
	}
	answer, how := query.Result{Outcome: query.Failed}, forwarding.Failed
	switch v.Kind {
	case link.Refused:
		how = forwarding.Refused
		s.remoteRetryAfter = time.Duration(v.After) * time.Microsecond
	case link.Answered:
		if answer = s.verifiedAnswer(v, &l.queryTypes[s.Type]); answer.Outcome == query.Answered {
			how = forwarding.Answered
		} else {
			slog.Warn("gateway: an answer from the other site does not hold what it claims", "search", s.Request.ID)
		}
	}
	if g.outgoing.Back(at, v.ID, how, l.since()) {
		l.finishForwarded(s, v.ID, answer)
	}
}

// verifiedAnswer makes a verdict of the pieces that came, if they are what they are said to be (rule 5).
func (s *search) verifiedAnswer(v *link.Verdict, t *decision.QueryType) query.Result {
	got, out := 0.0, query.Result{Outcome: query.Answered, Complete: v.Whole}
	for _, p := range v.Pieces {
		at := slices.IndexFunc(s.Request.Shards, func(a query.ShardRequest) bool { return a.Shard == p.Shard })
		if at < 0 || slices.ContainsFunc(out.Answers, func(o query.ShardAnswer) bool { return o.Shard == p.Shard }) {
			return query.Result{Outcome: query.Failed}
		}
		got += s.Request.Shards[at].Weight
		out.Answers = append(out.Answers, query.ShardAnswer{Shard: p.Shard, Value: p.Value})
	}
	if got < t.MinCompleteness-weightSumTolerance || v.Whole && got < t.FullCompleteness-weightSumTolerance {
		return query.Result{Outcome: query.Failed}
	}
	return out
}

// receiveRemoteQuery is the arrival of another site's search. It lives in the loop as any other; its verdict goes to the link.
func (l *loop) receiveRemoteQuery(c *link.Conn, k forwarding.Key, in *link.Ask) {
	g, now := l.gateway, l.since()
	a, known := g.decode(in)
	if !known {
		slog.Warn("gateway: a search of another site makes no sense here", "site", c.Theirs.Site, "type", in.Type,
			"tenant", in.Tenant)
		c.Verdict(link.Verdict{ID: in.ID, Kind: link.Refused})
		return
	}
	load := forwarding.Load{Places: l.maxInFlight, Taken: l.slotsUsed, Stopping: g.stopping(),
		Lacking: slices.ContainsFunc(a.Shards, func(p query.ShardRequest) bool { return slices.Contains(g.unhealthyShards, p.Shard) })}
	left := time.Duration(in.Left) * time.Microsecond
	switch g.incoming.Arrive(k, c.Serial, l.queryTypes[a.Type].Idempotency, len(a.Shards), left, load, now) {
	case forwarding.Turn:
		c.Verdict(link.Verdict{ID: in.ID, Kind: link.Refused, After: l.maxRetryAfter.Microseconds()})
	case forwarding.Join:
		g.remote[k].conn = c
	case forwarding.Repeat:
		if f := g.remote[k]; f != nil && f.result != nil {
			c.Verdict(*f.result)
		}
	case forwarding.Run:
		f := &remoteQuery{conn: c}
		f.query = &search{Request: a, deadline: now + left, remote: true}
		f.query.onResult = func(v query.Result) { l.sendRemoteResult(k, f, v) }
		g.remote[k] = f
		l.receive(f.query)
	}
}

// sendRemoteResult tells another site the verdict on its search.
func (l *loop) sendRemoteResult(k forwarding.Key, f *remoteQuery, v query.Result) {
	out := link.Verdict{ID: k.ID, Whole: v.Complete, After: v.RetryAfter.Microseconds(), Kind: link.Failed}
	switch v.Outcome {
	case query.Answered:
		out.Kind = link.Answered
		for _, p := range v.Answers {
			out.Pieces = append(out.Pieces, link.Piece{Shard: p.Shard, Value: p.Value})
		}
	case query.Shed:
		out.Kind = link.Refused // nothing of it has run, or it may be asked again
	}
	if f.conn != nil {
		f.conn.Verdict(out)
	}
	if l.gateway.incoming.Ended(k) {
		f.result = &out
	} else {
		delete(l.gateway.remote, k)
	}
}

// cancelRemoteQuery ends another site's search that nobody waits for.
func (l *loop) cancelRemoteQuery(s *search) {
	if !s.done {
		l.events = append(l.events, decision.Event{Kind: decision.ClientLeft, ID: s.id})
		l.deliverResult(s, query.Result{Outcome: query.Failed})
		l.finish(s)
	}
}

// decode reads a forwarded search; false: this site has no such type, tenant or shard.
func (g *siteGateway) decode(in *link.Ask) (*query.Request, bool) {
	t := g.settings
	a := &query.Request{ID: in.Request, Type: slices.Index(t.Types, in.Type), Retry: in.Repeat, Text: in.Text,
		Timeout: time.Duration(in.Left) * time.Microsecond}
	if len(t.Tenants) > 0 {
		a.Tenant = slices.Index(t.Tenants, in.Tenant)
	}
	if a.Type < 0 || a.Tenant < 0 || !query.ValidID(in.Request) {
		return nil, false
	}
	seen, sum := map[int]bool{}, 0.0
	for _, p := range in.Parts {
		if p.Shard >= t.Shards || seen[p.Shard] {
			return nil, false
		}
		seen[p.Shard] = true
		sum += p.Weight
		a.Shards = append(a.Shards, query.ShardRequest{Name: query.ShardRequestName(in.Request, p.Shard), Shard: p.Shard, Weight: p.Weight})
	}
	return a, sum > 1-query.WeightTolerance && sum < 1+query.WeightTolerance
}

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

// foreigner is a search of another site.
type foreigner struct {
	s       *search
	conn    *link.Conn // that asked last
	verdict *link.Verdict
}

// linked takes what happened on a link.
func (l *loop) linked(e link.Event) {
	g, c, now := l.gate, e.Conn, l.since()
	if c.Peer >= 0 {
		l.near(e)
		l.routed()
		return
	}
	origin := forwarding.Origin{Name: c.Theirs.Site + "/" + c.Theirs.Broker, Epoch: c.Theirs.Epoch}
	switch {
	case e.Up != nil:
		g.far.Opened(origin, c.Serial)
		c.Say()
	case e.Ask != nil:
		l.foreignAsk(c, forwarding.Key{Origin: origin, ID: e.Ask.ID}, e.Ask)
	case e.Cancel != nil:
		k := forwarding.Key{Origin: origin, ID: *e.Cancel}
		if f := g.foreign[k]; f != nil && g.far.Cancel(k) {
			l.callOff(f.s)
		}
	case e.Down != nil:
		g.far.Closed(origin, c.Serial, now)
		for k, f := range g.foreign {
			if f.conn == c {
				f.conn = nil
				if g.far.Cut(k) {
					l.callOff(f.s)
				}
			}
		}
	}
}

// near takes what happened on a link that this side has dialled.
func (l *loop) near(e link.Event) {
	g, c, now := l.gate, e.Conn, l.since()
	at := forwarding.Peer(c.Peer)
	switch {
	case e.Up != nil:
		g.conns[c.Peer] = c
		g.near.Up(at, e.Up.Epoch, e.Up.Credit, now)
	case e.Down != nil:
		g.conns[c.Peer] = nil
		g.near.Down(at, e.Down.Unsent, now)
	case e.Heard != nil:
		g.near.Heard(at, forwarding.Status{Room: e.Heard.Room, Refusing: e.Heard.Refusing, Stopping: e.Heard.Stopping,
			Lacking: e.Heard.Lacking}, c.RTT(), now)
	case e.Verdict != nil:
		l.back(at, e.Verdict)
	}
}

// back takes the far side's verdict. It is checked like any other word from outside: an answer must hold what it claims.
func (l *loop) back(at forwarding.Peer, v *link.Verdict) {
	g := l.gate
	s := g.abroad[v.ID]
	if s == nil {
		return // given up meanwhile
	}
	answer, how := query.Result{Outcome: query.Failed}, forwarding.Failed
	switch v.Kind {
	case link.Refused:
		how = forwarding.Refused
		s.after = time.Duration(v.After) * time.Microsecond
	case link.Answered:
		if answer = s.answerOf(v, &l.types[s.Type]); answer.Outcome == query.Answered {
			how = forwarding.Answered
		} else {
			slog.Warn("gateway: an answer from the other site does not hold what it claims", "search", s.Request.ID)
		}
	}
	if g.near.Back(at, v.ID, how, l.since()) {
		l.endAbroad(s, v.ID, answer)
	}
}

// answerOf makes a verdict of the pieces that came, if they are what they are said to be (rule 5).
func (s *search) answerOf(v *link.Verdict, t *decision.QueryType) query.Result {
	got, out := 0.0, query.Result{Outcome: query.Answered, Complete: v.Whole}
	for _, p := range v.Pieces {
		at := slices.IndexFunc(s.Request.Shards, func(a query.ShardRequest) bool { return a.Shard == p.Shard })
		if at < 0 || slices.ContainsFunc(out.Answers, func(o query.ShardAnswer) bool { return o.Shard == p.Shard }) {
			return query.Result{Outcome: query.Failed}
		}
		got += s.Request.Shards[at].Weight
		out.Answers = append(out.Answers, query.ShardAnswer{Shard: p.Shard, Value: p.Value})
	}
	if got < t.MinCompleteness-slip || v.Whole && got < t.FullCompleteness-slip {
		return query.Result{Outcome: query.Failed}
	}
	return out
}

// foreignAsk is the arrival of another site's search. It lives in the loop as any other; its verdict goes to the link.
func (l *loop) foreignAsk(c *link.Conn, k forwarding.Key, in *link.Ask) {
	g, now := l.gate, l.since()
	a, known := g.decode(in)
	if !known {
		slog.Warn("gateway: a search of another site makes no sense here", "site", c.Theirs.Site, "type", in.Type,
			"tenant", in.Tenant)
		c.Verdict(link.Verdict{ID: in.ID, Kind: link.Refused})
		return
	}
	load := forwarding.Load{Places: l.maxOpen, Taken: l.places, Stopping: g.stop(),
		Lacking: slices.ContainsFunc(a.Shards, func(p query.ShardRequest) bool { return slices.Contains(g.lacking, p.Shard) })}
	left := time.Duration(in.Left) * time.Microsecond
	switch g.far.Arrive(k, c.Serial, l.types[a.Type].Idempotency, len(a.Shards), left, load, now) {
	case forwarding.Turn:
		c.Verdict(link.Verdict{ID: in.ID, Kind: link.Refused, After: l.comeBack.Microseconds()})
	case forwarding.Join:
		g.foreign[k].conn = c
	case forwarding.Repeat:
		if f := g.foreign[k]; f != nil && f.verdict != nil {
			c.Verdict(*f.verdict)
		}
	case forwarding.Run:
		f := &foreigner{conn: c}
		f.s = &search{Request: a, deadline: now + left, foreign: true}
		f.s.onResult = func(v query.Result) { l.foreignEnd(k, f, v) }
		g.foreign[k] = f
		l.admit(f.s)
	}
}

// foreignEnd tells another site the verdict on its search.
func (l *loop) foreignEnd(k forwarding.Key, f *foreigner, v query.Result) {
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
	if l.gate.far.Ended(k) {
		f.verdict = &out
	} else {
		delete(l.gate.foreign, k)
	}
}

// callOff ends another site's search that nobody waits for.
func (l *loop) callOff(s *search) {
	if !s.over {
		l.events = append(l.events, decision.Event{Kind: decision.ClientLeft, ID: s.id})
		l.conclude(s, query.Result{Outcome: query.Failed})
		l.finish(s)
	}
}

// decode reads a forwarded search; false: this site has no such type, tenant or shard.
func (g *gateway) decode(in *link.Ask) (*query.Request, bool) {
	t := g.terms
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

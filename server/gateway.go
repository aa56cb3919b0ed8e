package server

// This file owns the loop's part of the gateway to other sites: what the module sheds is offered to the routes, what comes
// over a link is handed to the module like any other search. It must never forward a search that came from another site, or
// decide itself where one goes.

import (
	"log/slog"
	"slices"
	"time"

	"flaxfront/broker"
	"flaxfront/decide/routes"
	"flaxfront/link"
	"flaxfront/terms"
)

const (
	sayEvery = 200 * time.Millisecond // the status that heartbeats carry is made anew
	slip     = 1e-4                   // sums of weights may fall so far short
)

// gateway is the loop's part of it.
type gateway struct {
	near    *routes.Near
	far     *routes.Far
	links   *link.Links
	terms   *terms.Terms
	conns   []*link.Conn       // standing, by peer
	abroad  map[uint64]*search // by the id that they had when they left
	foreign map[routes.Key]*foreigner
	next    time.Duration // when the status is made anew
	stop    func() bool   // a planned stop is under way
	lacking []int         // shards without a sound holder
}

// foreigner is a search of another site.
type foreigner struct {
	s       *search
	conn    *link.Conn // that asked last
	verdict *link.Verdict
}

// sounding is a module that tells whether a shard has a sound holder.
type sounding interface{ Sound(shard int) bool }

func newGateway(p routes.Policy, names []string, links *link.Links, t *terms.Terms, stop func() bool) *gateway {
	return &gateway{near: routes.NewNear(p, names), far: routes.NewFar(p), links: links, terms: t, stop: stop,
		conns: make([]*link.Conn, len(names)), abroad: map[uint64]*search{}, foreign: map[routes.Key]*foreigner{}}
}

// offer tells whether a search that the module sheds goes abroad. The module has done with it; so has the loop, but for its
// client and its id.
func (l *loop) offer(s *search) bool {
	g := l.gate
	if g == nil {
		return false
	}
	r := routes.Search{ID: s.id, Effect: l.types[s.typ].Effect, Window: l.types[s.typ].Window, Due: s.deadline,
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
			case routes.Forward:
				if s == nil || g.conns[a.Peer] == nil || !g.conns[a.Peer].Ask(g.ask(s, a)) {
					g.near.Back(a.Peer, a.ID, routes.Refused, l.since()) // it has not left
				}
			case routes.Cancel:
				if c := g.conns[a.Peer]; c != nil {
					c.Cancel(a.ID)
				}
			case routes.Home:
				l.bringHome(s, a)
			case routes.Shed:
				l.endAbroad(s, a.ID, verdict{kind: shed, after: max(s.after, l.comeBack)})
			case routes.Fail:
				l.endAbroad(s, a.ID, verdict{kind: errored})
			case routes.Log:
				slog.Info("gateway", "mode", a.Text)
			}
		}
	}
}

// ask is a search as the link carries it.
func (g *gateway) ask(s *search, a routes.Act) link.Ask {
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
func (l *loop) endAbroad(s *search, id uint64, v verdict) {
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
func (l *loop) bringHome(s *search, a routes.Act) {
	delete(l.gate.abroad, a.ID)
	s.abroad, s.home, s.risk = false, true, a.Risk
	if l.places+1+len(s.ask.parts) > l.maxOpen {
		l.tally.InHand--
		s.over = true
		delete(l.ids, s.ask.id)
		l.tally.Full++
		l.conclude(s, s.shedding(verdict{kind: shed, after: l.comeBack}, l))
		return
	}
	l.enter(s, a.Left)
}

// shedding is the verdict on a search that is shed: one that may have run elsewhere can't say that asking again is harmless.
func (s *search) shedding(v verdict, l *loop) verdict {
	if v.kind == shed && s.risk && l.types[s.typ].Effect != broker.Idempotent {
		return verdict{kind: errored}
	}
	return v
}

// linked takes what happened on a link.
func (l *loop) linked(e link.Event) {
	g, c, now := l.gate, e.Conn, l.since()
	if c.Peer >= 0 {
		l.near(e)
		l.routed()
		return
	}
	origin := routes.Origin{Name: c.Theirs.Site + "/" + c.Theirs.Broker, Epoch: c.Theirs.Epoch}
	switch {
	case e.Up != nil:
		g.far.Opened(origin, c.Serial)
		c.Say()
	case e.Ask != nil:
		l.foreignAsk(c, routes.Key{Origin: origin, ID: e.Ask.ID}, e.Ask)
	case e.Cancel != nil:
		k := routes.Key{Origin: origin, ID: *e.Cancel}
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
	at := routes.Peer(c.Peer)
	switch {
	case e.Up != nil:
		g.conns[c.Peer] = c
		g.near.Up(at, e.Up.Epoch, e.Up.Credit, now)
	case e.Down != nil:
		g.conns[c.Peer] = nil
		g.near.Down(at, e.Down.Unsent, now)
	case e.Heard != nil:
		g.near.Heard(at, routes.Status{Room: e.Heard.Room, Refusing: e.Heard.Refusing, Stopping: e.Heard.Stopping,
			Lacking: e.Heard.Lacking}, c.RTT(), now)
	case e.Verdict != nil:
		l.back(at, e.Verdict)
	}
}

// back takes the far side's verdict. It is checked like any other word from outside: an answer must hold what it claims.
func (l *loop) back(at routes.Peer, v *link.Verdict) {
	g := l.gate
	s := g.abroad[v.ID]
	if s == nil {
		return // given up meanwhile
	}
	answer, how := verdict{kind: errored}, routes.Failed
	switch v.Kind {
	case link.Refused:
		how = routes.Refused
		s.after = time.Duration(v.After) * time.Microsecond
	case link.Answered:
		if answer = s.answerOf(v, &l.types[s.typ]); answer.kind == answered {
			how = routes.Answered
		} else {
			slog.Warn("gateway: an answer from the other site does not hold what it claims", "search", s.ask.id)
		}
	}
	if g.near.Back(at, v.ID, how, l.since()) {
		l.endAbroad(s, v.ID, answer)
	}
}

// answerOf makes a verdict of the pieces that came, if they are what they are said to be (rule 5).
func (s *search) answerOf(v *link.Verdict, t *broker.SearchType) verdict {
	got, out := 0.0, verdict{kind: answered, whole: v.Whole}
	for _, p := range v.Pieces {
		at := slices.IndexFunc(s.ask.parts, func(a askPart) bool { return a.shard == p.Shard })
		if at < 0 || slices.ContainsFunc(out.pieces, func(o piece) bool { return o.shard == p.Shard }) {
			return verdict{kind: errored}
		}
		got += s.ask.parts[at].weight
		out.pieces = append(out.pieces, piece{p.Shard, p.Value})
	}
	if got < t.Floor-slip || v.Whole && got < t.Need-slip {
		return verdict{kind: errored}
	}
	return out
}

// foreignAsk is the arrival of another site's search. It lives in the loop as any other; its verdict goes to the link.
func (l *loop) foreignAsk(c *link.Conn, k routes.Key, in *link.Ask) {
	g, now := l.gate, l.since()
	a, known := g.decode(in)
	if !known {
		slog.Warn("gateway: a search of another site makes no sense here", "site", c.Theirs.Site, "type", in.Type,
			"tenant", in.Tenant)
		c.Verdict(link.Verdict{ID: in.ID, Kind: link.Refused})
		return
	}
	load := routes.Load{Places: l.maxOpen, Taken: l.places, Stopping: g.stop(),
		Lacking: slices.ContainsFunc(a.parts, func(p askPart) bool { return slices.Contains(g.lacking, p.shard) })}
	left := time.Duration(in.Left) * time.Microsecond
	switch g.far.Arrive(k, c.Serial, l.types[a.typ].Effect, len(a.parts), left, load, now) {
	case routes.Turn:
		c.Verdict(link.Verdict{ID: in.ID, Kind: link.Refused, After: l.comeBack.Microseconds()})
	case routes.Join:
		g.foreign[k].conn = c
	case routes.Repeat:
		if f := g.foreign[k]; f != nil && f.verdict != nil {
			c.Verdict(*f.verdict)
		}
	case routes.Run:
		f := &foreigner{conn: c}
		f.s = &search{ask: a, deadline: now + left, foreign: true}
		f.s.to = func(v verdict) { l.foreignEnd(k, f, v) }
		g.foreign[k] = f
		l.admit(f.s)
	}
}

// foreignEnd tells another site the verdict on its search.
func (l *loop) foreignEnd(k routes.Key, f *foreigner, v verdict) {
	out := link.Verdict{ID: k.ID, Whole: v.whole, After: v.after.Microseconds(), Kind: link.Failed}
	switch v.kind {
	case answered:
		out.Kind = link.Answered
		for _, p := range v.pieces {
			out.Pieces = append(out.Pieces, link.Piece{Shard: p.shard, Value: p.value})
		}
	case shed:
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
		l.events = append(l.events, broker.Event{Kind: broker.Left, ID: s.id})
		l.conclude(s, verdict{kind: errored})
		l.finish(s)
	}
}

// decode reads a forwarded search; false: this site has no such type, tenant or shard.
func (g *gateway) decode(in *link.Ask) (*ask, bool) {
	t := g.terms
	a := &ask{id: in.Request, typ: slices.Index(t.Types, in.Type), repeat: in.Repeat, text: in.Text,
		timeout: time.Duration(in.Left) * time.Microsecond}
	if len(t.Tenants) > 0 {
		a.tenant = slices.Index(t.Tenants, in.Tenant)
	}
	if a.typ < 0 || a.tenant < 0 || !plainID(in.Request) {
		return nil, false
	}
	seen, sum := map[int]bool{}, 0.0
	for _, p := range in.Parts {
		if p.Shard >= t.Shards || seen[p.Shard] {
			return nil, false
		}
		seen[p.Shard] = true
		sum += p.Weight
		a.parts = append(a.parts, askPart{partName(in.Request, p.Shard), p.Shard, p.Weight})
	}
	return a, sum > 1-weightsSumSlip && sum < 1+weightsSumSlip
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
				if !m.Sound(shard) {
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
	Near  routes.NearCounts
	Far   routes.FarCounts
	Links []routes.PeerState
}

package play

// This file has the two policies that the router is compared with: random choice, and an oracle that reads the state of the simulated
// nodes, which no real broker can. Both respect idempotency and required completeness; neither hedges.

import (
	"math/rand/v2"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// predictFunc returns when a node would answer a shard request that is sent now; false: never.
type predictFunc func(id decision.NodeID, now time.Duration) (time.Duration, bool)

// baselineRouter is a router that keeps no state of nodes but the endpoint list.
type baselineRouter struct {
	settings    *decision.Settings
	rnd         *rand.Rand
	predict     predictFunc
	endpoints   map[decision.NodeID]decision.Endpoint
	nodesByCell [][]decision.NodeID
	queries     []*baselineQuery
	byID        map[uint64]*baselineQuery
	byRequest   map[uint64]*baselineQuery
	subscribed  bool
	subscribeAt time.Duration
}

type baselineQuery struct {
	id                 uint64
	typ                *decision.QueryType
	deadline, giveUpAt time.Duration // from deadline on, a partial result is the answer; at giveUpAt, the query ends
	requests           []baselineRequest
	ended              bool
	received           float64
}

type baselineRequest struct {
	id       uint64
	shard    int
	weight   float64
	attempts uint16
	out      int // attempts in flight
	answered bool
	failed   bool
}

func newBaselineRouter(settings decision.Settings, rnd *rand.Rand, predict predictFunc) *baselineRouter {
	return &baselineRouter{settings: &settings, rnd: rnd, predict: predict, endpoints: map[decision.NodeID]decision.Endpoint{}, nodesByCell: make([][]decision.NodeID, settings.Cells),
		byID: map[uint64]*baselineQuery{}, byRequest: map[uint64]*baselineQuery{}}
}

func (p *baselineRouter) Step(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action {
	if !p.subscribed && now >= p.subscribeAt {
		p.subscribed = true
		out = append(out, decision.Action{Kind: decision.SubscribeList})
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case decision.FullListReceived, decision.ListUpdateReceived:
			p.updateEndpoints(e)
		case decision.ListPollFailed:
			p.subscribed, p.subscribeAt = false, now+time.Second
		case decision.QueryReceived:
			queryType := &p.settings.QueryTypes[e.Type]
			s := &baselineQuery{id: e.ID, typ: queryType, deadline: now + min(queryType.LatencyObjective, e.RemainingTime) - 50*time.Millisecond, giveUpAt: now + e.RemainingTime - 15*time.Millisecond}
			p.queries = append(p.queries, s)
			p.byID[e.ID] = s
		case decision.ShardRequestReceived:
			s := p.queries[len(p.queries)-1]
			s.requests = append(s.requests, baselineRequest{id: e.ID, shard: e.Shard, weight: e.Weight})
			p.byRequest[e.ID] = s
		case decision.AttemptEnded:
			if s := p.byRequest[e.ID]; s != nil {
				k := &s.requests[slices.IndexFunc(s.requests, func(k baselineRequest) bool { return k.id == e.ID })]
				if k.out--; e.Outcome == decision.OK && !k.answered {
					k.answered, s.received = true, s.received+k.weight
				} else if e.Outcome != decision.Cancelled {
					notExecuted := e.Outcome == decision.Rejected || e.Outcome == decision.ConnectFailed || e.Outcome == decision.NeverSent
					k.failed = k.attempts >= 3 || !notExecuted && s.typ.Idempotency != decision.Idempotent
				}
			}
		case decision.ClientDeparted:
			if s := p.byID[e.ID]; s != nil {
				s.ended = true
			}
		}
	}
	next := now + time.Hour
	for _, s := range p.queries {
		if !s.ended {
			out = p.advance(s, now, out)
		}
		if !s.ended {
			next = min(next, s.giveUpAt)
			if s.deadline > now {
				next = min(next, s.deadline)
			}
		}
	}
	p.queries = slices.DeleteFunc(p.queries, func(s *baselineQuery) bool {
		if s.ended {
			delete(p.byID, s.id)
			for i := range s.requests {
				delete(p.byRequest, s.requests[i].id)
			}
		}
		return s.ended
	})
	if !p.subscribed {
		next = min(next, max(p.subscribeAt, now+1))
	}
	return append(out, decision.Action{Kind: decision.SetTimer, TimerAt: next})
}

func (p *baselineRouter) updateEndpoints(e *decision.Event) {
	if e.Kind == decision.FullListReceived {
		clear(p.endpoints)
	}
	for _, n := range e.Endpoints {
		if n.State == decision.Ready {
			p.endpoints[n.Node] = n
		} else {
			delete(p.endpoints, n.Node)
		}
	}
	for i := range p.nodesByCell {
		p.nodesByCell[i] = p.nodesByCell[i][:0]
	}
	for id, n := range p.endpoints {
		p.nodesByCell[n.Cell] = append(p.nodesByCell[n.Cell], id)
	}
	for i := range p.nodesByCell {
		slices.SortFunc(p.nodesByCell[i], func(a, b decision.NodeID) int {
			return slices.Compare(append(a.Addr[:], byte(a.Port>>8), byte(a.Port)), append(b.Addr[:], byte(b.Port>>8), byte(b.Port)))
		})
	}
}

// advance sends the attempts of a query that can be sent, and ends the query if its result is decided.
func (p *baselineRouter) advance(s *baselineQuery, now time.Duration, out []decision.Action) []decision.Action {
	reachable, anySent := s.received, false
	for i := range s.requests {
		k := &s.requests[i]
		if k.answered || k.failed || k.out > 0 {
			if !k.failed && !k.answered {
				reachable += k.weight
			}
			anySent = anySent || k.answered || k.out > 0
			continue
		}
		node, ok := p.chooseNode(s, k, now)
		if !ok {
			if p.predict != nil { // no node will answer in time at present
				k.failed = now+20*time.Millisecond > s.deadline || k.attempts > 0
			} else {
				k.failed = true
			}
			if !k.failed {
				reachable += k.weight
			}
			continue
		}
		reachable += k.weight
		k.out, k.attempts, anySent = k.out+1, k.attempts+1, true
		out = append(out, decision.Action{Kind: decision.SendAttempt, ID: k.id, Node: node})
	}
	finish := func(kind decision.ActionKind, complete bool) []decision.Action {
		s.ended = true
		out = append(out, decision.Action{Kind: kind, ID: s.id, Complete: complete, RetryAfter: 200 * time.Millisecond})
		for i := range s.requests {
			if k := &s.requests[i]; k.out > 0 {
				out = append(out, decision.Action{Kind: decision.CancelAttempt, ID: k.id, Attempt: k.attempts - 1})
			}
		}
		return out
	}
	const eps = 5e-5
	switch {
	case s.received >= s.typ.FullCompleteness-eps:
		return finish(decision.AnswerQuery, true)
	case s.received >= s.typ.MinCompleteness-eps && (now >= s.deadline || reachable-s.received < eps):
		return finish(decision.AnswerQuery, false)
	case reachable < s.typ.MinCompleteness-eps, now >= s.giveUpAt:
		if s.typ.Idempotency == decision.Idempotent && now < s.giveUpAt || !anySent && s.nothingSent() {
			return finish(decision.ShedQuery, false)
		}
		return finish(decision.FailQuery, false)
	}
	return out
}

func (s *baselineQuery) nothingSent() bool {
	return !slices.ContainsFunc(s.requests, func(k baselineRequest) bool { return k.attempts > 0 })
}

// chooseNode picks a random node that holds the shard. The oracle picks the node that answers first, if that is before the deadline.
func (p *baselineRouter) chooseNode(s *baselineQuery, k *baselineRequest, now time.Duration) (decision.NodeID, bool) {
	holders := p.nodesByCell[k.shard%p.settings.Cells]
	if len(holders) == 0 {
		return decision.NodeID{}, false
	}
	if p.predict == nil {
		return holders[p.rnd.IntN(len(holders))], true
	}
	best, at := decision.NodeID{}, never
	for _, id := range holders {
		if when, ok := p.predict(id, now); ok && when < at {
			best, at = id, when
		}
	}
	return best, at <= s.deadline
}

// predictAnswer is the oracle's predictFunc: it reads the simulated node itself.
func (w *world) predictAnswer(id decision.NodeID, now time.Duration) (time.Duration, bool) {
	n := w.byID[id]
	if n == nil || n.processDown || n.crashed || n.vanishCount > 0 || n.hangCount > 0 || len(n.queue) >= w.script.Fleet.Queue {
		return 0, false
	}
	if n.cold && n.now-n.startedAt < w.script.Fleet.WarmUpAfter { // stay below the load that crashes a node that is warming up, though its queue would take more
		possible := n.capacity() * float64(len(n.cores)) * float64(w.script.Fleet.CrashAfter)
		if float64(n.recentWorkSum) > 0.6*w.script.Fleet.CrashMultiple*possible {
			return 0, false
		}
	}
	work := time.Duration(0)
	for _, j := range n.queue {
		work += j.work
	}
	for _, j := range n.cores {
		if j != nil {
			work += j.work / 2
		}
	}
	own := w.script.Types[0].Work + w.script.Fleet.CallWork
	took := float64(work)/float64(len(n.cores)) + float64(own)
	return max(now, n.stalledUntil) + time.Duration(took/n.capacity()*w.schedule.Slow(n.n, now)) + 2*w.script.Network.CrossZoneDelay, true
}

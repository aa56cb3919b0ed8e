package routing_test

import (
	"fmt"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
)

const stepsOfSequence = 260

// openQuery is a query without a result.
type openQuery struct {
	id          uint64
	serial      float32
	queryType   int
	secondPhase bool
}

// sequence is one pseudo-random run of a router with a simulated store and clients.
type sequence struct {
	random              generator
	settings            decision.Settings
	router              *routing.Router
	digest              *digest
	now                 time.Duration
	tick                time.Duration // usual time between two steps
	maxArrivalsPerTick  int           // maximum number of queries that arrive in one tick
	conditionChangeOdds int           // one node in so many changes its condition when conditions change
	nodes               []*storeNode
	byID                map[decision.NodeID]*storeNode
	nodesStarted        int // number of nodes started so far
	serviceTime         time.Duration
	nextID              uint64
	serial              float32
	queries             []openQuery
	sent                map[uint64]uint16 // number of attempts of each shard request
	allowed             map[uint64]*decision.AllowedReplicas
	openAttempts        []openAttempt
	openHealthChecks    []openAttempt
	timerAt             time.Duration
	listAsked           bool
	events              []decision.Event
	actions             []decision.Action
}

// playSequence plays a sequence to its end and returns the digest of its actions.
func playSequence(number uint64) string {
	s := &sequence{
		random:  generator(number * 0x632be59bd9b4e019),
		digest:  newDigest(),
		byID:    map[decision.NodeID]*storeNode{},
		sent:    map[uint64]uint16{},
		allowed: map[uint64]*decision.AllowedReplicas{},
	}
	g := &s.random
	s.settings = randomSettings(g)
	s.router = routing.New(s.settings)
	s.tick = choose(g, 5*time.Millisecond, 20*time.Millisecond, 60*time.Millisecond, 250*time.Millisecond)
	s.maxArrivalsPerTick = choose(g, 1, 2, 4, 9)
	s.conditionChangeOdds = choose(g, 2, 5, 40)
	s.serviceTime = choose(g, 0, time.Millisecond, 8*time.Millisecond, 40*time.Millisecond)
	for range choose(g, 1, 4, 9, 18) {
		s.startNode()
	}
	s.fullList()
	for range stepsOfSequence {
		s.addArrivals()
		s.injectFaults()
		s.step()
	}
	inFlight, ejected := s.router.Snapshot()
	summary := fmt.Sprint(inFlight, ejected, s.router.HasAvailableReplica(0))
	for _, n := range s.nodes {
		summary += fmt.Sprint(s.router.IsAvailable(n.endpoint.Node))
	}
	s.digest.sum.Write([]byte(summary))
	return s.digest.String()
}

func (s *sequence) add(e decision.Event) { s.events = append(s.events, e) }

func (s *sequence) startNode() *storeNode {
	n := newStoreNode(&s.random, &s.settings, s.nodesStarted, s.serviceTime)
	s.nodesStarted++
	s.nodes = append(s.nodes, n)
	s.byID[n.endpoint.Node] = n
	return n
}

func (s *sequence) fullList() {
	s.add(decision.Event{Kind: decision.FullListReceived, Endpoints: s.endpoints()})
}

func (s *sequence) endpoints() []decision.Endpoint {
	var all []decision.Endpoint
	for _, n := range s.nodes {
		all = append(all, n.endpoint)
	}
	return all
}

// step advances the clock to the next timer or the next tick, passes what ended until then to the router and carries out its actions.
func (s *sequence) step() {
	g := &s.random
	until := s.now + s.settings.ClockStep + g.duration(2*s.tick)
	switch {
	case g.oneIn(150):
		until += g.duration(6 * time.Second)
	case s.timerAt > s.now && s.timerAt < until && !g.oneIn(6):
		until = s.timerAt
		s.add(decision.Event{Kind: decision.TimerFired})
	}
	s.now = until
	s.endAttempts()
	s.endHealthChecks()
	if s.listAsked && g.oneIn(4) {
		s.listAsked = false
		if g.oneIn(2) {
			s.add(decision.Event{Kind: decision.ListPollFailed})
		} else {
			s.fullList()
		}
	}
	s.actions = s.router.Step(s.now, s.events, s.actions[:0])
	s.digest.step(s.now, s.actions)
	s.events = s.events[:0]
	for i := range s.actions {
		s.carryOut(&s.actions[i])
	}
}

func (s *sequence) endAttempts() {
	remaining := s.openAttempts[:0]
	for _, a := range s.openAttempts {
		if a.endsAt > s.now {
			remaining = append(remaining, a)
			continue
		}
		if a.allowed != nil && a.outcome == decision.Stale && len(a.allowed.Nodes) > 0 {
			a.allowed.Nodes = a.allowed.Nodes[1:]
		}
		s.add(decision.Event{Kind: decision.AttemptEnded, ID: a.id, Attempt: a.number, Outcome: a.outcome, Node: a.node,
			Elapsed: min(a.endsAt, s.now) - a.sentAt})
	}
	s.openAttempts = remaining
}

func (s *sequence) endHealthChecks() {
	remaining := s.openHealthChecks[:0]
	for _, c := range s.openHealthChecks {
		if c.endsAt > s.now {
			remaining = append(remaining, c)
			continue
		}
		s.add(decision.Event{Kind: decision.HealthCheckEnded, Node: c.node, Outcome: c.outcome, Elapsed: c.endsAt - c.sentAt})
	}
	s.openHealthChecks = remaining
}

// carryOut carries out an action.
func (s *sequence) carryOut(a *decision.Action) {
	g := &s.random
	switch a.Kind {
	case decision.SendAttempt:
		out := openAttempt{id: a.ID, number: s.sent[a.ID], node: a.Node, sentAt: s.now, allowed: s.allowed[a.ID]}
		out.endsAt, out.outcome = s.byID[a.Node].attempt(g, s.now)
		s.sent[a.ID]++
		s.openAttempts = append(s.openAttempts, out)
	case decision.SendHealthCheck:
		out := openAttempt{node: a.Node, sentAt: s.now}
		out.endsAt, out.outcome = s.byID[a.Node].healthCheck(g, s.now)
		s.openHealthChecks = append(s.openHealthChecks, out)
	case decision.CancelAttempt:
		for i := range s.openAttempts {
			if o := &s.openAttempts[i]; o.id == a.ID && o.number == a.Attempt && !g.oneIn(10) {
				o.endsAt = s.now
				o.outcome = decision.Cancelled
			}
		}
	case decision.AnswerQuery, decision.ShedQuery, decision.FailQuery:
		s.finish(a)
	case decision.SetTimer:
		s.timerAt = a.TimerAt
	case decision.SubscribeList:
		s.listAsked = true
	}
}

// finish removes a query that has its result, or adds the shard requests of its second phase.
func (s *sequence) finish(a *decision.Action) {
	for i := range s.queries {
		q := s.queries[i]
		if q.id != a.ID {
			continue
		}
		s.queries = append(s.queries[:i], s.queries[i+1:]...)
		second := s.settings.QueryTypes[q.queryType].SecondPhaseRequests
		if a.Kind == decision.AnswerQuery && second > 0 && !q.secondPhase {
			q.secondPhase = true
			s.queries = append(s.queries, q)
			if !s.random.oneIn(30) {
				s.addShardRequests(q, second)
			}
		}
		return
	}
}

package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

const ms = time.Millisecond

// smallSettings returns the settings of a store with two cells.
func smallSettings() decision.Settings {
	return decision.Settings{Seed: 7, BrokerCount: 3, ClockStep: 5 * ms, Cells: 2, CellsPerShard: 1, MaxBatch: 1, OverQuotaWeight: 0.1,
		QueryTypes: []decision.QueryType{
			{LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1, LateWeight: 0.1, MinCompleteness: 1, FullCompleteness: 1},
			{LatencyObjective: 2 * time.Second, Timeout: 4 * time.Second, PriorityWeight: 2, MinCompleteness: 0.5, FullCompleteness: 1}},
		Tenants:       []decision.Tenant{{TrafficShare: 0.7, Quota: 100}, {TrafficShare: 0.3, Quota: 50}},
		CancelAllowed: true, HedgingAllowed: true, MaxRetryAfter: time.Second,
		MaxAttempts: 4, MaxInFlight: 10000, InitialCapacity: 0.3, WarmUpTime: 8 * time.Second, OverloadMultiple: 2}
}

func nodeID(i int) decision.NodeID { return decision.NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 9} }

// attemptKey identifies one attempt.
type attemptKey struct {
	id     uint64 // of the shard request
	number uint16
}

type sentAttempt struct {
	node decision.NodeID
	at   time.Duration
}

// openRequest is the rig's own record of a shard request.
type openRequest struct {
	query    uint64
	weight   float64
	answered bool
	ended    bool          // no further attempt may be sent
	ran      bool          // an attempt that has ended may have been executed
	ranAt    time.Duration // when the earliest such attempt was sent
	attempts uint16
	inFlight uint16
}

// openQuery is the rig's own record of a query.
type openQuery struct {
	queryType          int
	serial             float32
	due                time.Duration // the client's timeout
	secondPhase        bool
	firstPhaseComplete bool
	requests           []uint64
}

// rig drives one router with a minimal store and minimal clients. It keeps its own records and checks the router's actions against the
// rules at checkSend.
type rig struct {
	router           *Router
	settings         decision.Settings
	now              time.Duration
	nextID           uint64
	serial           float32
	events           []decision.Event
	actions          []decision.Action
	queries          map[uint64]*openQuery
	requests         map[uint64]*openRequest
	inFlight         map[attemptKey]sentAttempt
	order            []attemptKey // in the order of sending
	ready            map[decision.NodeID]bool
	sends            map[decision.NodeID][]time.Duration
	received         []time.Duration // when queries and shard requests arrived
	extraAttempts    []time.Duration // when extra attempts were sent
	polledAt         time.Duration
	violation        string            // the first violation of a rule
	healthChecks     []decision.NodeID // health checks in flight
	lastIDBeforeMove uint64            // the last id assigned before the shards moved
}

func newRig(settings decision.Settings, nodes int) *rig {
	r := &rig{settings: settings, router: New(settings), queries: map[uint64]*openQuery{}, requests: map[uint64]*openRequest{},
		inFlight: map[attemptKey]sentAttempt{}, ready: map[decision.NodeID]bool{}, sends: map[decision.NodeID][]time.Duration{}}
	var list []decision.Endpoint
	for i := range nodes {
		e := decision.Endpoint{Node: nodeID(i), Cell: i % settings.Cells, State: decision.Ready, StartedAt: decision.StartedLongAgo}
		list = append(list, e)
	}
	r.list(decision.FullListReceived, list...)
	r.step(0)
	return r
}

// recordViolation records the first violation of a rule, with the time.
func (r *rig) recordViolation(format string, args ...any) {
	if r.violation == "" {
		r.violation = fmt.Sprintf("%v: ", r.now) + fmt.Sprintf(format, args...)
	}
}

// list adds a full list or an update of the endpoint list to the events of the next step.
func (r *rig) list(kind decision.EventKind, entries ...decision.Endpoint) {
	if kind == decision.FullListReceived {
		clear(r.ready)
	}
	for _, e := range entries {
		r.ready[e.Node] = e.State == decision.Ready
	}
	r.events = append(r.events, decision.Event{Kind: kind, Endpoints: entries})
}

// query adds a query with shard requests of equal weight to the given shards to the events of the next step.
func (r *rig) query(queryType int, remainingTime time.Duration, shards ...int) uint64 {
	r.nextID++
	r.serial++
	id := r.nextID
	r.queries[id] = &openQuery{queryType: queryType, serial: r.serial}
	r.events = append(r.events, decision.Event{Kind: decision.QueryReceived, ID: id, Serial: r.serial, Type: queryType,
		RemainingTime: remainingTime, Weight: float64(len(shards))})
	r.addRequests(id, shards...)
	return id
}

func (r *rig) addRequests(query uint64, shards ...int) {
	q := r.queries[query]
	for _, shard := range shards {
		r.nextID++
		requestWeight := 1 / float64(len(shards))
		r.requests[r.nextID] = &openRequest{query: query, weight: requestWeight}
		q.requests = append(q.requests, r.nextID)
		r.events = append(r.events, decision.Event{Kind: decision.ShardRequestReceived, ID: r.nextID, Serial: q.serial,
			Shard: shard, Weight: requestWeight})
	}
}

// endAttempt adds the end of an attempt in flight to the events of the next step.
func (r *rig) endAttempt(k attemptKey, outcome decision.Outcome) {
	s, ok := r.inFlight[k]
	if !ok {
		return
	}
	delete(r.inFlight, k)
	sr := r.requests[k.id]
	sr.inFlight--
	neverRan := outcome == decision.Rejected || outcome == decision.ConnectFailed || outcome == decision.NeverSent
	if !neverRan && (!sr.ran || s.at < sr.ranAt) {
		sr.ran = true
		sr.ranAt = s.at
	}
	if outcome == decision.OK && !sr.ended {
		sr.answered = true
		sr.ended = true
	}
	r.events = append(r.events, decision.Event{Kind: decision.AttemptEnded, ID: k.id, Attempt: k.number, Outcome: outcome,
		Node: s.node, Elapsed: r.now - s.at})
}

// endAttempts ends the attempts that have been in flight for minAge or longer and whose node matches; nil matches every node.
func (r *rig) endAttempts(outcome decision.Outcome, minAge time.Duration, matches func(decision.NodeID) bool) {
	for _, k := range r.order {
		if s, ok := r.inFlight[k]; ok && r.now-s.at >= minAge && (matches == nil || matches(s.node)) {
			r.endAttempt(k, outcome)
		}
	}
}

func (r *rig) forget(id uint64) {
	for _, requestID := range r.queries[id].requests {
		r.requests[requestID].ended = true
	}
	delete(r.queries, id)
}

// step advances the clock, passes the collected events to the router and checks the actions that it returns.
func (r *rig) step(by time.Duration) []decision.Action {
	r.now += by
	for _, e := range r.events {
		if q := r.queries[e.ID]; e.Kind == decision.QueryReceived && q != nil {
			q.due = r.now + e.RemainingTime
		}
		if e.Kind == decision.QueryReceived || e.Kind == decision.ShardRequestReceived {
			r.received = append(r.received, r.now)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(k attemptKey) bool { _, ok := r.inFlight[k]; return !ok })
	r.actions = r.router.Step(r.now, r.events, r.actions[:0])
	r.events = r.events[:0]
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case decision.SendAttempt:
			r.checkSend(a)
		case decision.CancelAttempt:
			r.endAttempt(attemptKey{a.ID, a.Attempt}, decision.Cancelled)
		case decision.ShedQuery, decision.FailQuery, decision.AnswerQuery:
			r.checkFinal(a)
		case decision.SendHealthCheck:
			if slices.Contains(r.healthChecks, a.Node) {
				r.recordViolation("second health check sent to %v while the first is in flight", a.Node)
			}
			r.healthChecks = append(r.healthChecks, a.Node)
		case decision.SubscribeList:
			if r.now < r.polledAt+200*ms && r.now > 0 {
				r.recordViolation("endpoint list polled again after only %v", r.now-r.polledAt)
			}
			r.polledAt = r.now
		}
	}
	for id, q := range r.queries {
		if r.now > q.due+20*ms {
			r.recordViolation("rule 1: query %d has no result after its client's timeout", id)
		}
	}
	return r.actions
}

// endHealthChecks ends the health checks in flight whose node matches.
func (r *rig) endHealthChecks(outcome decision.Outcome, matches func(decision.NodeID) bool) {
	r.healthChecks = slices.DeleteFunc(r.healthChecks, func(id decision.NodeID) bool {
		ended := matches(id)
		if ended {
			r.events = append(r.events, decision.Event{Kind: decision.HealthCheckEnded, Node: id, Outcome: outcome, Elapsed: ms})
		}
		return ended
	})
}

func require(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// actionsOf returns the actions of a kind.
func actionsOf(actions []decision.Action, kind decision.ActionKind) []decision.Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a decision.Action) bool { return a.Kind != kind })
}

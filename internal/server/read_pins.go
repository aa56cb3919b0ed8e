package server

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/readpin"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// typicalReplicas is the number of eligible replicas per shard for which room is allocated in advance.
const typicalReplicas = 4

// readPinsHost is what read pins may use of the loop.
type readPinsHost interface {
	host
	findShardRequest(id uint64) (*activeQuery, int)
	retryAfterLimit() time.Duration
}

// readPinTracker is the extension for read hints. It decides which replicas a shard request may go to, checks whether an answer meets the
// hint, and adds to the result what the client is told about that. An answer that does not meet the hint does not count, unless the hint
// allows stale answers; the result then says so.
type readPinTracker struct {
	loop         readPinsHost
	positions    *readpin.Tracker
	config       readpin.Config
	ignoredHints atomic.Uint64
}

// pinnedQuery is the state of a query with a read hint.
type pinnedQuery struct {
	requirement   readpin.Requirement
	requests      []pinnedRequest
	eligibleAfter time.Duration // least time until each shard can have an eligible replica; 0: each has one
}

// pinnedRequest is the state of one shard request: the replicas that it may go to, what an answer must prove, and how the answer received
// was assessed.
type pinnedRequest struct {
	allowed    decision.AllowedReplicas
	required   readpin.Promise
	assessment readpin.Assessment
}

func newReadPinTracker(o *operator.ControlPlaneSettings, t *terms.Terms) *readPinTracker {
	c := readpin.DefaultConfig(t.Shards, t.Module.Cells, t.Module.CellsPerShard)
	c.ClockError = o.ClockError
	c.MaxDrift = o.Drift
	return &readPinTracker{positions: readpin.NewTracker(c), config: c}
}

// useReadPins attaches read pins to the loop.
func (l *loop) useReadPins(p *readPinTracker) {
	p.loop = l
	l.readPins = p
	l.extensions[readPinsExtension] = p
}

// handle serves and merges replicas' positions, and sets the agreed list over which pins are spread. The age of merged positions includes
// the time for which the message waited for the loop.
func (p *readPinTracker) handle(m message) bool {
	switch m := m.(type) {
	case positionsRequested:
		m.reply <- p.positions.EncodePositions(p.loop.since())
	case positionsReceived:
		now := p.loop.since()
		if err := p.positions.MergePositions(now, m.data, now-m.collectedAt); err != nil {
			slog.Debug("malformed positions rejected", "component", "read-pins", "error", err)
		}
	case epochAgreed:
		p.positions.SetEpoch(m.number, m.nodes)
	default:
		return false
	}
	return true
}

// tick does nothing: read pins have no timed work.
func (p *readPinTracker) tick(time.Duration) time.Duration { return notDue }

// ReadPinState is the state of read pins for operators: what became of hints.
type ReadPinState struct {
	readpin.Counts
	IgnoredHints uint64 `json:"Wrong"`
	Epoch        uint64
}

func (p *readPinTracker) report(c *QueryCounters) {
	c.ReadPins = &ReadPinState{p.positions.Counts, p.ignoredHints.Load(), p.positions.EpochNumber()}
}

// updateEndpoints tells read pins the full list of endpoints, or those that changed.
func (p *readPinTracker) updateEndpoints(full bool, endpoints []decision.Endpoint) {
	if p != nil {
		p.positions.UpdateEndpoints(p.loop.since(), full, endpoints)
	}
}

// pinQuery finds the eligible replicas of a query's shard requests. A shard request that has none goes to the router with none: the result is
// partial if the query type's minimum completeness allows that, else the query is shed with the time after which to retry.
func (p *readPinTracker) pinQuery(q *activeQuery) {
	if p == nil || q.Hint == nil {
		return
	}
	h, n := q.Hint, len(q.Request.Shards)
	pin := &pinnedQuery{
		requirement: readpin.Requirement{ReceivedAt: q.arrival, MaxStaleness: h.MaxStaleness, AllowStale: h.AllowStale},
		requests:    make([]pinnedRequest, n),
	}
	if h.Scope != readhint.ScopeNone {
		pin.requirement.Pin = readpin.HashPin(string(h.Scope), h.Key)
	}
	now := p.loop.since()
	nodes := make([]decision.NodeID, 0, typicalReplicas*n)
	for i := range q.Request.Shards {
		shard, from := q.Request.Shards[i].Shard, len(nodes)
		var eligibleAfter time.Duration
		nodes, pin.requests[i].required, eligibleAfter = p.positions.EligibleReplicas(now, shard, h.MinOffset(shard), &pin.requirement, nodes)
		pin.requests[i].allowed = decision.AllowedReplicas{Sticky: pin.requirement.Pin != 0, Nodes: nodes[from:len(nodes):len(nodes)]}
		pin.eligibleAfter = max(pin.eligibleAfter, eligibleAfter)
	}
	q.pin = pin
}

// allowedReplicas returns the replicas that a shard request may go to; nil: any.
func (q *activeQuery) allowedReplicas(i int) *decision.AllowedReplicas {
	if q.pin == nil {
		return nil
	}
	return &q.pin.requests[i].allowed
}

// attemptSent counts an attempt, and tags it with its query's pin.
func (p *readPinTracker) attemptSent(q *activeQuery, attempt *store.Subrequest, now time.Duration) {
	if p == nil {
		return
	}
	if q.pin != nil {
		attempt.ReadPin = q.pin.requirement.Pin
	}
	p.positions.AttemptSent(now, attempt.ReadPin, attempt.Node)
}

// attemptEnded records the position that an answer reports, and returns the attempt's outcome: Stale if the answer does not meet the hint and
// the hint does not allow stale answers.
func (p *readPinTracker) attemptEnded(attempt *store.Subrequest, outcome decision.Outcome, at time.Duration) decision.Outcome {
	if p == nil {
		return outcome
	}
	p.positions.AttemptEnded(attempt.ReadPin, attempt.Node)
	if outcome != decision.OK {
		return outcome
	}
	report, reported := readpin.ParseReport(attempt.Report)
	if reported {
		p.positions.Observe(at, attempt.Node, attempt.Shard, attempt.Sent, report)
	}
	q, i := p.loop.findShardRequest(attempt.Subrequest)
	if q == nil || q.pin == nil || q.requests[i].answered {
		return outcome
	}
	request := &q.pin.requests[i]
	assessment := p.positions.Assess(request.required, attempt.Sent, report, reported)
	if assessment.Fresh || q.pin.requirement.AllowStale {
		request.assessment = assessment
		return outcome
	}
	request.allowed.Nodes = slices.DeleteFunc(request.allowed.Nodes, func(id decision.NodeID) bool { return id == attempt.Node })
	q.pin.eligibleAfter = max(q.pin.eligibleAfter, p.config.RecheckInterval)
	return decision.Stale
}

// annotateResult adds to the result of a query with a hint what its client is told about the hint.
func (p *readPinTracker) annotateResult(q *activeQuery, r *query.Result) {
	if q.pin == nil {
		return
	}
	switch {
	case r.Outcome == query.Shed && r.RetryAfter > 0 && q.pin.eligibleAfter > 0 && q.lacksEligibleReplica():
		// The router's time depends on load alone; a replica may have caught up earlier or later.
		r.RetryAfter = min(q.pin.eligibleAfter, p.loop.retryAfterLimit())
	case r.Outcome == query.Answered:
		p.annotateAnswer(q, r)
	}
}

// lacksEligibleReplica reports whether an unanswered shard request has no eligible replica.
func (q *activeQuery) lacksEligibleReplica() bool {
	for i := range q.requests {
		if !q.requests[i].answered && len(q.pin.requests[i].allowed.Nodes) == 0 {
			return true
		}
	}
	return false
}

// annotateAnswer adds the positions and the staleness of the answers to a result.
func (p *readPinTracker) annotateAnswer(q *activeQuery, r *query.Result) {
	oldest, behind := p.loop.since(), []int{}
	for i := range q.requests {
		if !q.requests[i].answered {
			continue
		}
		assessment, shard := &q.pin.requests[i].assessment, q.Request.Shards[i].Shard
		oldest = min(oldest, assessment.AsOf)
		if assessment.Offset > 0 {
			r.Positions = append(r.Positions, readhint.Position{Shard: shard, Offset: assessment.Offset})
		}
		if !assessment.Fresh {
			behind = append(behind, shard)
		}
	}
	slices.SortFunc(r.Positions, func(a, b readhint.Position) int { return a.Shard - b.Shard })
	slices.Sort(behind)
	r.Hinted = true
	r.Behind = behind
	r.Staleness = readpin.UnknownAge
	if oldest != readpin.DistantPast {
		r.Staleness = p.positions.Staleness(p.loop.since(), oldest)
	}
}

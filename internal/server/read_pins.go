package server

// This file owns what a hint on reads changes on the way of a search: which holders its parts may go to, whether an answer keeps
// the promise, and what the client is told of it. Without fleet.pins nothing of it runs. It must never let a value count that does
// not show what its hint asks for, unless the hint is content with less and the answer says so.

import (
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

// readPinning is a broker's part in pinned reads.
type readPinning struct {
	positions    *readpin.Tracker
	config       readpin.Config
	ignoredHints atomic.Uint64 // hints that were ignored
}

// ReadPinState tells what became of hints.
type ReadPinState struct {
	readpin.Counts
	IgnoredHints uint64 `json:"Wrong"` // hints that were ignored
	Epoch        uint64
}

func newReadPinning(o *operator.Fleet, t *terms.Terms) *readPinning {
	c := readpin.DefaultConfig(t.Shards, t.Module.Cells, t.Module.CellsPerShard)
	c.ClockError, c.MaxDrift = o.ClockError, o.Drift
	return &readPinning{positions: readpin.NewTracker(c), config: c}
}

// pinnedQuery is what a search with a hint has beside.
type pinnedQuery struct {
	ask           readpin.Requirement
	requests      []pinnedRequest
	eligibleAfter time.Duration // no holder is eligible before
}

// pinnedRequest is who may be sent a part, what an answer must show, and what the one that is in has shown.
type pinnedRequest struct {
	allowed  decision.AllowedReplicas
	required readpin.Promise
	shown    readpin.Assessment
}

const usualReplicas = 4

// pinQuery finds the eligible holders of a search's parts. A part without one is given to the module with none: what the search's floor
// allows is answered without it, and else it is refused with the time to return.
func (l *loop) pinQuery(s *search) {
	h, n := s.Request.Hint, len(s.Request.Shards)
	q := &pinnedQuery{ask: readpin.Requirement{ReceivedAt: s.arrival, MaxStaleness: h.MaxStaleness, AllowStale: h.AllowStale}, requests: make([]pinnedRequest, n)}
	if h.Scope != readhint.ScopeNone {
		q.ask.Pin = readpin.HashPin(string(h.Scope), h.Key)
	}
	now, nodes := l.since(), make([]decision.NodeID, 0, usualReplicas*n)
	for i := range s.Request.Shards {
		shard, from := s.Request.Shards[i].Shard, len(nodes)
		var back time.Duration
		nodes, q.requests[i].required, back = l.readPins.positions.EligibleReplicas(now, shard, h.MinOffset(shard), &q.ask, nodes)
		q.requests[i].allowed = decision.AllowedReplicas{Sticky: q.ask.Pin != 0, Nodes: nodes[from:len(nodes):len(nodes)]}
		q.eligibleAfter = max(q.eligibleAfter, back)
	}
	s.pin = q
}

// allowedReplicas narrows the holders of a part; nil: any will do.
func (s *search) allowedReplicas(i int) *decision.AllowedReplicas {
	if s.pin == nil {
		return nil
	}
	return &s.pin.requests[i].allowed
}

// countPinnedAttempt counts a part that goes out.
func (l *loop) countPinnedAttempt(s *search, t *store.Part, now time.Duration) {
	if s.pin != nil {
		t.Tag = s.pin.ask.Pin
	}
	l.readPins.positions.AttemptSent(now, t.Tag, t.Node)
}

// pinnedAttemptEnded learns from an answer and tells what it counts as: one that does not keep its search's hint did not come.
func (l *loop) pinnedAttemptEnded(t *store.Part, how decision.Outcome, at time.Duration) decision.Outcome {
	book := l.readPins.positions
	book.AttemptEnded(t.Tag, t.Node)
	if how != decision.OK {
		return how
	}
	r, told := readpin.ParseReport(t.Report)
	if told {
		book.Observe(at, t.Node, t.Shard, t.Sent, r)
	}
	s, i := l.findShardRequest(t.Part)
	if s == nil || s.pin == nil || s.requests[i].answered {
		return how
	}
	shown := book.Assess(s.pin.requests[i].required, t.Sent, r, told)
	if shown.Fresh || s.pin.ask.AllowStale {
		s.pin.requests[i].shown = shown
		return how
	}
	o := &s.pin.requests[i].allowed
	o.Nodes = slices.DeleteFunc(o.Nodes, func(id decision.NodeID) bool { return id == t.Node })
	s.pin.eligibleAfter = max(s.pin.eligibleAfter, l.readPins.config.RecheckInterval)
	return decision.Stale
}

// annotateResult has a verdict say what its client has to know.
func (l *loop) annotateResult(s *search, v *query.Result) {
	switch {
	case s.pin == nil:
	case v.Outcome == query.Shed && v.RetryAfter > 0 && s.pin.eligibleAfter > 0 && s.lacksEligibleReplica():
		v.RetryAfter = min(s.pin.eligibleAfter, l.maxRetryAfter) // a replica may have come up by then; the module knows of crowds alone
	case v.Outcome == query.Answered:
		l.annotateAnswer(s, v)
	}
}

// lacksEligibleReplica tells whether a part lacks a holder that is fresh enough.
func (s *search) lacksEligibleReplica() bool {
	for i := range s.requests {
		if !s.requests[i].answered && len(s.pin.requests[i].allowed.Nodes) == 0 {
			return true
		}
	}
	return false
}

// annotateAnswer states the positions and the age of what is in.
func (l *loop) annotateAnswer(s *search, v *query.Result) {
	oldest, behind := l.since(), []int{}
	for i := range s.requests {
		if !s.requests[i].answered {
			continue
		}
		shown, shard := &s.pin.requests[i].shown, s.Request.Shards[i].Shard
		oldest = min(oldest, shown.AsOf)
		if shown.Offset > 0 {
			v.Positions = append(v.Positions, readhint.Position{Shard: shard, Offset: shown.Offset})
		}
		if !shown.Fresh {
			behind = append(behind, shard)
		}
	}
	slices.SortFunc(v.Positions, func(a, b readhint.Position) int { return a.Shard - b.Shard })
	slices.Sort(behind)
	v.Hinted, v.Behind, v.Staleness = true, behind, readpin.UnknownAge
	if oldest != readpin.DistantPast {
		v.Staleness = l.readPins.positions.Staleness(l.since(), oldest)
	}
}

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

// pinning is a broker's part in pinned reads.
type pinning struct {
	book   *readpin.Tracker
	config readpin.Config
	wrong  atomic.Uint64 // hints that were ignored
}

// ReadPinState tells what became of hints.
type ReadPinState struct {
	readpin.Counts
	Wrong uint64 // hints that were ignored
	Epoch uint64
}

func newPinning(o *operator.Fleet, t *terms.Terms) *pinning {
	c := readpin.DefaultConfig(t.Shards, t.Module.Cells, t.Module.CellsPerShard)
	c.ClockError, c.MaxDrift = o.ClockError, o.Drift
	return &pinning{book: readpin.NewTracker(c), config: c}
}

// pinned is what a search with a hint has beside.
type pinned struct {
	ask   readpin.Requirement
	parts []pinnedPart
	back  time.Duration // no holder is eligible before
}

// pinnedPart is who may be sent a part, what an answer must show, and what the one that is in has shown.
type pinnedPart struct {
	only  decision.AllowedReplicas
	must  readpin.Promise
	shown readpin.Assessment
}

const usualHolders = 4

// pin finds the eligible holders of a search's parts. A part without one is given to the module with none: what the search's floor
// allows is answered without it, and else it is refused with the time to return.
func (l *loop) pin(s *search) {
	h, n := s.Request.Hint, len(s.Request.Shards)
	q := &pinned{ask: readpin.Requirement{ReceivedAt: s.arrival, MaxStaleness: h.MaxStaleness, AllowStale: h.AllowStale}, parts: make([]pinnedPart, n)}
	if h.Scope != readhint.ScopeNone {
		q.ask.Pin = readpin.HashPin(string(h.Scope), h.Key)
	}
	now, nodes := l.since(), make([]decision.NodeID, 0, usualHolders*n)
	for i := range s.Request.Shards {
		shard, from := s.Request.Shards[i].Shard, len(nodes)
		var back time.Duration
		nodes, q.parts[i].must, back = l.pins.book.EligibleReplicas(now, shard, h.MinOffset(shard), &q.ask, nodes)
		q.parts[i].only = decision.AllowedReplicas{Sticky: q.ask.Pin != 0, Nodes: nodes[from:len(nodes):len(nodes)]}
		q.back = max(q.back, back)
	}
	s.pin = q
}

// only narrows the holders of a part; nil: any will do.
func (s *search) only(i int) *decision.AllowedReplicas {
	if s.pin == nil {
		return nil
	}
	return &s.pin.parts[i].only
}

// pinSent counts a part that goes out.
func (l *loop) pinSent(s *search, t *store.Part, now time.Duration) {
	if s.pin != nil {
		t.Tag = s.pin.ask.Pin
	}
	l.pins.book.AttemptSent(now, t.Tag, t.Node)
}

// pinEnded learns from an answer and tells what it counts as: one that does not keep its search's hint did not come.
func (l *loop) pinEnded(t *store.Part, how decision.Outcome, at time.Duration) decision.Outcome {
	book := l.pins.book
	book.AttemptEnded(t.Tag, t.Node)
	if how != decision.OK {
		return how
	}
	r, told := readpin.ParseReport(t.Report)
	if told {
		book.Observe(at, t.Node, t.Shard, t.Sent, r)
	}
	s, i := l.part(t.Part)
	if s == nil || s.pin == nil || s.parts[i].in {
		return how
	}
	shown := book.Assess(s.pin.parts[i].must, t.Sent, r, told)
	if shown.Fresh || s.pin.ask.AllowStale {
		s.pin.parts[i].shown = shown
		return how
	}
	o := &s.pin.parts[i].only
	o.Nodes = slices.DeleteFunc(o.Nodes, func(id decision.NodeID) bool { return id == t.Node })
	s.pin.back = max(s.pin.back, l.pins.config.RecheckInterval)
	return decision.Stale
}

// pinVerdict has a verdict say what its client has to know.
func (l *loop) pinVerdict(s *search, v *query.Result) {
	switch {
	case s.pin == nil:
	case v.Outcome == query.Shed && v.RetryAfter > 0 && s.pin.back > 0 && s.unheld():
		v.RetryAfter = min(s.pin.back, l.comeBack) // a replica may have come up by then; the module knows of crowds alone
	case v.Outcome == query.Answered:
		l.pinAnswer(s, v)
	}
}

// unheld tells whether a part lacks a holder that is fresh enough.
func (s *search) unheld() bool {
	for i := range s.parts {
		if !s.parts[i].in && len(s.pin.parts[i].only.Nodes) == 0 {
			return true
		}
	}
	return false
}

// pinAnswer states the positions and the age of what is in.
func (l *loop) pinAnswer(s *search, v *query.Result) {
	oldest, behind := l.since(), []int{}
	for i := range s.parts {
		if !s.parts[i].in {
			continue
		}
		shown, shard := &s.pin.parts[i].shown, s.Request.Shards[i].Shard
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
		v.Staleness = l.pins.book.Staleness(l.since(), oldest)
	}
}

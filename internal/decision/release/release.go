// Package release decides what a leader proposes next for the release that the ledger holds: permits, the next batch, a halt
// with its evidence, the way back. It compares what released brokers do with those not yet released, in the same time. It does no
// I/O and reads no clock; what it proposes the ledger may refuse, and it must never count on a proposal before the ledger has it.
//
//	p := release.New(settings, term, now)   // when Lead of this term was applied here: evidence starts anew
//	p.Take(report, now)                     // whenever a broker's counts come
//	entries, next := p.Next(state, now)     // to be proposed; call again at next, or when the ledger has moved
//
// Depends on decision/statemachine. Concurrency: nothing here locks or starts a goroutine; a value is used by one
// goroutine at a time.
package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// Settings of gates and pace.
type Settings struct {
	CompareWindow  time.Duration // counts are compared in windows of this
	ObserveTime    time.Duration // a new leader watches for so long before it lets anybody go
	WarmUpTime     time.Duration // what a broker does for so long after its return counts on no side
	OverdueAfter   time.Duration // one that is out for longer halts the release
	RetryInterval  time.Duration // a proposal of which nothing was seen is made again
	MinQueries     float64       // searches of the released that a batch must have been judged by, in this leader's evidence
	MinControls    int           // with fewer not yet released there is no comparison
	Tolerance      float64       // share of searches that may go wrong on top, without being called worse
	FalseAlarmRate float64       // chance of a false alarm in a release, over all gates and looks
	AutoRollback   bool          // a gate that fails takes the release back, without a word of the operator
}

// Defaults are settings for brokers with a hundred searches a second or more.
func Defaults() Settings {
	return Settings{CompareWindow: time.Second, ObserveTime: 3 * time.Second, WarmUpTime: 2 * time.Second, OverdueAfter: 5 * time.Minute, RetryInterval: 2 * time.Second,
		MinQueries: 1000, MinControls: 3, Tolerance: 0.005, FalseAlarmRate: 0.001}
}

// gateFailed opens the reason of a halt that a gate has made.
const gateFailed = "gate: "

// Planner is a leader's view of the release that runs. Its evidence dies with it.
type Planner struct {
	set     Settings
	term    uint64
	began   time.Duration
	sources map[Target]*source
	groups  []*group
	number  uint64 // of the release that the evidence is of
	window  time.Duration
	windows int
	since   map[Target]time.Duration // when a target was first seen as it stands
	stood   map[Target]statemachine.StepState
	asked   map[string]time.Duration // what was proposed, and when
	closed  time.Duration            // when the open batch was first seen finished
	batch   uint32
	failed  *GateResult
}

// NewPlanner is the planner of a leader whose Lead of this term was applied.
func NewPlanner(set Settings, term uint64, now time.Duration) *Planner {
	return &Planner{set: set, term: term, began: now, window: now, sources: map[Target]*source{}}
}

// RecordReport takes what a target counted since its start.
func (p *Planner) RecordReport(r Report, now time.Duration) {
	s := p.sources[r.Target]
	if s == nil || s.last.Incarnation != r.Incarnation || len(s.last.Classes) != len(r.Classes) {
		s = &source{mark: r} // what it did before it was heard of is no evidence of this leader's
		p.sources[r.Target] = s
	}
	s.last, s.heard, s.fresh = r, now, true
}

// FailedGate is the gate that failed, or nil.
func (p *Planner) FailedGate() *GateResult { return p.failed }

// reset starts the evidence of another release.
func (p *Planner) reset(number uint64, now time.Duration) {
	p.number, p.began, p.window, p.windows, p.failed = number, now, now, 0, nil
	p.groups, p.closed, p.batch = nil, -1, 0
	p.since, p.stood, p.asked = map[Target]time.Duration{}, map[Target]statemachine.StepState{}, map[string]time.Duration{}
	for _, s := range p.sources {
		s.mark = s.last
	}
}

// NextEntries returns what to propose now, and when to come again.
func (p *Planner) NextEntries(s *statemachine.State, now time.Duration) (propose []statemachine.Entry, next time.Duration) {
	next = now + p.set.CompareWindow/4
	r, ok := s.Release()
	if !ok {
		return nil, next
	}
	if _, term := s.Leader(); term != p.term {
		return nil, next // another leads, or this one's Lead is not applied yet
	}
	if r.Number != p.number {
		p.reset(r.Number, now)
	}
	if r.State == statemachine.ReleaseHalted && p.set.AutoRollback && r.RollbackOf == 0 && strings.HasPrefix(r.Reason, gateFailed) {
		return p.once(nil, &statemachine.RollBackRelease{Release: r.Number, Reason: r.Reason}, now), next
	}
	if r.State != statemachine.ReleaseRunning {
		p.window = now
		return nil, next
	}
	late := p.note(&r, now)
	if now-p.window >= p.set.CompareWindow {
		p.compare(s, &r, now)
	}
	switch {
	case p.failed != nil && r.Gates != "off":
		return p.once(nil, &statemachine.HaltRelease{Release: r.Number, Reason: gateFailed + p.failed.String()}, now), next
	case late != "":
		return p.once(nil, &statemachine.HaltRelease{Release: r.Number, Reason: late}, now), next
	case now-p.began < p.set.ObserveTime || !p.heard(s, &r):
		return nil, next
	}
	if p.finished(&r) {
		if p.closed < 0 {
			p.closed = now
		}
		if int(r.OpenBatch)+1 < len(r.Batches) && now-p.closed >= time.Duration(r.PauseMS)*time.Millisecond && p.judged(s, &r) {
			propose = p.once(propose, &statemachine.OpenNextBatch{Release: r.Number, Term: p.term, Batch: r.OpenBatch + 1}, now)
		}
		return propose, next
	}
	return p.permits(s, &r, now), next
}

// once proposes what was not proposed a while ago.
func (p *Planner) once(all []statemachine.Entry, e statemachine.Entry, now time.Duration) []statemachine.Entry {
	key := fmt.Sprintf("%T %v", e, e)
	if h, ok := e.(*statemachine.HaltRelease); ok {
		key = fmt.Sprint("halt ", h.Release)
	}
	if at, ok := p.asked[key]; ok && now-at < p.set.RetryInterval {
		return all
	}
	p.asked[key] = now
	return append(all, e)
}

// note keeps since when each step stands as it does, and tells what can't be waited for.
func (p *Planner) note(r *statemachine.Release, now time.Duration) (late string) {
	if r.OpenBatch != p.batch {
		p.batch, p.closed = r.OpenBatch, -1
	}
	for _, x := range r.Steps {
		t := target(r, x)
		if stood, ok := p.stood[t]; !ok || stood != x.State {
			p.stood[t], p.since[t] = x.State, now
		}
		switch {
		case x.State == statemachine.StepOut && now-p.since[t] > p.set.OverdueAfter:
			late = fmt.Sprintf("%v is out for longer than %v", name(t), p.set.OverdueAfter)
		case x.State == statemachine.StepFinished && x.Affected && !r.ForNodes && r.To != "" && x.Version != "" && x.Version != r.To:
			late = fmt.Sprintf("%v came back with version %s", name(t), x.Version)
		}
	}
	return late
}

func name(t Target) string {
	if t.ForNode {
		return fmt.Sprint("node ", t.Node)
	}
	return fmt.Sprint("broker of slot ", t.Slot)
}

func target(r *statemachine.Release, x statemachine.ReleaseStep) Target {
	return Target{Slot: x.Slot, ForNode: r.ForNodes, Node: x.Node}
}

// heard tells whether most of the targets' counts are known to this leader. Danger: one that sees a tenth of the tier lets go on
// what that tenth says.
func (p *Planner) heard(s *statemachine.State, r *statemachine.Release) bool {
	if r.Gates == "off" {
		return true
	}
	known, all := 0, 0
	for t := range p.present(s, r) {
		if all++; p.sources[t] != nil {
			known++
		}
	}
	return p.windows > 0 && known*10 >= all*9
}

// judged tells whether the released have been seen at work for long enough. Where too few are left to hold them against, or
// were from the start, nothing can be judged, and the pause alone counts.
func (p *Planner) judged(s *statemachine.State, r *statemachine.Release) bool {
	controls, released := 0, 0
	for _, side := range p.present(s, r) {
		switch side {
		case before:
			controls++
		case after:
			released++
		}
	}
	if r.Gates == "off" || r.RollbackOf > 0 || released == 0 || controls < p.set.MinControls {
		return true
	}
	asked := 0.0
	for _, g := range p.groups[:min(1, len(p.groups))] {
		for _, t := range g.tallies[MetricUnserved] {
			if t.side == after {
				asked += t.asked
			}
		}
	}
	return asked >= p.set.MinQueries
}

func (p *Planner) finished(r *statemachine.Release) bool {
	return !slices.ContainsFunc(r.Steps[:r.Batches[r.OpenBatch]], func(x statemachine.ReleaseStep) bool { return x.State != statemachine.StepFinished })
}

// permits proposes as many as there is room for, in the plan's order.
func (p *Planner) permits(s *statemachine.State, r *statemachine.Release, now time.Duration) (all []statemachine.Entry) {
	room := int(r.MaxOut)
	for _, x := range r.Steps[:r.Batches[r.OpenBatch]] {
		if x.State == statemachine.StepPermitted || x.State == statemachine.StepOut {
			room--
		}
	}
	for _, x := range r.Steps[:r.Batches[r.OpenBatch]] {
		if x.State != statemachine.StepPending || room <= 0 {
			continue
		}
		e := &statemachine.IssuePermit{Release: r.Number, Term: p.term, Slot: x.Slot, ForNode: r.ForNodes, Node: x.Node}
		if b, ok := s.Broker(x.Slot); ok && !r.ForNodes {
			e.Incarnation = b.Incarnation
		}
		if s.CheckPermit(e) == nil {
			room--
			all = p.once(all, e, now)
		}
	}
	return all
}

// sorted are keys in one order.
func sorted(m map[string]bool) []string { return slices.Sorted(maps.Keys(m)) }

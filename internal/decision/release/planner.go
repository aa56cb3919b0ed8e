package release

import (
	"fmt"
	"strings"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// gateReasonPrefix opens the reason of a halt that a gate has made. Leaders of other versions go by it.
const gateReasonPrefix = "gate: "

// notFinished is the time at which a batch that is not finished was finished.
const notFinished = -1

// Planner is a leader's view of the release that runs, with its evidence.
type Planner struct {
	settings        Settings
	term            uint64
	observingSince  time.Duration
	reports         map[Target]*reportedCounts
	groups          []*group
	releaseNumber   uint64 // that the evidence is of
	windowStart     time.Duration
	comparedWindows int
	stateSince      map[Target]time.Duration // when a target was first seen in the state it is in
	stepStates      map[Target]statemachine.StepState
	proposedAt      map[string]time.Duration
	batchFinishedAt time.Duration // when the open batch was first seen finished
	openBatch       uint32
	failedGate      *GateResult
}

// NewPlanner makes the planner of a leader whose LeaderElected of this term was applied.
func NewPlanner(settings Settings, term uint64, now time.Duration) *Planner {
	return &Planner{settings: settings, term: term, observingSince: now, windowStart: now, reports: map[Target]*reportedCounts{}}
}

// RecordReport records what a target counted since its start.
func (p *Planner) RecordReport(r Report, now time.Duration) {
	s := p.reports[r.Target]
	if s == nil || s.latest.Incarnation != r.Incarnation || len(s.latest.Classes) != len(r.Classes) {
		s = &reportedCounts{compared: r} // what it did before its first report is no evidence of this leader's
		p.reports[r.Target] = s
	}
	s.latest = r
	s.fresh = true
}

// FailedGate is the gate that failed, or nil.
func (p *Planner) FailedGate() *GateResult { return p.failedGate }

// reset starts the evidence of another release.
func (p *Planner) reset(number uint64, now time.Duration) {
	p.releaseNumber = number
	p.observingSince = now
	p.windowStart = now
	p.comparedWindows = 0
	p.failedGate = nil
	p.groups = nil
	p.batchFinishedAt = notFinished
	p.openBatch = 0
	p.stateSince = map[Target]time.Duration{}
	p.stepStates = map[Target]statemachine.StepState{}
	p.proposedAt = map[string]time.Duration{}
	for _, s := range p.reports {
		s.compared = s.latest
	}
}

// NextEntries is what to propose now, and when to call again.
func (p *Planner) NextEntries(s *statemachine.State, now time.Duration) (entries []statemachine.Entry, next time.Duration) {
	next = now + p.settings.CompareWindow/4
	r, ok := s.Release()
	if !ok {
		return nil, next
	}
	if _, term := s.Leader(); term != p.term {
		return nil, next // another leads, or this one's LeaderElected is not applied yet
	}
	if r.Number != p.releaseNumber {
		p.reset(r.Number, now)
	}
	if r.State == statemachine.ReleaseRunning {
		return p.advance(s, &r, now), next
	}
	if p.mustRollBack(&r) {
		return p.proposeOnce(nil, &statemachine.RollBackRelease{Release: r.Number, Reason: r.Reason}, now), next
	}
	p.windowStart = now
	return nil, next
}

// mustRollBack tells that a gate has halted a release which is to be taken back without an operator. A rollback is not taken back.
func (p *Planner) mustRollBack(r *statemachine.Release) bool {
	return r.State == statemachine.ReleaseHalted && p.settings.AutoRollback && r.RollbackOf == 0 &&
		strings.HasPrefix(r.Reason, gateReasonPrefix)
}

// advance is what to propose for a running release.
func (p *Planner) advance(s *statemachine.State, r *statemachine.Release, now time.Duration) []statemachine.Entry {
	problem := p.trackSteps(r, now)
	if now-p.windowStart >= p.settings.CompareWindow {
		p.compareWindow(s, r, now)
	}
	if p.failedGate != nil && r.Gates != gatesOff {
		problem = gateReasonPrefix + p.failedGate.String()
	}
	switch {
	case problem != "":
		return p.proposeOnce(nil, &statemachine.HaltRelease{Release: r.Number, Reason: problem}, now)
	case now-p.observingSince < p.settings.ObserveTime || !p.hasEnoughReports(s, r):
		return nil
	case !openBatchesFinished(r):
		return p.proposePermits(s, r, now)
	}
	if p.batchFinishedAt < 0 {
		p.batchFinishedAt = now
	}
	if !p.mayOpenNext(s, r, now) {
		return nil
	}
	return p.proposeOnce(nil, &statemachine.OpenNextBatch{Release: r.Number, Term: p.term, Batch: r.OpenBatch + 1}, now)
}

// mayOpenNext tells that there is a next batch, the pause is over, and the evidence suffices.
func (p *Planner) mayOpenNext(s *statemachine.State, r *statemachine.Release, now time.Duration) bool {
	pause := time.Duration(r.PauseMS) * time.Millisecond
	return int(r.OpenBatch)+1 < len(r.Batches) && now-p.batchFinishedAt >= pause && p.hasEnoughEvidence(s, r)
}

// proposeOnce adds an entry that was not proposed a moment ago.
func (p *Planner) proposeOnce(entries []statemachine.Entry, e statemachine.Entry, now time.Duration) []statemachine.Entry {
	key := fmt.Sprintf("%T %v", e, e)
	if halt, ok := e.(*statemachine.HaltRelease); ok { // whatever the reason
		key = fmt.Sprint("halt ", halt.Release)
	}
	if at, ok := p.proposedAt[key]; ok && now-at < p.settings.RetryInterval {
		return entries
	}
	p.proposedAt[key] = now
	return append(entries, e)
}

// trackSteps records since when each step is in its state, and tells what must halt the release: a target that is out for too long,
// or came back with a wrong version. "": nothing.
func (p *Planner) trackSteps(r *statemachine.Release, now time.Duration) (problem string) {
	if r.OpenBatch != p.openBatch {
		p.openBatch = r.OpenBatch
		p.batchFinishedAt = notFinished
	}
	for _, x := range r.Steps {
		t := targetOf(r, x)
		if state, known := p.stepStates[t]; !known || state != x.State {
			p.stepStates[t] = x.State
			p.stateSince[t] = now
		}
		switch {
		case x.State == statemachine.StepOut && now-p.stateSince[t] > p.settings.OverdueAfter:
			problem = fmt.Sprintf("%v is out for longer than %v", describeTarget(t), p.settings.OverdueAfter)
		case x.State == statemachine.StepFinished && hasWrongVersion(r, x):
			problem = fmt.Sprintf("%v came back with version %s", describeTarget(t), x.Version)
		}
	}
	return problem
}

func hasWrongVersion(r *statemachine.Release, x statemachine.ReleaseStep) bool {
	return x.Affected && !r.ForNodes && r.To != "" && x.Version != "" && x.Version != r.To
}

// hasEnoughReports tells whether nine tenths of the serving targets' counts are known to this leader: one that sees a tenth of the
// tier must not go by what that tenth says.
func (p *Planner) hasEnoughReports(s *statemachine.State, r *statemachine.Release) bool {
	if r.Gates == gatesOff {
		return true
	}
	serving := p.servingTargets(s, r)
	known := 0
	for t := range serving {
		if p.reports[t] != nil {
			known++
		}
	}
	return p.comparedWindows > 0 && known*10 >= len(serving)*9
}

// hasEnoughEvidence tells whether the released have been seen at work for long enough. Where too few controls are left, or were from
// the start, nothing can be compared, and the pause alone counts.
func (p *Planner) hasEnoughEvidence(s *statemachine.State, r *statemachine.Release) bool {
	controls := 0
	released := 0
	for _, side := range p.servingTargets(s, r) {
		switch side {
		case sideControl:
			controls++
		case sideReleased:
			released++
		}
	}
	if r.Gates == gatesOff || r.RollbackOf > 0 || released == 0 || controls < p.settings.MinControls {
		return true
	}
	return p.releasedQueries() >= p.settings.MinQueries
}

// releasedQueries is how many queries of the released the evidence has.
func (p *Planner) releasedQueries() (queries float64) {
	if len(p.groups) == 0 {
		return 0
	}
	for _, t := range p.groups[0].samples[MetricUnserved] {
		if t.side == sideReleased {
			queries += t.queries
		}
	}
	return queries
}

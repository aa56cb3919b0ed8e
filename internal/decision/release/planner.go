package release

import (
	"fmt"
	"strings"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// gateReasonPrefix begins the reason of a halt by a gate. Leaders of other versions recognize such halts by it, so it must not change.
const gateReasonPrefix = "gate: "

// notFinished is the batchFinishedAt of a batch that is not finished.
const notFinished = -1

// Planner is a leader's view of the current release and the evidence about it.
type Planner struct {
	settings        Settings
	term            uint64
	observingSince  time.Duration
	reports         map[Target]*reportedCounts
	groups          []*group
	releaseNumber   uint64 // the release that the evidence is about
	windowStart     time.Duration
	comparedWindows int
	stateSince      map[Target]time.Duration // when a target was first seen in its current state
	stepStates      map[Target]statemachine.StepState
	proposedAt      map[string]time.Duration // when an entry was last proposed, by its printed form
	batchFinishedAt time.Duration            // when the open batch was first seen finished
	openBatch       uint32
	failedGate      *GateResult
}

// NewPlanner returns the planner of a leader whose LeaderElected entry of this term has been applied.
func NewPlanner(settings Settings, term uint64, now time.Duration) *Planner {
	return &Planner{settings: settings, term: term, observingSince: now, windowStart: now, reports: map[Target]*reportedCounts{}}
}

// RecordReport records a target's counts since its start.
func (p *Planner) RecordReport(r Report, now time.Duration) {
	s := p.reports[r.Target]
	if s == nil || s.latest.Incarnation != r.Incarnation || len(s.latest.Classes) != len(r.Classes) {
		s = &reportedCounts{compared: r} // counts before its first report to this leader are no evidence
		p.reports[r.Target] = s
	}
	s.latest = r
	s.fresh = true
}

// FailedGate returns the result of the failed gate with the strongest evidence, or nil.
func (p *Planner) FailedGate() *GateResult { return p.failedGate }

// reset discards the evidence and starts that of another release.
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

// NextEntries returns the entries to propose now, and when to call again.
func (p *Planner) NextEntries(s *statemachine.State, now time.Duration) (entries []statemachine.Entry, next time.Duration) {
	next = now + p.settings.CompareWindow/4
	r, ok := s.Release()
	if !ok {
		return nil, next
	}
	if _, term := s.Leader(); term != p.term {
		return nil, next // another broker leads, or this leader's LeaderElected is not applied yet
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

// mustRollBack reports whether a gate has halted a release that is to be rolled back automatically. A rollback itself is not rolled back.
func (p *Planner) mustRollBack(r *statemachine.Release) bool {
	return r.State == statemachine.ReleaseHalted && p.settings.AutoRollback && r.RollbackOf == 0 &&
		strings.HasPrefix(r.Reason, gateReasonPrefix)
}

// advance returns the entries to propose for a running release.
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

// mayOpenNext reports whether there is a next batch, the pause is over, and there is enough evidence.
func (p *Planner) mayOpenNext(s *statemachine.State, r *statemachine.Release, now time.Duration) bool {
	pause := time.Duration(r.PauseMS) * time.Millisecond
	return int(r.OpenBatch)+1 < len(r.Batches) && now-p.batchFinishedAt >= pause && p.hasEnoughEvidence(s, r)
}

// proposeOnce appends an entry unless it was proposed less than RetryInterval ago.
func (p *Planner) proposeOnce(entries []statemachine.Entry, e statemachine.Entry, now time.Duration) []statemachine.Entry {
	key := fmt.Sprintf("%T %v", e, e)
	if halt, ok := e.(*statemachine.HaltRelease); ok { // the reason may differ
		key = fmt.Sprint("halt ", halt.Release)
	}
	if at, ok := p.proposedAt[key]; ok && now-at < p.settings.RetryInterval {
		return entries
	}
	p.proposedAt[key] = now
	return append(entries, e)
}

// trackSteps records since when each step has been in its state. It returns a problem that must halt the release, or "": a target has been
// out for too long, or has returned with a wrong version.
func (p *Planner) trackSteps(r *statemachine.Release, now time.Duration) (problem string) {
	if r.OpenBatch != p.openBatch {
		p.openBatch = r.OpenBatch
		p.batchFinishedAt = notFinished
	}
	for _, step := range r.Steps {
		t := targetOf(r, step)
		if state, known := p.stepStates[t]; !known || state != step.State {
			p.stepStates[t] = step.State
			p.stateSince[t] = now
		}
		switch {
		case step.State == statemachine.StepOut && now-p.stateSince[t] > p.settings.OverdueAfter:
			problem = fmt.Sprintf("%v is out for longer than %v", describeTarget(t), p.settings.OverdueAfter)
		case step.State == statemachine.StepFinished && hasWrongVersion(r, step):
			problem = fmt.Sprintf("%v came back with version %s", describeTarget(t), step.Version)
		}
	}
	return problem
}

func hasWrongVersion(r *statemachine.Release, step statemachine.ReleaseStep) bool {
	return step.Affected && !r.ForNodes && r.To != "" && step.Version != "" && step.Version != r.To
}

// hasEnoughReports reports whether this leader has compared a window and has counts of at least nine tenths of the serving targets: it must
// not decide on the counts of a small part of the tier. Without gates no reports are needed.
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

// hasEnoughEvidence reports whether the released targets have served enough queries. Without gates, in a rollback, and with too few controls
// to compare, no evidence is needed, and only the pause delays the next batch.
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

// releasedQueries returns how many queries of released targets are in the evidence.
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

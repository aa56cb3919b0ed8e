package release

import (
	"slices"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// openSteps returns the steps of the open batches.
func openSteps(r *statemachine.Release) []statemachine.ReleaseStep {
	return r.Steps[:r.Batches[r.OpenBatch]]
}

func openBatchesFinished(r *statemachine.Release) bool {
	return !slices.ContainsFunc(openSteps(r), func(x statemachine.ReleaseStep) bool { return x.State != statemachine.StepFinished })
}

// proposePermits returns the permits to propose, in the plan's order, as many as the plan's limit on targets out at once still allows.
func (p *Planner) proposePermits(s *statemachine.State, r *statemachine.Release, now time.Duration) (entries []statemachine.Entry) {
	left := int(r.MaxOut)
	for _, step := range openSteps(r) {
		if step.State == statemachine.StepPermitted || step.State == statemachine.StepOut {
			left--
		}
	}
	for _, step := range openSteps(r) {
		if step.State != statemachine.StepPending || left <= 0 {
			continue
		}
		e := &statemachine.IssuePermit{Release: r.Number, Term: p.term, Slot: step.Slot, ForNode: r.ForNodes, Node: step.Node}
		if b, ok := s.Broker(step.Slot); ok && !r.ForNodes {
			e.Incarnation = b.Incarnation
		}
		if s.CheckPermit(e) == nil {
			left--
			entries = p.proposeOnce(entries, e, now)
		}
	}
	return entries
}

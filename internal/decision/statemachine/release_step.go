package statemachine

import "slices"

// findStep returns the step of a target, or nil if the release has none.
func (r *Release) findStep(slot Slot, node NodeID) *ReleaseStep {
	for i := range r.Steps {
		step := &r.Steps[i]
		if r.ForNodes && step.Node == node || !r.ForNodes && step.Slot == slot {
			return step
		}
	}
	return nil
}

func isFinished(x ReleaseStep) bool { return x.State == StepFinished }

// finishIfComplete ends a running release whose steps are all finished.
func (r *Release) finishIfComplete() {
	unfinished := slices.ContainsFunc(r.Steps, func(x ReleaseStep) bool { return !isFinished(x) })
	if r.State == ReleaseRunning && !unfinished {
		r.State = ReleaseDone
	}
}

// returnStepToPending resets the step of a target whose permit was voided.
func (s *State) returnStepToPending(slot Slot, node NodeID) {
	r := s.release
	if r == nil {
		return
	}
	step := r.findStep(slot, node)
	if step == nil || step.State != StepPermitted {
		return
	}
	step.State = StepPending
	r.ChangedIndex = s.index
}

// markStepOut records that a target goes out with its permit.
func (s *State) markStepOut(r *Release, slot Slot, node NodeID) {
	step := r.findStep(slot, node)
	if step == nil {
		return
	}
	step.State = StepOut
	step.Affected = true
	r.ChangedIndex = s.index
}

// finishBrokerStep records in the release that a broker has returned.
func (s *State) finishBrokerStep(b *brokerRecord) {
	r := s.release
	if r == nil || r.ForNodes {
		return
	}
	step := r.findStep(b.Slot, NodeID{})
	if step == nil {
		return
	}
	hasTargetVersion := r.To != "" && r.To != r.From && b.Version == r.To
	switch {
	case step.State == StepOut && step.OutAtRollback && !hasTargetVersion:
		step.State = StepPending // it returned with the version being rolled back, so it must go out again
		step.OutAtRollback = false
	case step.State == StepOut, step.State == StepPending && hasTargetVersion:
		step.State = StepFinished
		step.Affected = true
		step.Version = b.Version
	}
	r.ChangedIndex = s.index
	r.finishIfComplete()
}

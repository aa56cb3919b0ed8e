package statemachine

import "slices"

// findStep is a target of the release.
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

// finishIfComplete ends a running release that has nothing left to do.
func (r *Release) finishIfComplete() {
	unfinished := slices.ContainsFunc(r.Steps, func(x ReleaseStep) bool { return !isFinished(x) })
	if r.State == ReleaseRunning && !unfinished {
		r.State = ReleaseDone
	}
}

// returnStepToPending takes a step back whose permit is void.
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

// markStepOut records that a target goes out by its permit.
func (s *State) markStepOut(r *Release, slot Slot, node NodeID) {
	step := r.findStep(slot, node)
	if step == nil {
		return
	}
	step.State = StepOut
	step.Affected = true
	r.ChangedIndex = s.index
}

// finishBrokerStep records the return of a broker in its release.
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
		step.State = StepPending // it came back with the version that is taken back: it goes out once more
		step.OutAtRollback = false
	case step.State == StepOut, step.State == StepPending && hasTargetVersion:
		step.State = StepFinished
		step.Affected = true
		step.Version = b.Version
	}
	r.ChangedIndex = s.index
	r.finishIfComplete()
}

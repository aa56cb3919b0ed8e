package statemachine

// A rollback is a release over all targets that another release affected, in one batch and under the same limits. A target that is out when
// the rollback begins keeps its used permit. A broker that then returns with the version being rolled back must go out again, as must a
// node, whose version is not known.
func (e *RollBackRelease) apply(s *State) (uint64, error) {
	old, err := s.releaseByNumber(e.Release)
	if err != nil {
		return 0, err
	}
	s.voidAllPermits()
	r := s.rollbackOf(old, e.Reason)
	s.moveUsedPermits(r.Number)
	s.release = r
	r.finishIfComplete()
	return r.Number, nil
}

// rollbackOf returns the rollback of a release.
func (s *State) rollbackOf(old *Release, reason string) *Release {
	r := &Release{
		Number:       s.index,
		ReleasePlan:  old.ReleasePlan,
		ForNodes:     old.ForNodes,
		RollbackOf:   old.Number,
		Reason:       reason,
		ChangedIndex: s.index,
	}
	r.From = old.To
	r.To = old.From
	r.Slots = nil
	r.Nodes = nil
	for _, oldStep := range old.Steps {
		b := s.findBroker(oldStep.Slot)
		if !oldStep.Affected || !r.ForNodes && b == nil {
			continue
		}
		r.Steps = append(r.Steps, r.rollbackStep(oldStep, b))
		if r.ForNodes {
			r.Nodes = append(r.Nodes, oldStep.Node)
		} else {
			r.Slots = append(r.Slots, oldStep.Slot)
		}
	}
	r.Batches = []uint32{uint32(len(r.Steps))}
	return r
}

// rollbackStep returns the step of a rollback for a step of the release being rolled back; b is nil for a node.
func (r *Release) rollbackStep(old ReleaseStep, b *brokerRecord) ReleaseStep {
	step := ReleaseStep{Slot: old.Slot, Node: old.Node}
	switch {
	case old.State == StepOut:
		step.State = StepOut
		step.Affected = true
		step.OutAtRollback = true
	case !r.ForNodes && b.Version == r.To && r.To != r.From && b.Status == BrokerServing:
		step.State = StepFinished
		step.Version = b.Version
	}
	return step
}

// moveUsedPermits assigns the remaining permits, which are the used ones, to another release.
func (s *State) moveUsedPermits(release uint64) {
	for _, b := range s.brokers {
		if b.releasePermit.Number > 0 {
			b.releasePermit.Release = release
		}
	}
	for _, n := range s.nodes {
		if n.releasePermit.Number > 0 {
			n.releasePermit.Release = release
			n.drain.Release = release
		}
	}
}

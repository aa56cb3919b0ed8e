package statemachine

import "slices"

func (e *ReleasePlan) apply(s *State) (uint64, error) {
	r := &Release{Number: s.index, ReleasePlan: *e, ForNodes: len(e.Nodes) > 0, ChangedIndex: s.index}
	size := uint32(len(e.Slots) + len(e.Nodes))
	if size == 0 || len(e.Slots) > 0 && r.ForNodes || e.MaxOut == 0 {
		return 0, refuse(ReasonInvalid, "%d brokers, %d nodes, most out at once %d", len(e.Slots), len(e.Nodes), e.MaxOut)
	}
	if last := s.release; last != nil && (last.State == ReleaseRunning ||
		slices.ContainsFunc(last.Steps, func(x ReleaseStep) bool { return x.State == StepOut })) {
		return 0, refuse(ReasonBusy, "release %d is %v", last.Number, last.State)
	}
	if len(e.Batches) == 0 {
		r.Batches = []uint32{size}
	}
	for i, b := range r.Batches {
		if b > size || i == 0 && b == 0 || i > 0 && b <= r.Batches[i-1] || i == len(r.Batches)-1 && b != size {
			return 0, refuse(ReasonInvalid, "batches must grow to %d: %v", size, e.Batches)
		}
	}
	for _, slot := range e.Slots {
		m := s.member(slot)
		if m == nil || r.step(slot, NodeID{}) != nil {
			return 0, refuse(ReasonInvalid, "slot %d is not known, or named twice", slot)
		}
		x := ReleaseStep{Slot: slot}
		if e.To != "" && e.To != e.From && m.Version == e.To && m.Status == BrokerServing {
			x.State, x.Version = StepFinished, m.Version // nothing to do
		}
		r.Steps = append(r.Steps, x)
	}
	for _, id := range e.Nodes {
		if n := s.node(id); n == nil || !n.listed || r.step(0, id) != nil {
			return 0, refuse(ReasonInvalid, "node %v is not in the list, or named twice", id)
		}
		r.Steps = append(r.Steps, ReleaseStep{Node: id})
	}
	s.release = r
	r.end()
	return r.Number, nil
}

func (e *OpenNextBatch) apply(s *State) (uint64, error) {
	if err := s.fenced(e.Term); err != nil {
		return 0, err
	}
	r, err := s.running(e.Release)
	if err != nil {
		return 0, err
	}
	if e.Batch != r.OpenBatch+1 || int(e.Batch) >= len(r.Batches) {
		return 0, refuse(ReasonStale, "batch %d, the open one is %d of %d", e.Batch, r.OpenBatch, len(r.Batches))
	}
	for _, x := range r.Steps[:r.Batches[r.OpenBatch]] {
		if x.State != StepFinished {
			return 0, refuse(ReasonWrongState, "a step of batch %d is %v", r.OpenBatch, x.State)
		}
	}
	r.OpenBatch, r.ChangedIndex = e.Batch, s.index
	return 0, nil
}

// revoke makes all permits void that were not used.
func (s *State) revoke() {
	for _, m := range s.brokers {
		s.void(m)
	}
	for _, n := range s.nodes {
		s.voidNode(n)
	}
}

func (e *HaltRelease) apply(s *State) (uint64, error) {
	r := s.release
	if r == nil || r.Number != e.Release {
		return 0, refuse(ReasonNotFound, "release %d", e.Release)
	}
	switch r.State {
	case ReleaseDone:
		return 0, refuse(ReasonWrongState, "release %d is %v; it can be taken back", e.Release, r.State)
	case ReleaseRunning:
		r.State, r.Reason, r.ChangedIndex = ReleaseHalted, e.Reason, s.index
		s.revoke()
	}
	return 0, nil
}

func (e *ResumeRelease) apply(s *State) (uint64, error) {
	r := s.release
	if r == nil || r.Number != e.Release {
		return 0, refuse(ReasonNotFound, "release %d", e.Release)
	}
	if r.State != ReleaseHalted {
		return 0, refuse(ReasonWrongState, "release %d is %v", e.Release, r.State)
	}
	r.State, r.Reason, r.ChangedIndex = ReleaseRunning, "", s.index
	r.end()
	return 0, nil
}

// Revert makes a release of the way back: over all that the release touched, in one batch, under its limits. What is out just
// now stays out by the permit it used; when it comes back with the version that is taken back it goes once more.
func (e *RollBackRelease) apply(s *State) (uint64, error) {
	old := s.release
	if old == nil || old.Number != e.Release {
		return 0, refuse(ReasonNotFound, "release %d", e.Release)
	}
	s.revoke()
	r := &Release{Number: s.index, ReleasePlan: old.ReleasePlan, ForNodes: old.ForNodes, RollbackOf: old.Number, Reason: e.Reason, ChangedIndex: s.index}
	r.From, r.To, r.Slots, r.Nodes = old.To, old.From, nil, nil
	for _, x := range old.Steps {
		m := s.member(x.Slot)
		if !x.Affected || !r.ForNodes && m == nil {
			continue
		}
		next := ReleaseStep{Slot: x.Slot, Node: x.Node}
		switch {
		case x.State == StepOut:
			next.State, next.Affected, next.OutAtRollback = StepOut, true, true
		case !r.ForNodes && m.Version == r.To && r.To != r.From && m.Status == BrokerServing:
			next.State, next.Version = StepFinished, m.Version
		}
		r.Steps = append(r.Steps, next)
		if r.ForNodes {
			r.Nodes = append(r.Nodes, x.Node)
		} else {
			r.Slots = append(r.Slots, x.Slot)
		}
	}
	r.Batches = []uint32{uint32(len(r.Steps))}
	for _, m := range s.brokers {
		if m.pass.Number > 0 {
			m.pass.Release = r.Number
		}
	}
	for _, n := range s.nodes {
		if n.pass.Number > 0 {
			n.pass.Release, n.drain.Release = r.Number, r.Number
		}
	}
	s.release = r
	r.end()
	return r.Number, nil
}

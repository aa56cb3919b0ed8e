package statemachine

import "slices"

func (e *ReleasePlan) apply(s *State) (uint64, error) {
	r := &Release{Number: s.index, ReleasePlan: *e, ForNodes: len(e.Nodes) > 0, ChangedIndex: s.index}
	size := uint32(len(e.Slots) + len(e.Nodes))
	if size == 0 || len(e.Slots) > 0 && r.ForNodes || e.MaxOut == 0 {
		return 0, reject(ReasonInvalid, "%d brokers, %d nodes, most out at once %d", len(e.Slots), len(e.Nodes), e.MaxOut)
	}
	if last := s.release; last != nil && last.isUnderWay() {
		return 0, reject(ReasonBusy, "release %d is %v", last.Number, last.State)
	}
	if len(e.Batches) == 0 {
		r.Batches = []uint32{size}
	}
	if !batchesIncreaseTo(size, r.Batches) {
		return 0, reject(ReasonInvalid, "batches must grow to %d: %v", size, e.Batches)
	}
	if err := s.addBrokerSteps(r); err != nil {
		return 0, err
	}
	if err := s.addNodeSteps(r); err != nil {
		return 0, err
	}
	s.release = r
	r.finishIfComplete()
	return r.Number, nil
}

// isUnderWay reports whether a release is running, or one of its targets is still out.
func (r *Release) isUnderWay() bool {
	return r.State == ReleaseRunning || slices.ContainsFunc(r.Steps, func(x ReleaseStep) bool { return x.State == StepOut })
}

// batchesIncreaseTo reports whether cumulative batch sizes are positive, strictly increasing, and end at size.
func batchesIncreaseTo(size uint32, batches []uint32) bool {
	last := uint32(0)
	for _, b := range batches {
		if b <= last || b > size {
			return false
		}
		last = b
	}
	return last == size
}

func (s *State) addBrokerSteps(r *Release) error {
	for _, slot := range r.Slots {
		b := s.findBroker(slot)
		if b == nil || r.findStep(slot, NodeID{}) != nil {
			return reject(ReasonInvalid, "slot %d is not known, or named twice", slot)
		}
		step := ReleaseStep{Slot: slot}
		if r.To != "" && r.To != r.From && b.Version == r.To && b.Status == BrokerServing { // already has the target version
			step.State = StepFinished
			step.Version = b.Version
		}
		r.Steps = append(r.Steps, step)
	}
	return nil
}

func (s *State) addNodeSteps(r *Release) error {
	for _, id := range r.Nodes {
		if n := s.findNode(id); n == nil || !n.listed || r.findStep(0, id) != nil {
			return reject(ReasonInvalid, "node %v is not in the list, or named twice", id)
		}
		r.Steps = append(r.Steps, ReleaseStep{Node: id})
	}
	return nil
}

// releaseByNumber returns the release of a number, in any state.
func (s *State) releaseByNumber(number uint64) (*Release, error) {
	if s.release == nil || s.release.Number != number {
		return nil, reject(ReasonNotFound, "release %d", number)
	}
	return s.release, nil
}

// runningRelease returns the release of a number if it is running; only then are its permits valid.
func (s *State) runningRelease(number uint64) (*Release, error) {
	r, err := s.releaseByNumber(number)
	if err != nil {
		return nil, err
	}
	if r.State != ReleaseRunning {
		return nil, reject(ReasonWrongState, "release %d is %v", number, r.State)
	}
	return r, nil
}

func (e *OpenNextBatch) apply(s *State) (uint64, error) {
	if err := s.checkTerm(e.Term); err != nil {
		return 0, err
	}
	r, err := s.runningRelease(e.Release)
	if err != nil {
		return 0, err
	}
	if e.Batch != r.OpenBatch+1 || int(e.Batch) >= len(r.Batches) {
		return 0, reject(ReasonStale, "batch %d, the open one is %d of %d", e.Batch, r.OpenBatch, len(r.Batches))
	}
	for _, x := range r.Steps[:r.Batches[r.OpenBatch]] {
		if !isFinished(x) {
			return 0, reject(ReasonWrongState, "a step of batch %d is %v", r.OpenBatch, x.State)
		}
	}
	r.OpenBatch = e.Batch
	r.ChangedIndex = s.index
	return 0, nil
}

func (e *HaltRelease) apply(s *State) (uint64, error) {
	r, err := s.releaseByNumber(e.Release)
	if err != nil {
		return 0, err
	}
	switch r.State {
	case ReleaseDone:
		return 0, reject(ReasonWrongState, "release %d is %v; it can be taken back", e.Release, r.State)
	case ReleaseRunning:
		r.State = ReleaseHalted
		r.Reason = e.Reason
		r.ChangedIndex = s.index
		s.voidAllPermits()
	}
	return 0, nil
}

func (e *ResumeRelease) apply(s *State) (uint64, error) {
	r, err := s.releaseByNumber(e.Release)
	if err != nil {
		return 0, err
	}
	if r.State != ReleaseHalted {
		return 0, reject(ReasonWrongState, "release %d is %v", e.Release, r.State)
	}
	r.State = ReleaseRunning
	r.Reason = ""
	r.ChangedIndex = s.index
	r.finishIfComplete()
	return 0, nil
}

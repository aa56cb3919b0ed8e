package statemachine

import "slices"

func (e *Plan) apply(s *State) (uint64, error) {
	r := &Release{Number: s.index, Plan: *e, OnNodes: len(e.Nodes) > 0, Changed: s.index}
	size := uint32(len(e.Slots) + len(e.Nodes))
	if size == 0 || len(e.Slots) > 0 && r.OnNodes || e.Most == 0 {
		return 0, refuse(Wrong, "%d brokers, %d nodes, most out at once %d", len(e.Slots), len(e.Nodes), e.Most)
	}
	if last := s.release; last != nil && (last.Course == Running ||
		slices.ContainsFunc(last.Steps, func(x Step) bool { return x.Stage == Used })) {
		return 0, refuse(Busy, "release %d is %v", last.Number, last.Course)
	}
	if len(e.Batches) == 0 {
		r.Batches = []uint32{size}
	}
	for i, b := range r.Batches {
		if b > size || i == 0 && b == 0 || i > 0 && b <= r.Batches[i-1] || i == len(r.Batches)-1 && b != size {
			return 0, refuse(Wrong, "batches must grow to %d: %v", size, e.Batches)
		}
	}
	for _, slot := range e.Slots {
		m := s.member(slot)
		if m == nil || r.step(slot, NodeID{}) != nil {
			return 0, refuse(Wrong, "slot %d is not known, or named twice", slot)
		}
		x := Step{Slot: slot}
		if e.To != "" && e.To != e.From && m.Version == e.To && m.Standing == In {
			x.Stage, x.Version = Finished, m.Version // nothing to do
		}
		r.Steps = append(r.Steps, x)
	}
	for _, id := range e.Nodes {
		if n := s.node(id); n == nil || !n.listed || r.step(0, id) != nil {
			return 0, refuse(Wrong, "node %v is not in the list, or named twice", id)
		}
		r.Steps = append(r.Steps, Step{Node: id})
	}
	s.release = r
	r.end()
	return r.Number, nil
}

func (e *Advance) apply(s *State) (uint64, error) {
	if err := s.fenced(e.Term); err != nil {
		return 0, err
	}
	r, err := s.running(e.Release)
	if err != nil {
		return 0, err
	}
	if e.Batch != r.Batch+1 || int(e.Batch) >= len(r.Batches) {
		return 0, refuse(Stale, "batch %d, the open one is %d of %d", e.Batch, r.Batch, len(r.Batches))
	}
	for _, x := range r.Steps[:r.Batches[r.Batch]] {
		if x.Stage != Finished {
			return 0, refuse(Over, "a step of batch %d is %v", r.Batch, x.Stage)
		}
	}
	r.Batch, r.Changed = e.Batch, s.index
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

func (e *Halt) apply(s *State) (uint64, error) {
	r := s.release
	if r == nil || r.Number != e.Release {
		return 0, refuse(Absent, "release %d", e.Release)
	}
	switch r.Course {
	case Done:
		return 0, refuse(Over, "release %d is %v; it can be taken back", e.Release, r.Course)
	case Running:
		r.Course, r.Reason, r.Changed = Halted, e.Reason, s.index
		s.revoke()
	}
	return 0, nil
}

func (e *Resume) apply(s *State) (uint64, error) {
	r := s.release
	if r == nil || r.Number != e.Release {
		return 0, refuse(Absent, "release %d", e.Release)
	}
	if r.Course != Halted {
		return 0, refuse(Over, "release %d is %v", e.Release, r.Course)
	}
	r.Course, r.Reason, r.Changed = Running, "", s.index
	r.end()
	return 0, nil
}

// Revert makes a release of the way back: over all that the release touched, in one batch, under its limits. What is out just
// now stays out by the permit it used; when it comes back with the version that is taken back it goes once more.
func (e *Revert) apply(s *State) (uint64, error) {
	old := s.release
	if old == nil || old.Number != e.Release {
		return 0, refuse(Absent, "release %d", e.Release)
	}
	s.revoke()
	r := &Release{Number: s.index, Plan: old.Plan, OnNodes: old.OnNodes, BackOf: old.Number, Reason: e.Reason, Changed: s.index}
	r.From, r.To, r.Slots, r.Nodes = old.To, old.From, nil, nil
	for _, x := range old.Steps {
		m := s.member(x.Slot)
		if !x.Touched || !r.OnNodes && m == nil {
			continue
		}
		next := Step{Slot: x.Slot, Node: x.Node}
		switch {
		case x.Stage == Used:
			next.Stage, next.Touched, next.Carried = Used, true, true
		case !r.OnNodes && m.Version == r.To && r.To != r.From && m.Standing == In:
			next.Stage, next.Version = Finished, m.Version
		}
		r.Steps = append(r.Steps, next)
		if r.OnNodes {
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

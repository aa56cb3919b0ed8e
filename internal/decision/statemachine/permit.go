package statemachine

import "slices"

// step is a target of the release.
func (r *Release) step(slot Slot, node NodeID) *ReleaseStep {
	for i := range r.Steps {
		if x := &r.Steps[i]; r.ForNodes && x.Node == node || !r.ForNodes && x.Slot == slot {
			return x
		}
	}
	return nil
}

// end closes a running release that has nothing left to do.
func (r *Release) end() {
	if r.State == ReleaseRunning && !slices.ContainsFunc(r.Steps, func(x ReleaseStep) bool { return x.State != StepFinished }) {
		r.State = ReleaseDone
	}
}

// running is the release of a number, if permits of it are good.
func (s *State) running(number uint64) (*Release, error) {
	switch r := s.release; {
	case r == nil || r.Number != number:
		return nil, refuse(ReasonNotFound, "release %d", number)
	case r.State != ReleaseRunning:
		return nil, refuse(ReasonWrongState, "release %d is %v", number, r.State)
	default:
		return r, nil
	}
}

// counts is how many are out, over the tier and in a zone: gone by a permit or without one, not back yet, or about to go.
func (s *State) counts(zone string) (tier, here uint32) {
	for _, m := range s.brokers {
		if m.HasServed && m.Status != BrokerServing || m.pass.Number > 0 {
			tier++
			if m.Zone == zone {
				here++
			}
		}
	}
	return tier, here
}

func (s *State) nodeCounts(zone string) (tier, here uint32) {
	for _, n := range s.nodes {
		if n.listed && !n.ready() {
			tier++
			if n.Zone == zone {
				here++
			}
		}
	}
	return tier, here
}

// room keeps the limits on how many are out at once. Danger: a leader that counts on an old view, or two that both think they
// lead, let go more than the rest can carry. Whoever is out for whatever cause counts: each is missing from the rest.
func (s *State) room(r *Release, tier, here uint32, zone string) error {
	most := r.MaxOutPerZone
	if most == 0 {
		most = r.MaxOut
	}
	if tier >= r.MaxOut {
		return refuse(ReasonTierLimit, "%d of %d", tier, r.MaxOut)
	}
	if here >= most {
		return refuse(ReasonZoneLimit, "%d of %d in zone %s", here, most, zone)
	}
	return nil
}

func (e *IssuePermit) apply(s *State) (uint64, error) {
	x, err := s.may(e)
	if err != nil {
		return 0, err
	}
	r := s.release
	pass := ReleasePermit{Number: s.index, Release: r.Number, ForNode: e.ForNode, Slot: e.Slot, Incarnation: e.Incarnation, Node: e.Node}
	if n := s.node(e.Node); e.ForNode {
		n.pass, n.drain = pass, NodeDrain{Node: e.Node, Number: s.index, Reason: r.Name, Release: r.Number}
	} else {
		m := s.member(e.Slot)
		m.pass, m.Permit = pass, s.index
	}
	x.State, r.ChangedIndex = StepPermitted, s.index
	return s.index, nil
}

// CheckPermit tells whether a permit would be given now; nil means yes. It changes nothing.
func (s *State) CheckPermit(e *IssuePermit) error {
	_, err := s.may(e)
	return err
}

// may is the step that a permit is for, if it may be given.
func (s *State) may(e *IssuePermit) (*ReleaseStep, error) {
	if err := s.fenced(e.Term); err != nil {
		return nil, err
	}
	r, err := s.running(e.Release)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(r.Steps, func(x ReleaseStep) bool {
		return r.ForNodes && e.ForNode && x.Node == e.Node || !r.ForNodes && !e.ForNode && x.Slot == e.Slot
	})
	if i < 0 || uint32(i) >= r.Batches[r.OpenBatch] {
		return nil, refuse(ReasonWrongState, "no such target in the open batches")
	}
	if r.Steps[i].State != StepPending {
		return nil, refuse(ReasonAlreadyUsed, "its step is %v", r.Steps[i].State)
	}
	if e.ForNode {
		return &r.Steps[i], s.mayNode(r, e.Node)
	}
	return &r.Steps[i], s.mayBroker(r, e)
}

func (s *State) mayBroker(r *Release, e *IssuePermit) error {
	m, err := s.at(e.Slot, e.Incarnation)
	if err != nil {
		return err
	}
	if m.Status != BrokerServing {
		return refuse(ReasonWrongState, "broker %s is %v", m.Name, m.Status)
	}
	tier, here := s.counts(m.Zone)
	return s.room(r, tier, here, m.Zone)
}

func (e *UsePermit) apply(s *State) (uint64, error) {
	if e.ForNode {
		return e.Permit, s.useNode(e.Node, e.Permit)
	}
	m, err := s.at(e.Slot, e.Incarnation)
	switch {
	case err != nil:
		return 0, err
	case m.pass.Number == 0 || m.pass.Number != e.Permit:
		return 0, refuse(ReasonNotFound, "permit %d of broker %s", e.Permit, m.Name)
	case m.pass.Used:
		return 0, refuse(ReasonAlreadyUsed, "permit %d of broker %s", e.Permit, m.Name)
	}
	r, err := s.running(m.pass.Release)
	if err != nil {
		return 0, err
	}
	m.pass.Used, m.Status, m.StatusIndex = true, BrokerOut, s.index
	s.went(r, m.Slot, NodeID{})
	return e.Permit, nil
}

func (s *State) went(r *Release, slot Slot, node NodeID) {
	if x := r.step(slot, node); x != nil {
		x.State, x.Affected, r.ChangedIndex = StepOut, true, s.index
	}
}

// void takes back a broker's unused permit. It is safe at any moment: its holder may not go before its Use was applied.
func (s *State) void(m *member) {
	if m.pass.Number == 0 || m.pass.Used {
		return
	}
	if r := s.release; r != nil {
		if x := r.step(m.Slot, NodeID{}); x != nil && x.State == StepPermitted {
			x.State, r.ChangedIndex = StepPending, s.index
		}
	}
	m.pass, m.Permit = ReleasePermit{}, 0
}

// came notes the return of a broker in its release.
func (s *State) came(m *member) {
	r := s.release
	if r == nil || r.ForNodes {
		return
	}
	x := r.step(m.Slot, NodeID{})
	if x == nil {
		return
	}
	has := r.To != "" && r.To != r.From && m.Version == r.To
	switch {
	case x.State == StepOut && x.OutAtRollback && !has:
		x.State, x.OutAtRollback = StepPending, false // it came back with what is being taken back: it goes once more
	case x.State == StepOut, x.State == StepPending && has:
		x.State, x.Affected, x.Version = StepFinished, true, m.Version
	}
	r.ChangedIndex = s.index
	r.end()
}

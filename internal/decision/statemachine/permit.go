package statemachine

import "slices"

// step is a target of the release.
func (r *Release) step(slot Slot, node NodeID) *Step {
	for i := range r.Steps {
		if x := &r.Steps[i]; r.OnNodes && x.Node == node || !r.OnNodes && x.Slot == slot {
			return x
		}
	}
	return nil
}

// end closes a running release that has nothing left to do.
func (r *Release) end() {
	if r.Course == Running && !slices.ContainsFunc(r.Steps, func(x Step) bool { return x.Stage != Finished }) {
		r.Course = Done
	}
}

// running is the release of a number, if permits of it are good.
func (s *State) running(number uint64) (*Release, error) {
	switch r := s.release; {
	case r == nil || r.Number != number:
		return nil, refuse(Absent, "release %d", number)
	case r.Course != Running:
		return nil, refuse(Over, "release %d is %v", number, r.Course)
	default:
		return r, nil
	}
}

// counts is how many are out, over the tier and in a zone: gone by a permit or without one, not back yet, or about to go.
func (s *State) counts(zone string) (tier, here uint32) {
	for _, m := range s.brokers {
		if m.Served && m.Standing != In || m.pass.Number > 0 {
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
	most := r.MostZone
	if most == 0 {
		most = r.Most
	}
	if tier >= r.Most {
		return refuse(TierFull, "%d of %d", tier, r.Most)
	}
	if here >= most {
		return refuse(ZoneFull, "%d of %d in zone %s", here, most, zone)
	}
	return nil
}

func (e *Permit) apply(s *State) (uint64, error) {
	x, err := s.may(e)
	if err != nil {
		return 0, err
	}
	r := s.release
	pass := Pass{Number: s.index, Release: r.Number, OnNode: e.OnNode, Slot: e.Slot, Incarnation: e.Incarnation, Node: e.Node}
	if n := s.node(e.Node); e.OnNode {
		n.pass, n.drain = pass, Drain{Node: e.Node, Number: s.index, Reason: r.Name, Release: r.Number}
	} else {
		m := s.member(e.Slot)
		m.pass, m.Permit = pass, s.index
	}
	x.Stage, r.Changed = Permitted, s.index
	return s.index, nil
}

// Try tells whether a permit would be given now; nil means yes. It changes nothing.
func (s *State) Try(e *Permit) error {
	_, err := s.may(e)
	return err
}

// may is the step that a permit is for, if it may be given.
func (s *State) may(e *Permit) (*Step, error) {
	if err := s.fenced(e.Term); err != nil {
		return nil, err
	}
	r, err := s.running(e.Release)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(r.Steps, func(x Step) bool {
		return r.OnNodes && e.OnNode && x.Node == e.Node || !r.OnNodes && !e.OnNode && x.Slot == e.Slot
	})
	if i < 0 || uint32(i) >= r.Batches[r.Batch] {
		return nil, refuse(Over, "no such target in the open batches")
	}
	if r.Steps[i].Stage != Pending {
		return nil, refuse(Spent, "its step is %v", r.Steps[i].Stage)
	}
	if e.OnNode {
		return &r.Steps[i], s.mayNode(r, e.Node)
	}
	return &r.Steps[i], s.mayBroker(r, e)
}

func (s *State) mayBroker(r *Release, e *Permit) error {
	m, err := s.at(e.Slot, e.Incarnation)
	if err != nil {
		return err
	}
	if m.Standing != In {
		return refuse(Over, "broker %s is %v", m.Name, m.Standing)
	}
	tier, here := s.counts(m.Zone)
	return s.room(r, tier, here, m.Zone)
}

func (e *Use) apply(s *State) (uint64, error) {
	if e.OnNode {
		return e.Permit, s.useNode(e.Node, e.Permit)
	}
	m, err := s.at(e.Slot, e.Incarnation)
	switch {
	case err != nil:
		return 0, err
	case m.pass.Number == 0 || m.pass.Number != e.Permit:
		return 0, refuse(Absent, "permit %d of broker %s", e.Permit, m.Name)
	case m.pass.Used:
		return 0, refuse(Spent, "permit %d of broker %s", e.Permit, m.Name)
	}
	r, err := s.running(m.pass.Release)
	if err != nil {
		return 0, err
	}
	m.pass.Used, m.Standing, m.Since = true, Out, s.index
	s.went(r, m.Slot, NodeID{})
	return e.Permit, nil
}

func (s *State) went(r *Release, slot Slot, node NodeID) {
	if x := r.step(slot, node); x != nil {
		x.Stage, x.Touched, r.Changed = Used, true, s.index
	}
}

// void takes back a broker's unused permit. It is safe at any moment: its holder may not go before its Use was applied.
func (s *State) void(m *member) {
	if m.pass.Number == 0 || m.pass.Used {
		return
	}
	if r := s.release; r != nil {
		if x := r.step(m.Slot, NodeID{}); x != nil && x.Stage == Permitted {
			x.Stage, r.Changed = Pending, s.index
		}
	}
	m.pass, m.Permit = Pass{}, 0
}

// came notes the return of a broker in its release.
func (s *State) came(m *member) {
	r := s.release
	if r == nil || r.OnNodes {
		return
	}
	x := r.step(m.Slot, NodeID{})
	if x == nil {
		return
	}
	has := r.To != "" && r.To != r.From && m.Version == r.To
	switch {
	case x.Stage == Used && x.Carried && !has:
		x.Stage, x.Carried = Pending, false // it came back with what is being taken back: it goes once more
	case x.Stage == Used, x.Stage == Pending && has:
		x.Stage, x.Touched, x.Version = Finished, true, m.Version
	}
	r.Changed = s.index
	r.end()
}

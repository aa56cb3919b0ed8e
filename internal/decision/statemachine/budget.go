package statemachine

const mostUnits = 1 << 32

// most is what a broker may hold, by all it was granted and has not given back.
func (h *ConnectionLease) most() []LeaseRow {
	if h.Ended {
		return nil
	}
	return greater(h.PossiblyHeld, h.Granted)
}

// move has what a broker may hold go from one to another, where that keeps every node within its budget: checked whole first.
func (s *State) move(before, after []LeaseRow) error {
	p, waiting, _ := s.Policies()
	of := s.classes()
	err := each(before, after, func(id NodeID, was, is uint64) error {
		if is <= was {
			return nil
		}
		units := is - was
		if n := s.node(id); n != nil {
			units += n.units
		}
		if p == nil {
			return refuse(ReasonNotFound, "a policy")
		}
		for _, p := range []*ConnectionPolicy{p, waiting} {
			if p == nil {
				continue
			}
			if floors, b := s.floors(p, of, id), p.of(id); floors+units > b.Connections {
				return refuse(ReasonOverBudget, "node %v, policy %d: floors %d and %d above them, budget %d", id, p.Version, floors, units, b.Connections)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.shift(before, after)
	return nil
}

func (s *State) shift(before, after []LeaseRow) {
	each(before, after, func(id NodeID, was, is uint64) error {
		n := s.ensure(id)
		n.units += is - was // the difference may be below zero: it wraps to what is right
		return nil
	})
}

func (e *GrantLease) apply(s *State) (uint64, error) {
	m, err := s.at(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	h := &m.holding
	before := h.most()
	switch {
	case m.Status == BrokerLost || m.Status == BrokerOut:
		return 0, refuse(ReasonStale, "broker %s is %v", m.Name, m.Status)
	case e.Number <= h.Number:
		return 0, refuse(ReasonStale, "grant %d of broker %s, the last is %d", e.Number, m.Name, h.Number)
	case len(before) > 0 && h.Incarnation != e.Incarnation:
		// Danger: a process that was stopped, and another has taken its place, wakes with what it held.
		return 0, refuse(ReasonBusy, "the lease of units that broker %s held under incarnation %d has not run out", m.Name, h.Incarnation)
	}
	if err := check(e.Rows); err != nil {
		return 0, err
	}
	if err := s.move(before, greater(before, e.Rows)); err != nil {
		return 0, err
	}
	*h = ConnectionLease{Incarnation: e.Incarnation, Number: e.Number, Granted: e.Rows, PossiblyHeld: before}
	return e.Number, nil
}

// last is a broker's newest grant, if that is the one an entry speaks of.
func (s *State) last(slot Slot, number uint64) (*ConnectionLease, error) {
	m := s.member(slot)
	if m == nil {
		return nil, refuse(ReasonNotFound, "broker of slot %d", slot)
	}
	if h := &m.holding; h.Number == number && number > 0 && !h.Ended {
		return h, nil
	}
	return nil, refuse(ReasonStale, "grant %d of broker %s: the last is %d, ended %t", number, m.Name, m.holding.Number, m.holding.Ended)
}

func (e *AcknowledgeLease) apply(s *State) (uint64, error) {
	h, err := s.last(e.Slot, e.Number)
	if err != nil {
		return 0, err
	}
	if h.Incarnation != e.Incarnation {
		return 0, refuse(ReasonStale, "incarnation %d, grant %d is of %d", e.Incarnation, e.Number, h.Incarnation)
	}
	s.shift(h.most(), h.Granted)
	h.PossiblyHeld, h.Acknowledged = nil, true
	s.settle()
	return e.Number, nil
}

func (s *State) ended(h *ConnectionLease) {
	s.shift(h.most(), nil)
	h.Granted, h.PossiblyHeld, h.Ended = nil, nil, true
	s.prune()
	s.settle()
}

func (e *RelinquishLease) apply(s *State) (uint64, error) {
	h, err := s.last(e.Slot, e.Number)
	if err != nil {
		return 0, err
	}
	if h.Incarnation != e.Incarnation {
		return 0, refuse(ReasonStale, "incarnation %d, grant %d is of %d", e.Incarnation, e.Number, h.Incarnation)
	}
	s.ended(h)
	return e.Number, nil
}

func (e *ExpireLease) apply(s *State) (uint64, error) {
	if err := s.fenced(e.Term); err != nil {
		return 0, err
	}
	h, err := s.last(e.Slot, e.Number)
	if err != nil {
		return 0, err
	}
	s.ended(h)
	return e.Number, nil
}

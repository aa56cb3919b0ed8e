package statemachine

// possiblyHeld returns the connections that a broker may hold: those granted to it that it has not given back.
func (l *ConnectionLease) possiblyHeld() []LeaseRow {
	if l.Ended {
		return nil
	}
	return maxOfLeaseRows(l.Outstanding, l.Granted)
}

// adjustLeasedWithinBudget replaces the connections that a broker may hold, if every node stays within its budget. It checks all nodes before
// it changes any.
func (s *State) adjustLeasedWithinBudget(before, after []LeaseRow) error {
	groups := s.acknowledgementGroups()
	err := forEachNode(before, after, func(c nodeChange) error {
		if c.after <= c.before {
			return nil
		}
		return s.checkBudget(c.node, c.after-c.before, groups)
	})
	if err != nil {
		return err
	}
	s.adjustLeased(before, after)
	return nil
}

// checkBudget rejects added connections to a node if they exceed its budget by the policy in force or by the waiting one.
func (s *State) checkBudget(id NodeID, added uint64, groups []acknowledgementGroup) error {
	leased := added
	if n := s.findNode(id); n != nil {
		leased += n.leased
	}
	policies := s.Policies()
	if policies.InForce == nil {
		return reject(ReasonNotFound, "a policy")
	}
	for _, p := range []*ConnectionPolicy{policies.InForce, policies.Waiting} {
		if p == nil {
			continue
		}
		reserved := s.reservedConnections(p, groups, id)
		budget := p.budgetOf(id).Connections
		if reserved+leased > budget {
			return reject(ReasonOverBudget, "node %v, policy %d: floors %d and %d above them, budget %d", id, p.Version, reserved, leased, budget)
		}
	}
	return nil
}

// adjustLeased replaces the connections that a broker may hold, without a check.
func (s *State) adjustLeased(before, after []LeaseRow) {
	_ = forEachNode(before, after, func(c nodeChange) error {
		n := s.findOrAddNode(c.node)
		n.leased += c.after - c.before // a negative difference wraps around, and the sum wraps back to the right value
		return nil
	})
}

func (e *GrantLease) apply(s *State) (uint64, error) {
	b, err := s.brokerWithIncarnation(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	lease := &b.lease
	before := lease.possiblyHeld()
	switch {
	case b.Status == BrokerLost || b.Status == BrokerOut:
		return 0, reject(ReasonStale, "broker %s is %v", b.Name, b.Status)
	case e.Number <= lease.Number:
		return 0, reject(ReasonStale, "grant %d of broker %s, the last is %d", e.Number, b.Name, lease.Number)
	case len(before) > 0 && lease.Incarnation != e.Incarnation:
		// The earlier process may only be suspended, and would resume with the connections that it held.
		return 0, reject(ReasonBusy, "the lease of units that broker %s held under incarnation %d has not run out", b.Name, lease.Incarnation)
	}
	if err := checkLeaseRows(e.Rows); err != nil {
		return 0, err
	}
	if err := s.adjustLeasedWithinBudget(before, maxOfLeaseRows(before, e.Rows)); err != nil {
		return 0, err
	}
	*lease = ConnectionLease{Incarnation: e.Incarnation, Number: e.Number, Granted: e.Rows, Outstanding: before}
	return e.Number, nil
}

// currentLease returns a broker's lease if it has not ended and number is that of its latest grant.
func (s *State) currentLease(slot Slot, number uint64) (*ConnectionLease, error) {
	b := s.findBroker(slot)
	if b == nil {
		return nil, reject(ReasonNotFound, "broker of slot %d", slot)
	}
	lease := &b.lease
	if lease.Number == number && number > 0 && !lease.Ended {
		return lease, nil
	}
	return nil, reject(ReasonStale, "grant %d of broker %s: the last is %d, ended %t", number, b.Name, lease.Number, lease.Ended)
}

// ownLease is like currentLease, for an entry that the broker itself proposes: its incarnation must be that of the grant.
func (s *State) ownLease(slot Slot, incarnation, number uint64) (*ConnectionLease, error) {
	lease, err := s.currentLease(slot, number)
	if err != nil {
		return nil, err
	}
	if lease.Incarnation != incarnation {
		return nil, reject(ReasonStale, "incarnation %d, grant %d is of %d", incarnation, number, lease.Incarnation)
	}
	return lease, nil
}

func (e *AcknowledgeLease) apply(s *State) (uint64, error) {
	lease, err := s.ownLease(e.Slot, e.Incarnation, e.Number)
	if err != nil {
		return 0, err
	}
	s.adjustLeased(lease.possiblyHeld(), lease.Granted)
	lease.Outstanding = nil
	lease.Acknowledged = true
	s.advancePolicy()
	return e.Number, nil
}

func (s *State) endLease(lease *ConnectionLease) {
	s.adjustLeased(lease.possiblyHeld(), nil)
	lease.Granted = nil
	lease.Outstanding = nil
	lease.Ended = true
	s.pruneNodes()
	s.advancePolicy()
}

func (e *RelinquishLease) apply(s *State) (uint64, error) {
	lease, err := s.ownLease(e.Slot, e.Incarnation, e.Number)
	if err != nil {
		return 0, err
	}
	s.endLease(lease)
	return e.Number, nil
}

func (e *ExpireLease) apply(s *State) (uint64, error) {
	if err := s.checkTerm(e.Term); err != nil {
		return 0, err
	}
	lease, err := s.currentLease(e.Slot, e.Number)
	if err != nil {
		return 0, err
	}
	s.endLease(lease)
	return e.Number, nil
}

package statemachine

import "slices"

// Brokers is the roster, by slot.
func (s *State) Brokers() []Broker {
	all := make([]Broker, len(s.brokers))
	for i, m := range s.brokers {
		all[i] = m.Broker
	}
	return all
}

// Broker is a line of the roster.
func (s *State) Broker(slot Slot) (Broker, bool) {
	if m := s.member(slot); m != nil {
		return m.Broker, true
	}
	return Broker{}, false
}

// Release is the present release, or the last.
func (s *State) Release() (r Release, ok bool) {
	if s.release == nil {
		return r, false
	}
	r = *s.release
	r.Steps = slices.Clone(r.Steps)
	return r, true
}

// BrokerPermit is the permit a broker holds, used or not.
func (s *State) BrokerPermit(slot Slot) (p ReleasePermit, ok bool) {
	if m := s.member(slot); m != nil && m.pass.Number > 0 {
		return m.pass, true
	}
	return p, false
}

// NodePermit is the permit of a node.
func (s *State) NodePermit(id NodeID) (p ReleasePermit, ok bool) {
	if n := s.node(id); n != nil && n.pass.Number > 0 {
		return n.pass, true
	}
	return p, false
}

// Drains are the agreed drains, by node.
func (s *State) Drains() (all []NodeDrain) {
	for _, n := range s.nodes {
		if n.drain.Number > 0 {
			d := n.drain
			d.Acknowledged = slices.Clone(d.Acknowledged)
			all = append(all, d)
		}
	}
	return all
}

// IsDrained tells whether every living broker has acknowledged a node's drain.
func (s *State) IsDrained(id NodeID) bool {
	n := s.node(id)
	return n != nil && n.drain.Number > 0 && len(s.MissingDrainAcks(id)) == 0
}

// MissingDrainAcks are the living brokers that have not acknowledged a node's drain.
func (s *State) MissingDrainAcks(id NodeID) (all []Slot) {
	n := s.node(id)
	if n == nil {
		return nil
	}
	for _, m := range s.brokers {
		if m.Status != BrokerLost && !slices.Contains(n.drain.Acknowledged, BrokerIncarnation{m.Slot, m.Incarnation}) {
			all = append(all, m.Slot)
		}
	}
	return all
}

// Lease is what a broker may hold. Its rows must not be changed; they are not changed here either.
func (s *State) Lease(slot Slot) (h ConnectionLease, ok bool) {
	if m := s.member(slot); m != nil {
		return m.holding, true
	}
	return h, false
}

// Policies is the policy in force, the one that waits, and the one before; nil where there is none. They must not be changed.
func (s *State) Policies() (inForce, waiting, before *ConnectionPolicy) {
	for _, p := range s.policies {
		if p.Version == s.current {
			inForce = p
		} else if p.Version > s.current {
			waiting = p
		}
	}
	return inForce, waiting, s.before
}

// AcknowledgedPolicy is the policy whose floors a broker said last that it keeps to.
func (s *State) AcknowledgedPolicy(slot Slot) uint64 {
	if m := s.member(slot); m != nil {
		return m.policy
	}
	return 0
}

// Epoch is the number of the agreed list.
func (s *State) Epoch() uint64 { return s.epoch }

// Nodes is the agreed list, by node.
func (s *State) Nodes() (all []Node) {
	for _, n := range s.nodes {
		if n.listed {
			all = append(all, s.view(n))
		}
	}
	return all
}

// Node is a node of the agreed list.
func (s *State) Node(id NodeID) (Node, bool) {
	if n := s.node(id); n != nil {
		return s.view(n), true
	}
	return Node{}, false
}

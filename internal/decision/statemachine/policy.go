package statemachine

import "slices"

// mostPolicies is how many policies may be kept for brokers that have not acknowledged newer ones.
const mostPolicies = 4

func (p *ConnectionPolicy) of(id NodeID) (b NodeBudget) {
	if i, ok := slices.BinarySearchFunc(p.Budgets, id, func(b NodeBudget, id NodeID) int { return CompareNodes(b.Node, id) }); ok {
		return p.Budgets[i]
	}
	return b
}

// class are brokers that acknowledged the same policy last.
type class struct{ version, brokers uint64 }

func (s *State) classes() (all []class) {
	for _, m := range s.brokers {
		i := slices.IndexFunc(all, func(c class) bool { return c.version == m.policy })
		if i < 0 {
			i, all = len(all), append(all, class{version: m.policy})
		}
		all[i].brokers++
	}
	return all
}

// floors is what is reserved of a node for what brokers take without asking, with a policy in force. Danger: a broker that has
// not heard of a policy goes on with the floors of the one it knows, for as long as it is cut off; it counts with the greatest
// floor of all since. Slots that nobody has yet count with the policy's.
func (s *State) floors(p *ConnectionPolicy, of []class, id NodeID) (sum uint64) {
	floor := p.of(id).ReservedPerBroker
	sum = uint64(p.MaxBrokers) * floor
	for _, c := range of {
		most := floor
		for _, old := range s.policies {
			if old.Version >= c.version && old.Version < p.Version {
				most = max(most, old.of(id).ReservedPerBroker)
			}
		}
		sum += c.brokers * (most - floor)
	}
	return sum
}

func (e *ConnectionPolicy) apply(s *State) (uint64, error) {
	_, waiting, _ := s.Policies()
	last := uint64(0)
	if len(s.policies) > 0 {
		last = s.policies[len(s.policies)-1].Version
	}
	switch {
	case e.Version <= last:
		return 0, refuse(ReasonStale, "policy %d, the last is %d", e.Version, last)
	case waiting != nil:
		return 0, refuse(ReasonBusy, "policy %d waits until what is held fits it", waiting.Version)
	case len(s.policies) >= mostPolicies:
		return 0, refuse(ReasonBusy, "brokers have not acknowledged policy %d yet: %v", s.policies[1].Version, s.laggards(s.policies[1].Version))
	case e.MaxBrokers == 0 || e.MaxBrokers > mostSlot:
		return 0, refuse(ReasonInvalid, "most brokers %d", e.MaxBrokers)
	}
	if n := len(s.brokers); n > 0 && s.brokers[n-1].Slot >= Slot(e.MaxBrokers) {
		return 0, refuse(ReasonInvalid, "floors for %d brokers, and slot %d is taken", e.MaxBrokers, s.brokers[n-1].Slot)
	}
	for i, b := range e.Budgets {
		if i > 0 && CompareNodes(e.Budgets[i-1].Node, b.Node) >= 0 {
			return 0, refuse(ReasonInvalid, "budgets must be in the order of nodes: %v", b.Node)
		}
		if b.ReservedPerBroker > b.Connections/uint64(e.MaxBrokers) {
			return 0, refuse(ReasonOverBudget, "node %v: %d floors of %d are more than %d", b.Node, e.MaxBrokers, b.ReservedPerBroker, b.Connections)
		}
		if b.Connections > mostUnits {
			return 0, refuse(ReasonInvalid, "node %v: %d units", b.Node, b.Connections)
		}
	}
	s.policies = append(s.policies, e)
	s.settle()
	return e.Version, nil
}

// laggards are the brokers that may still use floors older than a policy's.
func (s *State) laggards(version uint64) (names []string) {
	for _, m := range s.brokers {
		if m.policy < version {
			names = append(names, m.Name)
		}
	}
	return names
}

func (e *AcknowledgePolicy) apply(s *State) (uint64, error) {
	m, err := s.at(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	if !slices.ContainsFunc(s.policies, func(p *ConnectionPolicy) bool { return p.Version == e.Version }) {
		return 0, refuse(ReasonStale, "policy %d", e.Version)
	}
	m.policy = max(m.policy, e.Version)
	s.settle()
	return e.Version, nil
}

// settle lets a waiting policy take over once all that brokers may hold, by grants and by floors, fits it; and forgets policies
// that no broker can be keeping to any more.
func (s *State) settle() {
	if _, waiting, _ := s.Policies(); waiting != nil && s.fits(waiting) {
		s.before, _, _ = s.Policies()
		s.current = waiting.Version
	}
	least := s.current
	for _, m := range s.brokers {
		least = min(least, m.policy)
	}
	s.policies = slices.DeleteFunc(s.policies, func(p *ConnectionPolicy) bool { return p.Version < least })
}

func (s *State) fits(p *ConnectionPolicy) bool {
	of := s.classes()
	for _, n := range s.nodes {
		if n.units > 0 && n.units > p.of(n.Node).Connections {
			return false
		}
	}
	for _, old := range s.policies {
		for _, b := range old.Budgets {
			units := uint64(0)
			if n := s.node(b.Node); n != nil {
				units = n.units
			}
			if s.floors(p, of, b.Node)+units > p.of(b.Node).Connections {
				return false
			}
		}
	}
	return true
}

// view is a node as others see it.
func (s *State) view(n *node) Node {
	v := Node{NodeInfo: n.NodeInfo, DownIndex: n.down, DrainNumber: n.drain.Number, OutByPermit: n.pass.Used, Leased: n.units}
	if p, _, _ := s.Policies(); p != nil {
		v.Reserved, v.Budget = s.floors(p, s.classes(), n.Node), p.of(n.Node).Connections
	}
	return v
}

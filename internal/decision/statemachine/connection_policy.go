package statemachine

import "slices"

// maxPolicies is the maximum number of policies kept, among them old ones for brokers that have not acknowledged newer ones.
const maxPolicies = 4

// budgetOf returns the budget of a node, zero if the policy has none.
func (e *ConnectionPolicy) budgetOf(id NodeID) NodeBudget {
	i, found := slices.BinarySearchFunc(e.Budgets, id, func(b NodeBudget, id NodeID) int { return CompareNodes(b.Node, id) })
	if !found {
		return NodeBudget{}
	}
	return e.Budgets[i]
}

// acknowledgementGroup counts the brokers whose latest acknowledged policy is the same.
type acknowledgementGroup struct {
	version uint64
	brokers uint64
}

// acknowledgementGroups groups the brokers by the policy that they acknowledged last.
func (s *State) acknowledgementGroups() (groups []acknowledgementGroup) {
	for _, b := range s.brokers {
		i := slices.IndexFunc(groups, func(g acknowledgementGroup) bool { return g.version == b.acknowledgedPolicy })
		if i < 0 {
			i = len(groups)
			groups = append(groups, acknowledgementGroup{version: b.acknowledgedPolicy})
		}
		groups[i].brokers++
	}
	return groups
}

// reservedConnections returns how many connections to a node all brokers may open without a lease while a policy is in force. A broker that
// is cut off keeps using the reserve of the policy it knows, so it counts with the greatest reserve from the policy it acknowledged
// last up to this one. Slots without a broker count with the reserve of this policy.
func (s *State) reservedConnections(p *ConnectionPolicy, groups []acknowledgementGroup, id NodeID) uint64 {
	reservedPerBroker := p.budgetOf(id).ReservedPerBroker
	sum := uint64(p.MaxBrokers) * reservedPerBroker
	for _, g := range groups {
		greatest := reservedPerBroker
		for _, old := range s.policies {
			if old.Version >= g.version && old.Version < p.Version {
				greatest = max(greatest, old.budgetOf(id).ReservedPerBroker)
			}
		}
		sum += g.brokers * (greatest - reservedPerBroker)
	}
	return sum
}

func (e *ConnectionPolicy) apply(s *State) (uint64, error) {
	if err := e.check(s); err != nil {
		return 0, err
	}
	s.policies = append(s.policies, e)
	s.advancePolicy()
	return e.Version, nil
}

// check rejects a policy that is stale, comes while another waits, or is inconsistent in itself or with the roster.
func (e *ConnectionPolicy) check(s *State) error {
	waiting := s.Policies().Waiting
	last := uint64(0)
	if len(s.policies) > 0 {
		last = s.policies[len(s.policies)-1].Version
	}
	switch {
	case e.Version <= last:
		return reject(ReasonStale, "policy %d, the last is %d", e.Version, last)
	case waiting != nil:
		return reject(ReasonBusy, "policy %d waits until what is held fits it", waiting.Version)
	case len(s.policies) >= maxPolicies:
		next := s.policies[1].Version
		return reject(ReasonBusy, "brokers have not acknowledged policy %d yet: %v", next, s.brokersBeforePolicy(next))
	case e.MaxBrokers == 0 || e.MaxBrokers > slotLimit:
		return reject(ReasonInvalid, "most brokers %d", e.MaxBrokers)
	}
	if n := len(s.brokers); n > 0 && s.brokers[n-1].Slot >= Slot(e.MaxBrokers) {
		return reject(ReasonInvalid, "floors for %d brokers, and slot %d is taken", e.MaxBrokers, s.brokers[n-1].Slot)
	}
	return e.checkBudgets()
}

func (e *ConnectionPolicy) checkBudgets() error {
	for i, b := range e.Budgets {
		if i > 0 && CompareNodes(e.Budgets[i-1].Node, b.Node) >= 0 {
			return reject(ReasonInvalid, "budgets must be in the order of nodes: %v", b.Node)
		}
		if b.ReservedPerBroker > b.Connections/uint64(e.MaxBrokers) {
			return reject(ReasonOverBudget, "node %v: %d floors of %d are more than %d", b.Node, e.MaxBrokers, b.ReservedPerBroker, b.Connections)
		}
		if b.Connections > maxConnections {
			return reject(ReasonInvalid, "node %v: %d units", b.Node, b.Connections)
		}
	}
	return nil
}

// brokersBeforePolicy returns the names of the brokers that may still use the reserve of a policy older than a version.
func (s *State) brokersBeforePolicy(version uint64) (names []string) {
	for _, b := range s.brokers {
		if b.acknowledgedPolicy < version {
			names = append(names, b.Name)
		}
	}
	return names
}

func (e *AcknowledgePolicy) apply(s *State) (uint64, error) {
	b, err := s.brokerWithIncarnation(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	if !slices.ContainsFunc(s.policies, func(p *ConnectionPolicy) bool { return p.Version == e.Version }) {
		return 0, reject(ReasonStale, "policy %d", e.Version)
	}
	b.acknowledgedPolicy = max(b.acknowledgedPolicy, e.Version)
	s.advancePolicy()
	return e.Version, nil
}

// advancePolicy puts a waiting policy in force once all connections that brokers may hold, leased and reserved, fit it. It then removes the
// policies whose reserve no broker can still be using.
func (s *State) advancePolicy() {
	policies := s.Policies()
	if policies.Waiting != nil && s.policyFits(policies.Waiting) {
		s.previousPolicy = policies.InForce
		s.policyVersion = policies.Waiting.Version
	}
	oldest := s.policyVersion
	for _, b := range s.brokers {
		oldest = min(oldest, b.acknowledgedPolicy)
	}
	s.policies = slices.DeleteFunc(s.policies, func(p *ConnectionPolicy) bool { return p.Version < oldest })
}

// policyFits reports whether the connections that brokers may hold fit the budgets of a policy at each node.
func (s *State) policyFits(p *ConnectionPolicy) bool {
	groups := s.acknowledgementGroups()
	for _, n := range s.nodes {
		if n.leased > 0 && n.leased > p.budgetOf(n.Node).Connections {
			return false
		}
	}
	for _, old := range s.policies {
		for _, b := range old.Budgets {
			leased := uint64(0)
			if n := s.findNode(b.Node); n != nil {
				leased = n.leased
			}
			if s.reservedConnections(p, groups, b.Node)+leased > p.budgetOf(b.Node).Connections {
				return false
			}
		}
	}
	return true
}

package statemachine

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// member is a broker of the roster.
type member struct {
	Broker
	pass    ReleasePermit
	holding ConnectionLease
	policy  uint64 // the oldest policy whose floors it may use: what it acknowledged last
}

// node is one of the agreed list, or one that is still spoken of.
type node struct {
	NodeInfo
	listed bool
	down   uint64 // the NodeDown by which it is not ready; 0: none
	pass   ReleasePermit
	drain  NodeDrain
	units  uint64 // above the floors: the sum of what all brokers may hold
}

// CompareNodes orders nodes.
func CompareNodes(a, b NodeID) int {
	return cmp.Compare(place(a), place(b))
}

func place(n NodeID) uint64 { return uint64(binary.BigEndian.Uint32(n.Addr[:]))<<16 | uint64(n.Port) }

// CompareLeaseRows orders the rows of a grant.
func CompareLeaseRows(a, b LeaseRow) int {
	return cmp.Or(CompareNodes(a.Node, b.Node), cmp.Compare(a.Tenant, b.Tenant))
}

func (s *State) find(slot Slot) (int, bool) {
	return slices.BinarySearchFunc(s.brokers, slot, func(m *member, x Slot) int { return cmp.Compare(m.Slot, x) })
}

func (s *State) member(slot Slot) *member {
	if i, ok := s.find(slot); ok {
		return s.brokers[i]
	}
	return nil
}

func (s *State) findNode(id NodeID) (int, bool) {
	return slices.BinarySearchFunc(s.nodes, id, func(n *node, x NodeID) int { return CompareNodes(n.Node, x) })
}

func (s *State) node(id NodeID) *node {
	if i, ok := s.findNode(id); ok {
		return s.nodes[i]
	}
	return nil
}

// at is a broker under the incarnation that an entry speaks of.
func (s *State) at(slot Slot, incarnation uint64) (*member, error) {
	m := s.member(slot)
	if m == nil {
		return nil, refuse(ReasonNotFound, "broker of slot %d", slot)
	}
	if m.Incarnation != incarnation {
		return nil, refuse(ReasonStale, "incarnation %d of broker %s, the present one is %d", incarnation, m.Name, m.Incarnation)
	}
	return m, nil
}

func (e *RegisterBroker) apply(s *State) (uint64, error) {
	p, _, _ := s.Policies()
	switch {
	case e.Slot >= mostSlot || e.Name == "" || e.Incarnation == 0:
		return 0, refuse(ReasonInvalid, "broker %q, slot %d, incarnation %d", e.Name, e.Slot, e.Incarnation)
	case p != nil && e.Slot >= Slot(p.MaxBrokers):
		return 0, refuse(ReasonOverBudget, "the policy has floors for %d brokers, not for slot %d", p.MaxBrokers, e.Slot)
	case e.Protocol < s.gate:
		return 0, refuse(ReasonProtocol, "broker %s reads protocol %d, the tier is at %d", e.Name, e.Protocol, s.gate)
	}
	for _, m := range s.brokers {
		if (m.Name == e.Name) != (m.Slot == e.Slot) {
			return 0, refuse(ReasonInvalid, "slot %d is broker %s, not slot %d broker %s", m.Slot, m.Name, e.Slot, e.Name)
		}
	}
	i, ok := s.find(e.Slot)
	if !ok {
		// What floors it may use it learns from the state that has this entry, so that it can have none of an older policy.
		s.brokers = slices.Insert(s.brokers, i, &member{Broker: Broker{Slot: e.Slot, Name: e.Name}, policy: s.current})
	}
	m := s.brokers[i]
	if e.Incarnation <= m.Incarnation {
		return 0, refuse(ReasonStale, "incarnation %d of broker %s, the present one is %d", e.Incarnation, m.Name, m.Incarnation)
	}
	s.void(m)
	m.Incarnation, m.Version, m.Zone, m.Protocol = e.Incarnation, e.Version, e.Zone, e.Protocol
	m.Status, m.StatusIndex = BrokerJoining, s.index
	if m.HasServed {
		m.Status = BrokerReturning
	}
	return 0, nil
}

func (e *MarkBrokerLost) apply(s *State) (uint64, error) {
	if err := s.fenced(e.Term); err != nil {
		return 0, err
	}
	m, err := s.at(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	s.void(m) // its holder could use it no more: this incarnation has ended. It counts as out as it is lost.
	if m.Status != BrokerLost {
		m.Status, m.StatusIndex = BrokerLost, s.index
	}
	return 0, nil
}

func (e *RemoveBroker) apply(s *State) (uint64, error) {
	i, ok := s.find(e.Slot)
	if !ok {
		return 0, refuse(ReasonNotFound, "broker of slot %d", e.Slot)
	}
	m := s.brokers[i]
	if m.Status != BrokerLost {
		return 0, refuse(ReasonInvalid, "broker %s is not lost", m.Name)
	}
	if len(m.holding.Granted)+len(m.holding.PossiblyHeld) > 0 {
		return 0, refuse(ReasonBusy, "the lease of broker %s's units has not run out", m.Name)
	}
	s.brokers = slices.Delete(s.brokers, i, i+1)
	if r := s.release; r != nil {
		if x := r.step(e.Slot, NodeID{}); x != nil {
			x.State = StepFinished
			r.end()
		}
	}
	s.settle()
	return 0, nil
}

func (e *ReturnToService) apply(s *State) (uint64, error) {
	if e.ForNode {
		return 0, s.nodeBack(e.Node, e.Incarnation)
	}
	m, err := s.at(e.Slot, e.Incarnation)
	switch {
	case err != nil:
		return 0, err
	case m.Status == BrokerServing:
		return 0, nil
	case m.Status != BrokerJoining && m.Status != BrokerReturning:
		// Danger: what a broker said before it went, or before it was lost, comes late and ends its absence.
		return 0, refuse(ReasonStale, "broker %s is %v; it comes back under a new incarnation", m.Name, m.Status)
	}
	m.Status, m.StatusIndex, m.HasServed = BrokerServing, s.index, true
	m.pass, m.Permit = ReleasePermit{}, 0
	s.came(m)
	return 0, nil
}

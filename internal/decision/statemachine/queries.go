package statemachine

import "slices"

// Brokers returns the roster, sorted by slot.
func (s *State) Brokers() []Broker {
	all := make([]Broker, len(s.brokers))
	for i, b := range s.brokers {
		all[i] = b.Broker
	}
	return all
}

// Broker returns the broker of a slot.
func (s *State) Broker(slot Slot) (broker Broker, ok bool) {
	if b := s.findBroker(slot); b != nil {
		return b.Broker, true
	}
	return Broker{}, false
}

// Release returns the current release or, if none is under way, the latest.
func (s *State) Release() (r Release, ok bool) {
	if s.release == nil {
		return r, false
	}
	r = *s.release
	r.Steps = slices.Clone(r.Steps)
	return r, true
}

// BrokerPermit returns the permit that a broker holds, used or not.
func (s *State) BrokerPermit(slot Slot) (permit ReleasePermit, ok bool) {
	if b := s.findBroker(slot); b != nil && b.releasePermit.Number > 0 {
		return b.releasePermit, true
	}
	return ReleasePermit{}, false
}

// NodePermit returns the permit of a node, used or not.
func (s *State) NodePermit(id NodeID) (permit ReleasePermit, ok bool) {
	if n := s.findNode(id); n != nil && n.releasePermit.Number > 0 {
		return n.releasePermit, true
	}
	return ReleasePermit{}, false
}

// Drains returns the agreed drains, sorted by node.
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

// IsDrained reports whether a node has a drain that every broker except lost ones has acknowledged.
func (s *State) IsDrained(id NodeID) bool {
	n := s.findNode(id)
	return n != nil && n.drain.Number > 0 && len(s.MissingDrainAcks(id)) == 0
}

// MissingDrainAcks returns the brokers, except lost ones, that have not acknowledged a node's drain.
func (s *State) MissingDrainAcks(id NodeID) (slots []Slot) {
	n := s.findNode(id)
	if n == nil {
		return nil
	}
	for _, b := range s.brokers {
		if b.Status != BrokerLost && !slices.Contains(n.drain.Acknowledged, BrokerIncarnation{b.Slot, b.Incarnation}) {
			slots = append(slots, b.Slot)
		}
	}
	return slots
}

// Lease returns a broker's connection lease. The caller must not change its rows; the state machine does not change them either.
func (s *State) Lease(slot Slot) (lease ConnectionLease, ok bool) {
	if b := s.findBroker(slot); b != nil {
		return b.lease, true
	}
	return ConnectionLease{}, false
}

// Policies holds the current connection policies; a field is nil if there is no such policy. They must not be changed.
type Policies struct {
	InForce  *ConnectionPolicy
	Waiting  *ConnectionPolicy // comes into force once the connections that brokers may hold fit it
	Previous *ConnectionPolicy // in force before InForce
}

// Policies returns the policy in force, the waiting one and the previous one.
func (s *State) Policies() Policies {
	all := Policies{Previous: s.previousPolicy}
	for _, p := range s.policies {
		if p.Version == s.policyVersion {
			all.InForce = p
		} else if p.Version > s.policyVersion {
			all.Waiting = p
		}
	}
	return all
}

// AcknowledgedPolicy returns the version of the policy that a broker acknowledged last.
func (s *State) AcknowledgedPolicy(slot Slot) uint64 {
	if b := s.findBroker(slot); b != nil {
		return b.acknowledgedPolicy
	}
	return 0
}

// Epoch returns the epoch of the agreed node list.
func (s *State) Epoch() uint64 { return s.epoch }

// Nodes returns the nodes of the agreed list, sorted by address and port.
func (s *State) Nodes() (all []Node) {
	for _, n := range s.nodes {
		if n.listed {
			all = append(all, s.nodeStatus(n))
		}
	}
	return all
}

// Node returns a node of the agreed list, or one to which a lease, a drain or a permit still refers.
func (s *State) Node(id NodeID) (node Node, ok bool) {
	if n := s.findNode(id); n != nil {
		return s.nodeStatus(n), true
	}
	return Node{}, false
}

func (s *State) nodeStatus(n *nodeRecord) Node {
	v := Node{
		NodeInfo:    n.NodeInfo,
		DownIndex:   n.downIndex,
		DrainNumber: n.drain.Number,
		OutByPermit: n.releasePermit.Used,
		Leased:      n.leased,
	}
	if p := s.Policies().InForce; p != nil {
		v.Reserved = s.reservedConnections(p, s.acknowledgementGroups(), n.Node)
		v.Budget = p.budgetOf(n.Node).Connections
	}
	return v
}

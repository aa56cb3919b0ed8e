package statemachine

import (
	"cmp"
	"slices"
)

func (e *DrainNode) apply(s *State) (uint64, error) {
	n, err := s.findListedNode(e.Node)
	if err != nil {
		return 0, err
	}
	if n.drain.Number > 0 {
		return 0, reject(ReasonBusy, "node %v is drained by entry %d", e.Node, n.drain.Number)
	}
	if err := s.checkReadyReplicas(n, 0); err != nil {
		return 0, err
	}
	n.drain = NodeDrain{Node: e.Node, Number: s.index, Reason: e.Reason}
	return s.index, nil
}

func (e *AcknowledgeDrain) apply(s *State) (uint64, error) {
	b, err := s.brokerWithIncarnation(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	n := s.findNode(e.Node)
	if n == nil || n.drain.Number == 0 || n.drain.Number != e.Number {
		return 0, reject(ReasonStale, "drain %d of node %v", e.Number, e.Node)
	}
	n.drain.acknowledge(BrokerIncarnation{Slot: b.Slot, Incarnation: b.Incarnation})
	return e.Number, nil
}

// acknowledge records the incarnation under which a broker acknowledges the drain, in place of an earlier one. The list is sorted by slot.
func (d *NodeDrain) acknowledge(by BrokerIncarnation) {
	i, found := slices.BinarySearchFunc(d.Acknowledged, by, func(x, y BrokerIncarnation) int { return cmp.Compare(x.Slot, y.Slot) })
	if found {
		d.Acknowledged[i] = by
		return
	}
	d.Acknowledged = slices.Insert(d.Acknowledged, i, by)
}

func (e *UndrainNode) apply(s *State) (uint64, error) {
	n := s.findNode(e.Node)
	if n == nil || n.drain.Number == 0 {
		return 0, reject(ReasonNotFound, "drain of node %v", e.Node)
	}
	if n.releasePermit.Number > 0 {
		return 0, reject(ReasonWrongState, "node %v is drained by release %d; halt that", e.Node, n.releasePermit.Release)
	}
	n.drain = NodeDrain{}
	s.pruneNodes()
	return 0, nil
}

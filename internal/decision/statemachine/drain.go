package statemachine

import (
	"cmp"
	"slices"
)

func (n *node) ready() bool {
	return n.listed && n.down == 0 && n.drain.Number == 0 && n.pass.Number == 0
}

func (s *State) ensure(id NodeID) *node {
	i, ok := s.findNode(id)
	if !ok {
		s.nodes = slices.Insert(s.nodes, i, &node{NodeInfo: NodeInfo{Node: id}})
	}
	return s.nodes[i]
}

// prune forgets nodes that nothing speaks of any more.
func (s *State) prune() {
	s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool {
		return !n.listed && n.units == 0 && n.drain.Number == 0 && n.pass.Number == 0
	})
}

// holders keeps the least number of ready holders of each shard of a node that is to go. One that isn't ready takes nothing away.
func (s *State) holders(n *node, least uint32) error {
	if !n.ready() {
		return nil
	}
	for _, shard := range n.Shards {
		left := uint32(0)
		for _, o := range s.nodes {
			if o != n && o.ready() && slices.Contains(o.Shards, shard) {
				left++
			}
		}
		if left < max(least, s.least) {
			return refuse(ReasonTooFewReplicas, "shard %d without node %v: %d, at least %d", shard, n.Node, left, max(least, s.least))
		}
	}
	return nil
}

func (e *SetNodeList) apply(s *State) (uint64, error) {
	if e.Epoch <= s.epoch {
		return 0, refuse(ReasonStale, "epoch %d, the present one is %d", e.Epoch, s.epoch)
	}
	list := slices.Clone(e.Nodes)
	slices.SortFunc(list, func(a, b NodeInfo) int { return CompareNodes(a.Node, b.Node) })
	for i := range list {
		if i > 0 && list[i].Node == list[i-1].Node {
			return 0, refuse(ReasonInvalid, "node %v is there twice", list[i].Node)
		}
	}
	s.epoch, s.least = e.Epoch, e.MinReadyReplicas
	for _, n := range s.nodes {
		n.listed = false
	}
	for _, info := range list {
		n := s.ensure(info.Node)
		n.NodeInfo, n.listed = info, true
	}
	s.prune()
	return e.Epoch, nil
}

func (e *DrainNode) apply(s *State) (uint64, error) {
	n := s.node(e.Node)
	if n == nil || !n.listed {
		return 0, refuse(ReasonNotFound, "node %v", e.Node)
	}
	if n.drain.Number > 0 {
		return 0, refuse(ReasonBusy, "node %v is drained by entry %d", e.Node, n.drain.Number)
	}
	if err := s.holders(n, 0); err != nil {
		return 0, err
	}
	n.drain = NodeDrain{Node: e.Node, Number: s.index, Reason: e.Reason}
	return s.index, nil
}

func (e *AcknowledgeDrain) apply(s *State) (uint64, error) {
	m, err := s.at(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	n := s.node(e.Node)
	if n == nil || n.drain.Number == 0 || n.drain.Number != e.Number {
		return 0, refuse(ReasonStale, "drain %d of node %v", e.Number, e.Node)
	}
	a := BrokerIncarnation{m.Slot, m.Incarnation}
	i, ok := slices.BinarySearchFunc(n.drain.Acknowledged, a, func(x, y BrokerIncarnation) int { return cmp.Compare(x.Slot, y.Slot) })
	if ok {
		n.drain.Acknowledged[i] = a
	} else {
		n.drain.Acknowledged = slices.Insert(n.drain.Acknowledged, i, a)
	}
	return e.Number, nil
}

func (e *UndrainNode) apply(s *State) (uint64, error) {
	n := s.node(e.Node)
	if n == nil || n.drain.Number == 0 {
		return 0, refuse(ReasonNotFound, "drain of node %v", e.Node)
	}
	if n.pass.Number > 0 {
		return 0, refuse(ReasonWrongState, "node %v is drained by release %d; halt that", e.Node, n.pass.Release)
	}
	n.drain = NodeDrain{}
	s.prune()
	return 0, nil
}

func (e *MarkNodeDown) apply(s *State) (uint64, error) {
	n := s.node(e.Node)
	if n == nil || !n.listed {
		return 0, refuse(ReasonNotFound, "node %v", e.Node)
	}
	if n.down == 0 {
		n.down = s.index
	}
	return n.down, nil
}

// mayNode tells whether a node may be let go: its permit is its drain.
func (s *State) mayNode(r *Release, id NodeID) error {
	n := s.node(id)
	if n == nil || !n.listed {
		return refuse(ReasonNotFound, "node %v", id)
	}
	if n.drain.Number > 0 {
		return refuse(ReasonBusy, "node %v is drained by entry %d", id, n.drain.Number)
	}
	tier, here := s.nodeCounts(n.Zone)
	if n.down > 0 { // it counts already
		tier, here = tier-1, here-1
	}
	return cmp.Or(s.room(r, tier, here, n.Zone), s.holders(n, r.MinReadyReplicas))
}

func (s *State) voidNode(n *node) {
	if n.pass.Number == 0 || n.pass.Used {
		return
	}
	if r := s.release; r != nil {
		if x := r.step(0, n.Node); x != nil && x.State == StepPermitted {
			x.State, r.ChangedIndex = StepPending, s.index
		}
	}
	n.pass, n.drain = ReleasePermit{}, NodeDrain{}
}

func (s *State) useNode(id NodeID, permit uint64) error {
	n := s.node(id)
	switch {
	case n == nil || n.pass.Number == 0 || n.pass.Number != permit:
		return refuse(ReasonNotFound, "permit %d of node %v", permit, id)
	case n.pass.Used:
		return refuse(ReasonAlreadyUsed, "permit %d of node %v", permit, id)
	case !s.IsDrained(id):
		return refuse(ReasonNotDrained, "node %v: %d brokers", id, len(s.MissingDrainAcks(id)))
	}
	r, err := s.running(n.pass.Release)
	if err != nil {
		return err
	}
	n.pass.Used = true
	s.went(r, 0, id)
	return nil
}

// nodeBack ends what a number began: a permit that was used, or a NodeDown.
func (s *State) nodeBack(id NodeID, number uint64) error {
	n := s.node(id)
	switch {
	case n == nil || number == 0:
		return refuse(ReasonNotFound, "node %v", id)
	case n.pass.Used && n.pass.Number == number:
		n.pass, n.drain, n.down = ReleasePermit{}, NodeDrain{}, 0
		if r := s.release; r != nil {
			if x := r.step(0, id); x != nil && x.State == StepOut {
				x.State, r.ChangedIndex = StepFinished, s.index
				if x.OutAtRollback { // whether it is what was taken back can't be told of a node: it goes once more
					x.State, x.OutAtRollback = StepPending, false
				}
				r.end()
			}
		}
	case n.down == number:
		n.down = 0
	default:
		return refuse(ReasonStale, "number %d of node %v", number, id)
	}
	s.prune()
	return nil
}

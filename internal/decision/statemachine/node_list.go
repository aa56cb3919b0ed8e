package statemachine

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// nodeRecord is the state of a node that is in the agreed list, or to which a lease, a drain or a permit still refers.
type nodeRecord struct {
	NodeInfo
	listed        bool
	downIndex     uint64 // index of the MarkNodeDown entry by which it is not ready; 0: none
	releasePermit ReleasePermit
	drain         NodeDrain
	leased        uint64 // connections, in addition to the reserved ones, that all brokers together may hold
}

// CompareNodes orders nodes by address and port.
func CompareNodes(a, b NodeID) int {
	return cmp.Compare(nodeSortKey(a), nodeSortKey(b))
}

const portBits = 16

func nodeSortKey(n NodeID) uint64 {
	return uint64(binary.BigEndian.Uint32(n.Addr[:]))<<portBits | uint64(n.Port)
}

func (s *State) nodePosition(id NodeID) (position int, found bool) {
	return slices.BinarySearchFunc(s.nodes, id, func(n *nodeRecord, x NodeID) int { return CompareNodes(n.Node, x) })
}

func (s *State) findNode(id NodeID) *nodeRecord {
	if i, found := s.nodePosition(id); found {
		return s.nodes[i]
	}
	return nil
}

// findListedNode returns a node of the agreed list, or rejects the entry that names it.
func (s *State) findListedNode(id NodeID) (*nodeRecord, error) {
	n := s.findNode(id)
	if n == nil || !n.listed {
		return nil, reject(ReasonNotFound, "node %v", id)
	}
	return n, nil
}

func (s *State) findOrAddNode(id NodeID) *nodeRecord {
	i, found := s.nodePosition(id)
	if !found {
		s.nodes = slices.Insert(s.nodes, i, &nodeRecord{NodeInfo: NodeInfo{Node: id}})
	}
	return s.nodes[i]
}

// pruneNodes removes the nodes that are not listed and to which no lease, drain or permit refers.
func (s *State) pruneNodes() {
	s.nodes = slices.DeleteFunc(s.nodes, func(n *nodeRecord) bool {
		return !n.listed && n.leased == 0 && n.drain.Number == 0 && n.releasePermit.Number == 0
	})
}

func (n *nodeRecord) isReady() bool {
	return n.listed && n.downIndex == 0 && n.drain.Number == 0 && n.releasePermit.Number == 0
}

// checkReadyReplicas rejects taking a node out if one of its shards would be left with too few ready replicas: fewer than planned, the
// minimum of the release plan (0: none), or fewer than the minimum of the node list. A node that is not ready passes, as it does not count
// as a replica.
func (s *State) checkReadyReplicas(n *nodeRecord, planned uint32) error {
	if !n.isReady() {
		return nil
	}
	needed := max(planned, s.minReadyReplicas)
	for _, shard := range n.Shards {
		others := uint32(0)
		for _, o := range s.nodes {
			if o != n && o.isReady() && slices.Contains(o.Shards, shard) {
				others++
			}
		}
		if others < needed {
			return reject(ReasonTooFewReplicas, "shard %d without node %v: %d, at least %d", shard, n.Node, others, needed)
		}
	}
	return nil
}

func (e *SetNodeList) apply(s *State) (uint64, error) {
	if e.Epoch <= s.epoch {
		return 0, reject(ReasonStale, "epoch %d, the present one is %d", e.Epoch, s.epoch)
	}
	list := slices.Clone(e.Nodes)
	slices.SortFunc(list, func(a, b NodeInfo) int { return CompareNodes(a.Node, b.Node) })
	for i := range list {
		if i > 0 && list[i].Node == list[i-1].Node {
			return 0, reject(ReasonInvalid, "node %v is there twice", list[i].Node)
		}
	}
	s.epoch = e.Epoch
	s.minReadyReplicas = e.MinReadyReplicas
	for _, n := range s.nodes {
		n.listed = false
	}
	for _, info := range list {
		n := s.findOrAddNode(info.Node)
		n.NodeInfo = info
		n.listed = true
	}
	s.pruneNodes()
	return e.Epoch, nil
}

func (e *MarkNodeDown) apply(s *State) (uint64, error) {
	n, err := s.findListedNode(e.Node)
	if err != nil {
		return 0, err
	}
	if n.downIndex == 0 {
		n.downIndex = s.index
	}
	return n.downIndex, nil
}

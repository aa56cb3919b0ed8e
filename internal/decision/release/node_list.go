package release

import (
	"maps"
	"slices"
	"time"

	"flaxfront/internal/decision/statemachine"
)

const (
	listSettleTime       = 2 * time.Second // a list that has not changed for so long may be agreed
	discoveryDrainReason = "discovery drains it"
)

// NodeList is a broker's node list as discovery reported it.
type NodeList struct {
	Nodes       []statemachine.NodeInfo // in the order of statemachine.CompareNodes
	Ready       map[statemachine.NodeID]bool
	StableSince time.Duration // when it last changed
	Confirmed   bool          // discovery has answered since the start, and in its last call; else the list may be a cached one
}

// KeepStableSince takes over the time of the list before, where nothing has changed since.
func (l *NodeList) KeepStableSince(before *NodeList) {
	if slices.EqualFunc(before.Nodes, l.Nodes, sameNode) && maps.Equal(before.Ready, l.Ready) {
		l.StableSince = before.StableSince
	}
}

func sameNode(a, b statemachine.NodeInfo) bool {
	return a.Node == b.Node && a.Zone == b.Zone && slices.Equal(a.Shards, b.Shards)
}

// NextEntries is what to propose: the list, where it differs from the agreed one, else which nodes discovery drains or has back. A
// leader that has no list yet, or a cached one, proposes nothing: it would remove nodes for everybody.
func (l *NodeList) NextEntries(s *statemachine.State, now time.Duration) (entries []statemachine.Entry) {
	if !l.Confirmed || len(l.Nodes) == 0 || now-l.StableSince < listSettleTime {
		return nil
	}
	agreed := s.Nodes()
	same := slices.EqualFunc(agreed, l.Nodes, func(a statemachine.Node, b statemachine.NodeInfo) bool {
		return sameNode(a.NodeInfo, b)
	})
	if !same {
		return []statemachine.Entry{&statemachine.SetNodeList{Epoch: s.Epoch() + 1, MinReadyReplicas: 1, Nodes: l.Nodes}}
	}
	for _, n := range agreed {
		switch ready := l.Ready[n.Node]; {
		case !ready && n.DownIndex == 0 && n.DrainNumber == 0 && !n.OutByPermit:
			entries = append(entries, &statemachine.MarkNodeDown{Node: n.Node, Reason: discoveryDrainReason})
		case ready && n.DownIndex > 0 && n.DrainNumber == 0 && !n.OutByPermit:
			entries = append(entries, &statemachine.ReturnToService{Incarnation: n.DownIndex, ForNode: true, Node: n.Node})
		}
	}
	return entries
}

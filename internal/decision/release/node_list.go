package release

import (
	"maps"
	"slices"
	"time"

	"flaxfront/internal/decision/statemachine"
)

const (
	listSettleTime       = 2 * time.Second // a list may be proposed once it has not changed for this long
	discoveryDrainReason = "discovery drains it"
)

// NodeList is a broker's node list as reported by discovery.
type NodeList struct {
	Nodes       []statemachine.NodeInfo // sorted by statemachine.CompareNodes
	Ready       map[statemachine.NodeID]bool
	StableSince time.Duration // when it last changed
	Confirmed   bool          // the last call to discovery since the start succeeded; else the list may be a cached one
}

// KeepStableSince keeps the StableSince of the previous list if nothing has changed.
func (l *NodeList) KeepStableSince(before *NodeList) {
	if slices.EqualFunc(before.Nodes, l.Nodes, sameNode) && maps.Equal(before.Ready, l.Ready) {
		l.StableSince = before.StableSince
	}
}

func sameNode(a, b statemachine.NodeInfo) bool {
	return a.Node == b.Node && a.Zone == b.Zone && slices.Equal(a.Shards, b.Shards)
}

// NextEntries returns the entries to propose: the list if it differs from the agreed one, else an entry for each node that discovery drains
// or has returned to service. With no list, a cached one or one that has just changed, it returns none, as that could remove live nodes
// for all brokers.
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

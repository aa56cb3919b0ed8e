package release

// This file owns what a leader tells the tier of its node list: the agreed epoch, and nodes that discovery drains. It must never
// agree on a list that moves: it waits until the list has stood for a moment.

import (
	"maps"
	"slices"
	"time"

	"flaxfront/internal/decision/statemachine"
)

const (
	listSettles = 2 * time.Second // a list that has not moved for so long may be agreed
	byList      = "discovery drains it"
)

// NodeList is a broker's node list as discovery told it.
type NodeList struct {
	Nodes       []statemachine.NodeInfo // by ledger.Compare
	Ready       map[statemachine.NodeID]bool
	StableSince time.Duration // since when it stands as it is
	Confirmed   bool          // discovery has spoken since the start, and in its last call; else the list may be of long ago
}

// KeepStableSince keeps since when the list stands, where it tells nothing that the one before it did not.
func (l *NodeList) KeepStableSince(before *NodeList) {
	if slices.EqualFunc(before.Nodes, l.Nodes, alike) && maps.Equal(before.Ready, l.Ready) {
		l.StableSince = before.StableSince
	}
}

func alike(a, b statemachine.NodeInfo) bool {
	return a.Node == b.Node && a.Zone == b.Zone && slices.Equal(a.Shards, b.Shards)
}

// NextEntries is what is to be proposed: the list as an epoch where it differs from the agreed one, else which nodes discovery drains or
// has back.
func (l *NodeList) NextEntries(s *statemachine.State, now time.Duration) (all []statemachine.Entry) {
	if !l.Confirmed || len(l.Nodes) == 0 || now-l.StableSince < listSettles {
		return nil // Danger: a leader that has no list yet, or one of an earlier life, would end nodes for everybody
	}
	agreed := s.Nodes()
	same := slices.EqualFunc(agreed, l.Nodes, func(a statemachine.Node, b statemachine.NodeInfo) bool {
		return alike(a.NodeInfo, b)
	})
	if !same {
		return []statemachine.Entry{&statemachine.SetNodeList{Epoch: s.Epoch() + 1, MinReadyReplicas: 1, Nodes: l.Nodes}}
	}
	for _, n := range agreed {
		switch ready := l.Ready[n.Node]; {
		case !ready && n.DownIndex == 0 && n.DrainNumber == 0 && !n.OutByPermit:
			all = append(all, &statemachine.MarkNodeDown{Node: n.Node, Reason: byList})
		case ready && n.DownIndex > 0 && n.DrainNumber == 0 && !n.OutByPermit:
			all = append(all, &statemachine.ReturnToService{Incarnation: n.DownIndex, ForNode: true, Node: n.Node})
		}
	}
	return all
}

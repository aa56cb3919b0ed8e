package statemachine

// DrainNode begins an operator's drain, outside any release. The drain's number is the index of the entry.
type DrainNode struct {
	Node   NodeID
	Reason string
}

// AcknowledgeDrain reports that a broker no longer sends to a node.
type AcknowledgeDrain struct {
	Slot        Slot
	Incarnation uint64
	Node        NodeID
	Number      uint64 // of the drain
}

// UndrainNode ends an operator's drain.
type UndrainNode struct{ Node NodeID }

// MarkNodeDown reports that a node without a permit is not ready. ReturnToService ends this state.
type MarkNodeDown struct {
	Node   NodeID
	Reason string
}

// NodeInfo describes a node of the agreed list.
type NodeInfo struct {
	Node   NodeID
	Zone   string
	Shards []uint32
}

// SetNodeList replaces the agreed list of nodes, on which read pins and the minimum of ready replicas are based.
type SetNodeList struct {
	Epoch            uint64
	MinReadyReplicas uint32 // per shard, even if a release plan has a lower minimum
	Nodes            []NodeInfo
}

package statemachine

// DrainNode is an operator's drain, outside any release. Its number is the entry's index.
type DrainNode struct {
	Node   NodeID
	Reason string
}

// AcknowledgeDrain says that a broker sends nothing more to a node.
type AcknowledgeDrain struct {
	Slot        Slot
	Incarnation uint64
	Node        NodeID
	Number      uint64 // of the drain
}

// UndrainNode ends an operator's drain.
type UndrainNode struct{ Node NodeID }

// MarkNodeDown says that a node which has no permit is not ready. ReturnToService ends it.
type MarkNodeDown struct {
	Node   NodeID
	Reason string
}

// NodeInfo is a node of the agreed list.
type NodeInfo struct {
	Node   NodeID
	Zone   string
	Shards []uint32
}

// SetNodeList replaces the agreed list of nodes, which read pins and the minimum of ready replicas go by.
type SetNodeList struct {
	Epoch            uint64
	MinReadyReplicas uint32 // that each shard keeps, whatever a release plan says
	Nodes            []NodeInfo
}

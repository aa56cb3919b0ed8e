package routing

import (
	"encoding/binary"

	"flaxfront/internal/decision"
)

// A gossip message is a sequence of entries, each a kind followed by the address and the port of a node.
const (
	gossipEntryBytes   = 7
	maxGossipEntries   = 36 // so that a message fits in 256 bytes
	gossipEjected      = 's'
	gossipReinstated   = 'w'
	gossipAddressStart = 1
	gossipPortStart    = 5
)

// notifyBrokers adds an entry to the gossip message that is sent to the other brokers at the end of the step, if gossip is allowed.
// Entries beyond maxGossipEntries are dropped.
func (r *Router) notifyBrokers(kind byte, id decision.NodeID) {
	if !r.settings.GossipAllowed || len(r.gossip) >= maxGossipEntries*gossipEntryBytes {
		return
	}
	r.gossip = append(r.gossip, kind)
	r.gossip = append(r.gossip, id.Addr[:]...)
	r.gossip = binary.BigEndian.AppendUint16(r.gossip, id.Port)
}

// handleGossip sends each entry of a gossip message to the node that it names; unknown nodes and trailing bytes are skipped.
func (r *Router) handleGossip(payload []byte) {
	for ; len(payload) >= gossipEntryBytes; payload = payload[gossipEntryBytes:] {
		id := decision.NodeID{
			Addr: [4]byte(payload[gossipAddressStart:]),
			Port: binary.BigEndian.Uint16(payload[gossipPortStart:]),
		}
		if index, known := r.indexes[id]; known {
			r.post(&r.nodes[index].inbox, message{kind: gossipReceived, ejectedBySender: payload[0] == gossipEjected})
		}
	}
}

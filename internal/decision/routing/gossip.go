package routing

import (
	"encoding/binary"

	"flaxfront/internal/decision"
)

// A gossip message is a row of entries: a kind, then the address and the port of a node.
const (
	gossipEntryBytes   = 7
	maxGossipEntries   = 36 // a message holds 256 bytes
	gossipEjected      = 's'
	gossipReinstated   = 'w'
	gossipAddressStart = 1
	gossipPortStart    = 5
)

// notifyBrokers puts an entry into the message that goes to the other brokers at the end of the step.
func (r *Router) notifyBrokers(kind byte, id decision.NodeID) {
	if !r.settings.GossipAllowed || len(r.gossip) >= maxGossipEntries*gossipEntryBytes {
		return
	}
	r.gossip = append(r.gossip, kind)
	r.gossip = append(r.gossip, id.Addr[:]...)
	r.gossip = binary.BigEndian.AppendUint16(r.gossip, id.Port)
}

// handleGossip hands the entries of a message to the nodes that they name; unknown nodes and odd bytes at the end are skipped.
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

package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// snapshotTimeoutElections is the time in which a follower must confirm a snapshot, in election timeouts.
const snapshotTimeoutElections = 4

var marshalOptions = proto.MarshalOptions{Deterministic: true}

// send puts a message into the outbox. A large snapshot is sent in chunks instead, one at each heartbeat.
func (n *Node) send(m *pb.Message) {
	packet, err := marshalOptions.MarshalAppend([]byte{packetMessage}, m)
	if err != nil {
		return // treated like a message lost by the network
	}
	if m.GetType() == pb.MsgSnap {
		n.snapshotSentAt[m.GetTo()] = n.now
		if len(packet) > n.config.SnapshotChunkBytes && len(packet) <= maxChunkedBytes {
			n.chunks.outgoing[m.GetTo()] = &outgoingMessage{number: n.random.Uint64(), data: packet[1:]}
			return
		}
	}
	n.addToOutbox(Packet{To: m.GetTo(), Data: packet})
}

// sendChunks sends the next chunk of each snapshot that is being sent.
func (n *Node) sendChunks() {
	for _, to := range n.config.Voters {
		m := n.chunks.outgoing[to]
		if m == nil {
			continue
		}
		n.addToOutbox(Packet{To: to, Data: m.nextChunk(n.config.SnapshotChunkBytes)})
		n.snapshotSentAt[to] = n.now
		if m.complete() {
			delete(n.chunks.outgoing, to)
		}
	}
}

// addToOutbox adds a packet to the outbox. It drops a packet that would exceed MaxOutboxBytes, as a network may.
func (n *Node) addToOutbox(p Packet) {
	if n.outboxBytes+len(p.Data) > n.config.MaxOutboxBytes && len(n.outbox) > 0 {
		return
	}
	n.outbox = append(n.outbox, p)
	n.outboxBytes += len(p.Data)
}

// expireSnapshots treats a snapshot that was not confirmed in time as lost. raft itself waits for a report of the transport, and until
// then sends that follower nothing more. A follower that is merely slow gets the snapshot twice, which is harmless.
func (n *Node) expireSnapshots() {
	for _, to := range n.config.Voters {
		sentAt, sent := n.snapshotSentAt[to]
		if !sent || n.chunks.outgoing[to] != nil || n.now-sentAt < snapshotTimeoutElections*n.config.ElectionTimeout {
			continue
		}
		delete(n.snapshotSentAt, to)
		n.raft.ReportSnapshot(to, raft.SnapshotFailure)
	}
}

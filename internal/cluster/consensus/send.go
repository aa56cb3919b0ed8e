package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// snapshotTimeoutElections is how many election timeouts a follower has to confirm a snapshot.
const snapshotTimeoutElections = 4

var marshalOptions = proto.MarshalOptions{Deterministic: true}

// send puts a message into the outbox; a large snapshot leaves in chunks, at heartbeats.
func (n *Node) send(m *pb.Message) {
	packet, err := marshalOptions.MarshalAppend([]byte{packetMessage}, m)
	if err != nil {
		return // as if lost on the way
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

// sendChunks sends one chunk of each snapshot that is on its way.
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

// addToOutbox drops what would exceed the limit, as a network may.
func (n *Node) addToOutbox(p Packet) {
	if n.outboxBytes+len(p.Data) > n.config.MaxOutboxBytes && len(n.outbox) > 0 {
		return
	}
	n.outbox = append(n.outbox, p)
	n.outboxBytes += len(p.Data)
}

// expireSnapshots takes a snapshot that was sent and not confirmed as lost. raft itself waits for the transport to say so, and sends
// that follower nothing more. One that is merely slow gets it twice, which is harmless.
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

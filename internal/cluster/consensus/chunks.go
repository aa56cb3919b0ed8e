package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The first byte of a packet is its type. After packetMessage follows a raft message in protobuf. After packetChunk follow, in
// big-endian order, the message's number (8 bytes), the chunk's offset in the message (4), the message's length (4) and the chunk.
//
// A snapshot larger than SnapshotChunkBytes is sent in chunks, one per heartbeat, so that it neither exceeds the link's frame size nor
// delays the heartbeats queued after it. A lost chunk loses the whole message; the snapshot is sent again later.
const (
	packetMessage    = 'm'
	packetChunk      = 'p'
	chunkHeaderBytes = 1 + 8 + 4 + 4
	maxChunkedBytes  = 256<<20 - 64<<10 // maximum size of a message sent in chunks
)

var (
	errUnknownPacketType = errors.New("unknown packet type or truncated packet")
	errChunkRange        = errors.New("chunk exceeds its message")
)

// chunks holds the messages that are being sent or received in chunks, at most one in each direction per voter.
type chunks struct {
	outgoing map[uint64]*outgoingMessage // by receiver
	incoming map[uint64]*incomingMessage // by sender
}

type outgoingMessage struct {
	number uint64
	offset int // of the next chunk
	data   []byte
}

type incomingMessage struct {
	number uint64
	length int
	data   []byte // received so far
}

func newChunks() chunks {
	return chunks{outgoing: map[uint64]*outgoingMessage{}, incoming: map[uint64]*incomingMessage{}}
}

// nextChunk returns the packet with the message's next chunk.
func (m *outgoingMessage) nextChunk(maxBytes int) []byte {
	end := min(m.offset+maxBytes, len(m.data))
	packet := binary.BigEndian.AppendUint64([]byte{packetChunk}, m.number)
	packet = binary.BigEndian.AppendUint32(packet, uint32(m.offset))
	packet = binary.BigEndian.AppendUint32(packet, uint32(len(m.data)))
	packet = append(packet, m.data[m.offset:end]...)
	m.offset = end
	return packet
}

func (m *outgoingMessage) complete() bool { return m.offset == len(m.data) }

// chunk is the decoded form of a packet of type packetChunk.
type chunk struct {
	number uint64
	offset int
	length int // of the whole message
	data   []byte
}

func decodeChunk(packet []byte) (c chunk, err error) {
	if len(packet) <= chunkHeaderBytes || packet[0] != packetChunk {
		return c, fmt.Errorf("%w: %d bytes", errUnknownPacketType, len(packet))
	}
	c.number = binary.BigEndian.Uint64(packet[1:])
	c.offset = int(binary.BigEndian.Uint32(packet[9:]))
	c.length = int(binary.BigEndian.Uint32(packet[13:]))
	c.data = packet[chunkHeaderBytes:]
	if c.length > maxChunkedBytes || c.offset+len(c.data) > c.length {
		return c, fmt.Errorf("%w: %d bytes at %d of %d", errChunkRange, len(c.data), c.offset, c.length)
	}
	return c, nil
}

// assemble returns the message that the packet holds or completes, or nil if further chunks are needed or one was lost. It allocates
// memory only for bytes received, whatever length the packet claims.
func (c *chunks) assemble(from uint64, packet []byte) ([]byte, error) {
	if len(packet) > 0 && packet[0] == packetMessage {
		return packet[1:], nil
	}
	next, err := decodeChunk(packet)
	if err != nil {
		return nil, err
	}
	if next.offset == 0 {
		c.incoming[from] = &incomingMessage{number: next.number, length: next.length}
	}
	m := c.incoming[from]
	if m == nil || m.number != next.number || m.length != next.length || next.offset != len(m.data) {
		return nil, nil
	}
	m.data = append(m.data, next.data...)
	if len(m.data) < m.length {
		return nil, nil
	}
	delete(c.incoming, from)
	return m.data, nil
}

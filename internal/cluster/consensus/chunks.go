package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// A packet begins with a letter: packetMessage, then a message in protobuf; or packetChunk, then the number of the message (8 bytes,
// big-endian as all), the chunk's offset in it (4), its length (4), and the chunk.
//
// A snapshot larger than a packet travels in chunks, one at a heartbeat, so that it neither exceeds a link's frames nor holds up
// heartbeats behind it. When a chunk is lost the message is; the snapshot is sent again later.
const (
	packetMessage    = 'm'
	packetChunk      = 'p'
	chunkHeaderBytes = 1 + 8 + 4 + 4
	maxChunkedBytes  = 256<<20 - 64<<10 // of a snapshot's message
)

var (
	errUnknownPacketType = errors.New("a packet of no known form")
	errChunkRange        = errors.New("a chunk outside of its message")
)

// chunks are the messages that are on their way in chunks.
type chunks struct {
	outgoing map[uint64]*outgoingMessage // by the voter it is for
	incoming map[uint64]*incomingMessage // by the voter it is from; one at a time
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

// nextChunk returns the next packet of a message.
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

// chunk is a packet of a message.
type chunk struct {
	number uint64
	offset int
	length int // of the message
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

// assemble returns the message that a packet is or completes; nil where more has to come or a chunk was lost before it. It allocates
// for a message only as its bytes are there, whatever its length claims.
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

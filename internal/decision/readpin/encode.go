package readpin

import (
	"encoding/binary"
	"time"

	"flaxfront/internal/decision"
)

// A message of positions is a version byte, followed for each position by the node's address and port and these varints: shard, offset, age
// of observedAfter, age of observedBefore, 1 + age of asOf or 0 if unknown, 1 + lag or 0 if unknown. Ages and lag are in milliseconds. They
// are rounded up, as they must not be too low, except for the age of observedBefore, which is rounded down.
const (
	wireVersion   = 1
	nodeIDBytes   = 6
	varintsPerRow = 6
	maxEncodedAge = time.Hour
)

// EncodePositions returns a message of the known replica positions for other brokers, of at most MaxMessageBytes. It contains as many
// positions as fit, starting from the node at which the last message ended.
func (t *Tracker) EncodePositions(now time.Duration) []byte {
	message := make([]byte, 1, t.config.MaxMessageBytes)
	message[0] = wireVersion
	if len(t.nodes) == 0 {
		return message
	}
	index := t.cursor % len(t.nodes)
	for range len(t.nodes) {
		n := &t.nodes[index]
		whole := t.appendNode(message, now, n)
		if len(whole) > t.config.MaxMessageBytes {
			isFirst := len(message) == 1
			if isFirst { // the node's positions never fit into one message
				message = t.appendFittingPositions(message, now, n)
				index = (index + 1) % len(t.nodes)
			}
			break
		}
		message = whole
		index = (index + 1) % len(t.nodes)
	}
	t.cursor = index
	return message
}

// appendNode appends all recent positions of a node.
func (t *Tracker) appendNode(message []byte, now time.Duration, n *node) []byte {
	for i := range n.positions {
		p := &n.positions[i]
		if p.isRecent(now) {
			message = appendPosition(message, now, n.id, t.shardOf(n, i), p)
		}
	}
	return message
}

// appendFittingPositions appends as many recent positions of a node as fit.
func (t *Tracker) appendFittingPositions(message []byte, now time.Duration, n *node) []byte {
	for i := range n.positions {
		p := &n.positions[i]
		if !p.isRecent(now) {
			continue
		}
		longer := appendPosition(message, now, n.id, t.shardOf(n, i), p)
		if len(longer) <= t.config.MaxMessageBytes {
			message = longer
		}
	}
	return message
}

func (p *position) isRecent(now time.Duration) bool {
	return p.known && now-p.observedAfter < maxSharedAge
}

func appendPosition(message []byte, now time.Duration, id decision.NodeID, shard int, p *position) []byte {
	message = append(message, id.Addr[:]...)
	message = binary.BigEndian.AppendUint16(message, id.Port)
	message = binary.AppendUvarint(message, uint64(shard))
	message = binary.AppendUvarint(message, p.offset)
	message = binary.AppendUvarint(message, roundUpToMilliseconds(now-p.observedAfter))
	message = binary.AppendUvarint(message, uint64(min(max(0, now-p.observedBefore), maxEncodedAge)/time.Millisecond))
	asOf := uint64(0)
	if p.asOf != DistantPast && now-p.asOf < maxEncodedAge {
		asOf = 1 + roundUpToMilliseconds(now-p.asOf)
	}
	message = binary.AppendUvarint(message, asOf)
	lag := uint64(0)
	if p.lag != UnknownAge {
		lag = 1 + roundUpToMilliseconds(min(p.lag, maxEncodedAge))
	}
	return binary.AppendUvarint(message, lag)
}

func roundUpToMilliseconds(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

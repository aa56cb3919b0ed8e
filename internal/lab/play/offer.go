package play

// This file parses the frames that a node receives from brokers.

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"time"

	"flaxfront/internal/transport/store"
)

// handleFrame parses the frames of one write and queues their shard requests. written is the time of the write.
func (n *node) handleFrame(l *nodeConn, data []byte, written time.Duration) {
	for len(data) >= 5 {
		size := int(binary.LittleEndian.Uint32(data))
		if size < 1 || size > len(data)-4 {
			n.reportBreach(0, "node %d received a frame of %d bytes in a write with %d bytes left", n.n, size, len(data))
			return
		}
		letter, rest := data[4], data[5:4+size]
		data = data[4+size:]
		if letter == 'c' {
			n.cancel(string(rest))
			continue
		}
		callWork := n.w.script.Fleet.CallWork
		for len(rest) > 0 {
			line, after, _ := bytes.Cut(rest, []byte{'\n'})
			f := bytes.Fields(line)
			if len(f) != 4 {
				n.reportBreach(0, "node %d received the malformed line %.60q", n.n, line)
				return
			}
			length, _ := strconv.Atoi(string(f[3]))
			if length < 1 || length > len(after) {
				n.reportBreach(0, "node %d received a text of %d bytes in a frame with %d bytes left", n.n, length, len(after))
				return
			}
			shard, _ := strconv.Atoi(string(f[1]))
			n.handleShardRequest(l, string(f[0]), shard, int(after[0]-'0'), callWork, written)
			callWork, rest = 0, after[length:]
		}
	}
}

// handleShardRequest queues a shard request, or rejects it when the queue is full. A node that hangs or has crashed never answers.
func (n *node) handleShardRequest(l *nodeConn, id string, shard, typ int, callWork, written time.Duration) {
	if shard%n.w.script.Fleet.Cells != n.cell {
		n.reportBreach(0, "node %d received shard request %s for a shard that it does not hold", n.n, id)
	}
	queryType := &n.w.script.Types[typ]
	work := callWork + time.Duration((0.5+0.5*n.rnd.ExpFloat64())*float64(queryType.Work))
	n.recordOfferedWork(work)
	counts := &n.runner.tally.work
	if n.hangCount > 0 || n.crashed {
		counts.Swallowed++
		return
	}
	if len(n.queue) >= n.w.script.Fleet.Queue+len(n.cores) {
		counts.Skipped++
		n.sendAnswer(l, store.Answer{ID: id, Result: store.Skipped})
		return
	}
	n.enqueue(&job{conn: l, id: id, work: work, effect: n.w.terms.Module.QueryTypes[typ].Idempotency, sentAt: written})
}

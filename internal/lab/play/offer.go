package play

// This file owns what a node reads of brokers: frames and their parts.

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"time"

	"flaxfront/internal/transport/store"
)

// frame reads what a broker wrote, and takes the parts.
func (n *node) frame(l *link, b []byte, written time.Duration) {
	for len(b) >= 5 {
		size := int(binary.LittleEndian.Uint32(b))
		if size < 1 || size > len(b)-4 {
			n.breach(0, "node %d was sent a frame of %d bytes in %d", n.n, size, len(b))
			return
		}
		letter, rest := b[4], b[5:4+size]
		b = b[4+size:]
		if letter == 'c' {
			n.cancel(string(rest))
			continue
		}
		call := n.w.script.Fleet.CallWork
		for len(rest) > 0 {
			line, after, _ := bytes.Cut(rest, []byte{'\n'})
			f := bytes.Fields(line)
			if len(f) != 4 {
				n.breach(0, "node %d was sent the line %.60q", n.n, line)
				return
			}
			length, _ := strconv.Atoi(string(f[3]))
			if length < 1 || length > len(after) {
				n.breach(0, "node %d was sent a text of %d bytes in %d", n.n, length, len(after))
				return
			}
			shard, _ := strconv.Atoi(string(f[1]))
			n.part(l, string(f[0]), shard, int(after[0]-'0'), call, written)
			call, rest = 0, after[length:]
		}
	}
}

// part is offered to the node.
func (n *node) part(l *link, id string, shard, typ int, call, written time.Duration) {
	if shard%n.w.script.Fleet.Cells != n.cell {
		n.breach(0, "node %d was sent part %s, which it does not hold", n.n, id)
	}
	y := &n.w.script.Types[typ]
	work := call + time.Duration((0.5+0.5*n.rnd.ExpFloat64())*float64(y.Work))
	n.press(work)
	k := &n.by.tally.work
	if n.hung > 0 || n.fallen {
		k.Swallowed++
		return
	}
	if len(n.queue) >= n.w.script.Fleet.Queue+len(n.cores) {
		k.Skipped++
		n.answer(l, store.Answer{ID: id, Result: store.Skipped})
		return
	}
	n.take(&job{conn: l, id: id, work: work, effect: n.w.terms.Module.QueryTypes[typ].Idempotency, sent: written})
}

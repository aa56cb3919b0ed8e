package consensus

// This file owns how a snapshot larger than a packet travels: in parts, some a heartbeat, so that it neither exceeds a link's
// frames nor holds up heartbeats behind it. A part that is lost loses the whole; it is sent again later.

import (
	"encoding/binary"
	"fmt"
)

const (
	letterWhole = 'm'
	letterPart  = 'p'
	partHead    = 1 + 8 + 4 + 4    // letter, number of the message, offset, length of the whole
	mostWhole   = 256<<20 - 64<<10 // bytes of a snapshot's message
)

type parts struct {
	out map[uint64]*outgoing // by the voter it is for
	in  map[uint64]*incoming // by the voter it is from; one at a time
}

type outgoing struct {
	number uint64
	at     int
	data   []byte
}

type incoming struct {
	number uint64
	total  int
	data   []byte
}

func newParts() parts { return parts{map[uint64]*outgoing{}, map[uint64]*incoming{}} }

// sendParts lets each snapshot on its way go on by one part.
func (n *Node) sendParts() {
	for _, to := range n.cfg.Voters {
		o := n.parts.out[to]
		if o == nil {
			continue
		}
		some := o.data[o.at:min(o.at+n.cfg.SnapshotChunkBytes, len(o.data))]
		b := binary.BigEndian.AppendUint64([]byte{letterPart}, o.number)
		b = binary.BigEndian.AppendUint32(b, uint32(o.at))
		b = binary.BigEndian.AppendUint32(b, uint32(len(o.data)))
		n.put(Packet{to, append(b, some...)})
		n.snapSent[to] = n.now
		if o.at += len(some); o.at == len(o.data) {
			delete(n.parts.out, to)
		}
	}
}

// whole returns the message that a packet is or completes; nil where more has to come or a part was lost before it. What
// a part claims takes no room before its bytes are there.
func (p *parts) whole(from uint64, b []byte) ([]byte, error) {
	if len(b) > 0 && b[0] == letterWhole {
		return b[1:], nil
	}
	if len(b) <= partHead || b[0] != letterPart {
		return nil, fmt.Errorf("%d bytes of no known form", len(b))
	}
	number, at := binary.BigEndian.Uint64(b[1:]), int(binary.BigEndian.Uint32(b[9:]))
	total, some := int(binary.BigEndian.Uint32(b[13:])), b[partHead:]
	if total > mostWhole || at+len(some) > total {
		return nil, fmt.Errorf("a part of %d bytes at %d of %d", len(some), at, total)
	}
	if at == 0 {
		p.in[from] = &incoming{number: number, total: total}
	}
	in := p.in[from]
	if in == nil || in.number != number || in.total != total || at != len(in.data) {
		return nil, nil
	}
	if in.data = append(in.data, some...); len(in.data) < total {
		return nil, nil
	}
	delete(p.in, from)
	return in.data, nil
}

package membership

// This file owns the form of messages: a head, then items that each say how long they are, so that a peer of another version
// passes over what it does not know. It must never let through an item that it could not read whole.

import (
	"encoding/binary"
	"net/netip"
)

type messageKind uint8

const (
	ping    messageKind = iota + 1
	ack                 // seq: of the ping
	pingReq             // target: to be pinged for the sender
	nack                // seq: of the pingReq; it did not answer in time
	tell                // items only
)

const (
	version  = 1
	headSize = 19

	tagAlive   = 'A'
	tagSuspect = 'S'
	tagDead    = 'D'
	tagLeft    = 'L'
	tagWho     = 'W' // the sender wants to know of this one
	tagNote    = 'N'

	longestName = 32
)

// head opens every message.
type head struct {
	kind   messageKind
	late   uint8 // how late the sender finds itself to be
	seq    uint32
	from   ID
	inc    uint32
	target ID
}

func (h *head) append(b []byte) []byte {
	b = append(b, version, byte(h.kind), h.late)
	b = binary.BigEndian.AppendUint32(b, h.seq)
	b = binary.BigEndian.AppendUint32(b, uint32(h.from))
	b = binary.BigEndian.AppendUint32(b, h.inc)
	return binary.BigEndian.AppendUint32(b, uint32(h.target))
}

func readHead(b []byte) (h head, items []byte, ok bool) {
	if len(b) < headSize || b[0] < 1 {
		return h, nil, false
	}
	h = head{kind: messageKind(b[1]), late: b[2], seq: binary.BigEndian.Uint32(b[3:]), from: ID(binary.BigEndian.Uint32(b[7:])),
		inc: binary.BigEndian.Uint32(b[11:]), target: ID(binary.BigEndian.Uint32(b[15:]))}
	return h, b[headSize:], h.kind >= ping && h.kind <= tell && h.from != 0
}

// appendAlive encodes all that there is to know of a member.
func appendAlive(b []byte, m *Member) []byte {
	at := len(b)
	b = append(b, tagAlive, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(m.ID))
	b = binary.BigEndian.AppendUint32(b, m.Incarnation)
	b = append(b, m.Weight)
	addr := m.Address.Addr().AsSlice()
	b = append(append(b, byte(len(addr))), addr...)
	b = binary.BigEndian.AppendUint16(b, m.Address.Port())
	b = append(b, m.Name...)
	b[at+1] = byte(len(b) - at - 2)
	return b
}

func readAlive(b []byte) (m Member, ok bool) {
	if len(b) < 10 {
		return m, false
	}
	m.ID, m.Incarnation, m.Weight = ID(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:]), b[8]
	n := int(b[9])
	if b = b[10:]; len(b) < n+2 {
		return m, false
	}
	addr, ok := netip.AddrFromSlice(b[:n])
	m.Address = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[n:]))
	m.Name = string(b[n+2:])
	return m, ok && m.Address.Port() != 0 && m.Name != "" && len(m.Name) <= longestName && m.ID == IDOf(m.Name)
}

// appendState encodes that a member is suspected, dead or has left.
func appendState(b []byte, tag byte, id ID, inc uint32, by ID) []byte {
	b = append(b, tag, 12)
	b = binary.BigEndian.AppendUint32(b, uint32(id))
	b = binary.BigEndian.AppendUint32(b, inc)
	return binary.BigEndian.AppendUint32(b, uint32(by))
}

// items goes through what follows a head, up to the first item that is not whole.
func items(b []byte, each func(tag byte, body []byte)) (whole bool) {
	for len(b) >= 2 {
		n := int(b[1])
		if len(b) < 2+n {
			return false
		}
		each(b[0], b[2:2+n])
		b = b[2+n:]
	}
	return len(b) == 0
}

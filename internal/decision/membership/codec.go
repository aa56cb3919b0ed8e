package membership

import (
	"encoding/binary"
	"net/netip"
)

// A datagram consists of a header and items. Each item has a tag, its length and a body, so that unknown items of later versions can be
// skipped.

type messageKind uint8

const (
	kindProbe         messageKind = iota + 1
	kindAck                       // with the sequence number of the probe
	kindIndirectProbe             // asks the receiver to probe the target
	kindNack                      // with the sequence number of the indirect probe, which got no ack in time
	kindUpdates                   // items only
)

type itemTag byte

const (
	itemAlive         itemTag = 'A'
	itemSuspect       itemTag = 'S'
	itemDead          itemTag = 'D'
	itemLeft          itemTag = 'L'
	itemMemberRequest itemTag = 'W' // the sender does not know this member
	itemBroadcast     itemTag = 'N'
)

// Sizes in bytes.
const (
	headerSize          = 19
	itemHeaderSize      = 2
	idSize              = 4
	memberRequestSize   = itemHeaderSize + idSize
	stateUpdateBodySize = 12
	stateUpdateSize     = itemHeaderSize + stateUpdateBodySize
	aliveFixedSize      = 10 // of an alive item's body, up to the address
	portSize            = 2
	maxNameSize         = 32
)

const (
	formatVersion    = 1
	minFormatVersion = 1
)

// header opens every datagram.
type header struct {
	kind        messageKind
	localHealth uint8 // of the sender
	sequence    uint32
	sender      ID
	incarnation uint32
	target      ID // 0 in a seed probe, which is for any member at the address
}

func (h *header) appendTo(data []byte) []byte {
	data = append(data, formatVersion, byte(h.kind), h.localHealth)
	data = binary.BigEndian.AppendUint32(data, h.sequence)
	data = binary.BigEndian.AppendUint32(data, uint32(h.sender))
	data = binary.BigEndian.AppendUint32(data, h.incarnation)
	return binary.BigEndian.AppendUint32(data, uint32(h.target))
}

func decodeHeader(data []byte) (h header, items []byte, ok bool) {
	if len(data) < headerSize || data[0] < minFormatVersion {
		return h, nil, false
	}
	h = header{
		kind:        messageKind(data[1]),
		localHealth: data[2],
		sequence:    binary.BigEndian.Uint32(data[3:]),
		sender:      ID(binary.BigEndian.Uint32(data[7:])),
		incarnation: binary.BigEndian.Uint32(data[11:]),
		target:      ID(binary.BigEndian.Uint32(data[15:])),
	}
	isKnownKind := h.kind >= kindProbe && h.kind <= kindUpdates
	return h, data[headerSize:], isKnownKind && h.sender != 0
}

// appendAlive encodes a member's complete entry.
func appendAlive(data []byte, member *Member) []byte {
	start := len(data)
	data = append(data, byte(itemAlive), 0)
	data = binary.BigEndian.AppendUint32(data, uint32(member.ID))
	data = binary.BigEndian.AppendUint32(data, member.Incarnation)
	data = append(data, member.Weight)
	address := member.Address.Addr().AsSlice()
	data = append(data, byte(len(address)))
	data = append(data, address...)
	data = binary.BigEndian.AppendUint16(data, member.Address.Port())
	data = append(data, member.Name...)
	data[start+1] = byte(len(data) - start - itemHeaderSize)
	return data
}

func decodeAlive(body []byte) (member Member, ok bool) {
	if len(body) < aliveFixedSize {
		return member, false
	}
	addressSize := int(body[9])
	rest := body[aliveFixedSize:]
	if len(rest) < addressSize+portSize {
		return member, false
	}
	address, ok := netip.AddrFromSlice(rest[:addressSize])
	member = Member{
		ID:          ID(binary.BigEndian.Uint32(body)),
		Incarnation: binary.BigEndian.Uint32(body[4:]),
		Weight:      body[8],
		Address:     netip.AddrPortFrom(address, binary.BigEndian.Uint16(rest[addressSize:])),
		Name:        string(rest[addressSize+portSize:]),
	}
	isValidName := member.Name != "" && len(member.Name) <= maxNameSize && member.ID == IDOf(member.Name)
	return member, ok && member.Address.Port() != 0 && isValidName
}

// stateUpdate is the body of an item which states that a member is suspect, dead or has left.
type stateUpdate struct {
	id          ID
	incarnation uint32
	reporter    ID
}

func appendStateUpdate(data []byte, tag itemTag, update stateUpdate) []byte {
	data = append(data, byte(tag), stateUpdateBodySize)
	data = binary.BigEndian.AppendUint32(data, uint32(update.id))
	data = binary.BigEndian.AppendUint32(data, update.incarnation)
	return binary.BigEndian.AppendUint32(data, uint32(update.reporter))
}

func decodeID(body []byte) (id ID, ok bool) {
	if len(body) < idSize {
		return 0, false
	}
	return ID(binary.BigEndian.Uint32(body)), true
}

// decodeStateUpdate decodes a state update and ignores bytes that a later version may add at its end.
func decodeStateUpdate(body []byte) (update stateUpdate, ok bool) {
	if len(body) < stateUpdateBodySize {
		return update, false
	}
	update = stateUpdate{
		id:          ID(binary.BigEndian.Uint32(body)),
		incarnation: binary.BigEndian.Uint32(body[4:]),
		reporter:    ID(binary.BigEndian.Uint32(body[8:])),
	}
	return update, true
}

// forEachItem visits the items up to the first incomplete one, and reports whether all were complete.
func forEachItem(items []byte, visit func(tag itemTag, body []byte)) (complete bool) {
	for len(items) >= itemHeaderSize {
		end := itemHeaderSize + int(items[1])
		if len(items) < end {
			return false
		}
		visit(itemTag(items[0]), items[itemHeaderSize:end])
		items = items[end:]
	}
	return len(items) == 0
}

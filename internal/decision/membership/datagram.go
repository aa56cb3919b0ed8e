package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	maxBroadcasts       = 512 // received and not yet returned by DrainBroadcasts
	maxRequestedMembers = 32
)

// HandleDatagram processes a datagram received at the time now. It counts malformed datagrams and drops them; of a truncated datagram it
// applies the complete items.
func (d *Detector) HandleDatagram(from netip.AddrPort, data []byte, now time.Duration) {
	h, items, ok := decodeHeader(data)
	if !ok || d.left || h.sender == d.self.ID {
		d.Counts.MalformedDatagrams++
		return
	}
	d.Counts.DatagramsReceived++
	d.lastContact = now
	sender := d.entries[h.sender]
	if sender != nil && !sender.State.isLiving() { // it is alive after all: told of its state here, it raises its incarnation
		d.send(from, header{kind: kindUpdates}, d.appendStateUpdate(nil, itemDead, sender))
	}
	requested := d.applyItems(items, now)
	if sender == nil && d.entries[h.sender] == nil {
		d.requestMember(h.sender)
	}
	reply := d.appendRequested(nil, requested)
	switch h.kind {
	case kindProbe:
		if sender == nil {
			reply = appendAlive(reply, &d.self)
		}
		d.answerProbe(from, h, reply)
		return
	case kindAck:
		d.handleAck(h.sequence)
	case kindNack:
		d.handleNack(h.sequence)
	case kindIndirectProbe:
		d.probeForRequester(from, h, now)
	}
	if len(reply) > 0 {
		d.send(from, header{kind: kindUpdates}, d.truncateItems(reply))
	}
}

// answerProbe sends the ack, and the member list if the probe is a seed probe. A probe for an earlier member at this address gets no
// answer.
func (d *Detector) answerProbe(from netip.AddrPort, h header, reply []byte) {
	isSeedProbe := h.target == 0
	if !isSeedProbe && h.target != d.self.ID {
		return
	}
	d.send(from, header{kind: kindAck, sequence: h.sequence}, d.truncateItems(reply))
	if isSeedProbe {
		d.sendMembers(from, maxJoinDatagrams)
	}
}

// applyItems applies the items of a datagram and returns the members that the sender requests.
func (d *Detector) applyItems(items []byte, now time.Duration) []ID {
	var requested []ID
	complete := forEachItem(items, func(tag itemTag, body []byte) {
		switch tag {
		case itemBroadcast:
			d.receiveBroadcast(body)
		case itemAlive:
			d.handleAliveItem(body, now)
		default:
			id, isRequested := d.handleMemberItem(tag, body, now)
			if isRequested {
				requested = append(requested, id)
			}
		}
	})
	if !complete {
		d.Counts.MalformedDatagrams++
	}
	return requested
}

func (d *Detector) receiveBroadcast(message []byte) {
	if len(d.broadcasts) < maxBroadcasts {
		d.broadcasts = append(d.broadcasts, slices.Clone(message))
	}
}

func (d *Detector) handleAliveItem(body []byte, now time.Duration) {
	member, ok := decodeAlive(body)
	if !ok {
		d.Counts.MalformedDatagrams++
		return
	}
	d.applyAlive(member, now)
}

// handleMemberItem handles an item that begins with a member's ID, and reports whether that member's entry should be sent to the sender.
// It skips items of unknown tags, which later versions may send.
func (d *Detector) handleMemberItem(tag itemTag, body []byte, now time.Duration) (id ID, isRequested bool) {
	id, ok := decodeID(body)
	if !ok {
		d.Counts.MalformedDatagrams++
		return 0, false
	}
	if tag == itemMemberRequest {
		return id, true
	}
	update, ok := decodeStateUpdate(body)
	if !ok {
		return 0, false
	}
	if id == d.self.ID { // the sender may only have missed an earlier refutation
		d.refute(update.incarnation)
		return id, true
	}
	if d.entries[id] == nil {
		if tag == itemSuspect {
			d.requestMember(id)
		}
		return 0, false
	}
	d.applyStateUpdate(tag, update, now)
	return 0, false
}

func (d *Detector) applyStateUpdate(tag itemTag, update stateUpdate, now time.Duration) {
	switch tag {
	case itemSuspect:
		d.applySuspect(update.id, update.incarnation, update.reporter, now)
	case itemDead:
		// After a partition each side has declared members of the other dead. A broker to which the member is still alive suspects it
		// first, so that the member can refute that.
		if d.entries[update.id].State == Alive {
			d.applySuspect(update.id, update.incarnation, update.reporter, now)
			return
		}
		d.applyDead(update.id, update.incarnation, now)
	case itemLeft:
		d.applyLeft(update.id, update.incarnation, now)
	}
}

// requestMember has the next datagrams ask other members for the entry of a member that is unknown here.
func (d *Detector) requestMember(id ID) {
	if len(d.requestedMembers) < maxRequestedMembers && !slices.Contains(d.requestedMembers, id) {
		d.requestedMembers = append(d.requestedMembers, id)
	}
}

// appendRequested encodes the entries of the members that a sender requests, where they are known here.
func (d *Detector) appendRequested(data []byte, requested []ID) []byte {
	for _, id := range requested {
		entry := d.entries[id]
		switch {
		case entry != nil:
			data = d.appendEntry(data, entry)
		case id == d.self.ID:
			data = appendAlive(data, &d.self)
		}
	}
	return data
}

// truncateItems returns as many complete items as fit into a datagram.
func (d *Detector) truncateItems(items []byte) []byte {
	end := 0
	for end+itemHeaderSize <= len(items) {
		next := end + itemHeaderSize + int(items[end+1])
		if next > d.maxItemsBytes() {
			break
		}
		end = next
	}
	return items[:min(end, len(items))]
}

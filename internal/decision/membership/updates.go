package membership

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
)

const (
	sendsPerLogMember = 3.0 // an update is sent this many times log2(living members + 1)
	maxUpdates        = 512 // waiting to be sent
	gossipTargets     = 2
	broadcastKeyFlag  = 1 << 40 // distinguishes the keys of broadcasts from member IDs
)

// piggybackedUpdate is an item that is carried by datagrams sent for another purpose.
type piggybackedUpdate struct {
	key       uint64 // a later update of the same key replaces it
	item      []byte
	sendCount int
}

// gossip sends updates independently of probes: a broker that finds itself slow probes less often, but its refutation must not wait for
// its next probe.
func (d *Detector) gossip() {
	if d.policy.WithoutLifeguard {
		return
	}
	for range gossipTargets {
		target := d.randomMember(func(e *memberEntry) bool { return e.State.isLiving() })
		if target != nil && len(d.updates) > 0 {
			d.send(target.Address, header{kind: kindUpdates}, nil)
		}
	}
}

// queueUpdate puts an item before the other updates and removes an earlier one of the same key. If the queue is full, the update sent most
// often is dropped.
func (d *Detector) queueUpdate(key uint64, item []byte) {
	earlier := slices.IndexFunc(d.updates, func(u piggybackedUpdate) bool { return u.key == key })
	if earlier >= 0 {
		d.updates = slices.Delete(d.updates, earlier, earlier+1)
	}
	if len(d.updates) >= maxUpdates {
		maxIndex := d.indexOfMaxSends()
		d.updates = slices.Delete(d.updates, maxIndex, maxIndex+1)
	}
	d.updates = slices.Insert(d.updates, 0, piggybackedUpdate{key: key, item: item})
}

func (d *Detector) indexOfMaxSends() int {
	maxIndex := 0
	for i := range d.updates {
		if d.updates[i].sendCount > d.updates[maxIndex].sendCount {
			maxIndex = i
		}
	}
	return maxIndex
}

// Broadcast sends a message to all members on datagrams sent for other purposes. A later message of the same key replaces it; keys are below
// 1<<40. A member that receives a new message calls Broadcast in turn. A message that doesn't fit into a datagram is dropped.
func (d *Detector) Broadcast(key uint64, message []byte) {
	if len(message) > d.maxItemsBytes()-itemHeaderSize {
		return
	}
	item := append([]byte{byte(itemBroadcast), byte(len(message))}, message...)
	d.queueUpdate(broadcastKeyFlag|key, item)
}

func (d *Detector) announceSelf() {
	d.queueUpdate(uint64(d.self.ID), appendAlive(nil, &d.self))
}

func (d *Detector) announceAlive(entry *memberEntry) {
	d.queueUpdate(uint64(entry.ID), appendAlive(nil, &entry.Member))
}

// send queues a datagram: the header, the given items, then as many requests for unknown members and updates as fit.
func (d *Detector) send(to netip.AddrPort, h header, items []byte) {
	h.sender = d.self.ID
	h.incarnation = d.self.Incarnation
	h.localHealth = uint8(d.localHealth)
	data := h.appendTo(make([]byte, 0, d.policy.MaxDatagramBytes))
	data = append(data, items...)
	data = d.appendMemberRequests(data)
	data = d.appendUpdates(data)
	d.Counts.DatagramsSent++
	d.packets = append(d.packets, Packet{To: to, Data: data})
}

func (d *Detector) appendMemberRequests(data []byte) []byte {
	for len(d.requestedMembers) > 0 && len(data)+memberRequestSize <= d.policy.MaxDatagramBytes {
		data = append(data, byte(itemMemberRequest), memberRequestSize-itemHeaderSize)
		data = binary.BigEndian.AppendUint32(data, uint32(d.requestedMembers[0]))
		d.requestedMembers = d.requestedMembers[1:]
	}
	return data
}

// appendUpdates appends the updates sent least often. They then go to the end of the queue, or are dropped if they were sent often enough.
func (d *Detector) appendUpdates(data []byte) []byte {
	maxSends := int(math.Ceil(sendsPerLogMember * math.Log2(float64(d.LivingCount()+1))))
	var requeued []piggybackedUpdate
	for i := 0; i < len(d.updates) && len(data)+stateUpdateSize <= d.policy.MaxDatagramBytes; {
		update := d.updates[i]
		if len(data)+len(update.item) > d.policy.MaxDatagramBytes {
			i++
			continue
		}
		data = append(data, update.item...)
		update.sendCount++
		if update.sendCount < maxSends {
			requeued = append(requeued, update)
		}
		d.updates = slices.Delete(d.updates, i, i+1)
	}
	d.updates = append(d.updates, requeued...)
	return data
}

// maxItemsBytes returns how many bytes of items fit into a datagram.
func (d *Detector) maxItemsBytes() int { return d.policy.MaxDatagramBytes - headerSize }

package membership

import (
	"net/netip"
	"slices"
)

const (
	maxJoinDatagrams       = 128 // with the member list, to a broker that joins
	membersPerSyncDatagram = 64  // members per additional datagram of a sync
)

// sync sends a part of the member list to a random member, in case updates were lost.
func (d *Detector) sync() {
	target := d.randomMember(func(e *memberEntry) bool { return e.State == Alive })
	if target != nil {
		d.sendMembers(target.Address, 1+len(d.ids)/membersPerSyncDatagram)
	}
}

// sendMembers sends the member list from where the last call ended, in at most maxDatagrams datagrams.
func (d *Detector) sendMembers(to netip.AddrPort, maxDatagrams int) {
	items := appendAlive(nil, &d.self)
	remaining := len(d.ids)
	for range maxDatagrams {
		for ; remaining > 0; remaining-- {
			entry := d.entries[d.ids[d.syncPosition%len(d.ids)]]
			extended := d.appendEntry(items, entry)
			if len(extended) > d.maxItemsBytes() {
				break
			}
			items = extended
			d.syncPosition++
		}
		d.send(to, header{kind: kindUpdates}, items)
		items = nil
		if remaining == 0 {
			return
		}
	}
}

// appendEntry encodes a member's entry, by its state.
func (d *Detector) appendEntry(data []byte, entry *memberEntry) []byte {
	switch entry.State {
	case Suspect:
		return d.appendStateUpdate(appendAlive(data, &entry.Member), itemSuspect, entry)
	case Dead:
		return d.appendStateUpdate(data, itemDead, entry)
	case Left:
		return d.appendStateUpdate(data, itemLeft, entry)
	}
	return appendAlive(data, &entry.Member)
}

// appendStateUpdate encodes a member's state with this broker as the reporter.
func (d *Detector) appendStateUpdate(data []byte, tag itemTag, entry *memberEntry) []byte {
	return appendStateUpdate(data, tag, stateUpdate{entry.ID, entry.Incarnation, d.self.ID})
}

// probeSeed probes a random seed that is not the address of a living member, and asks it for the member list.
func (d *Detector) probeSeed() {
	for range d.seeds {
		address := d.seeds[d.randomIndex(len(d.seeds))]
		if address == d.self.Address || d.isLivingAddress(address) {
			continue
		}
		d.send(address, header{kind: kindProbe, sequence: d.nextSequence()}, appendAlive(nil, &d.self))
		return
	}
}

func (d *Detector) isLivingAddress(address netip.AddrPort) bool {
	return slices.ContainsFunc(d.probeOrder, func(id ID) bool {
		entry := d.entries[id]
		return entry != nil && entry.Address == address && entry.State.isLiving()
	})
}

// probeDeadMember probes a random dead member and tells it that it was declared dead, so that it can refute this if a partition has healed.
func (d *Detector) probeDeadMember() {
	target := d.randomMember(func(e *memberEntry) bool { return e.State == Dead })
	if target == nil {
		return
	}
	items := d.appendStateUpdate(nil, itemDead, target)
	d.send(target.Address, header{kind: kindProbe, sequence: d.nextSequence(), target: target.ID}, items)
}

package membership

import (
	"slices"
	"time"
)

const (
	leaveNotifications   = 8 // members that are told when this broker stops as planned
	refutalHealthPenalty = 1
)

// addMember adds an unknown member as alive, unless the member list is full.
func (d *Detector) addMember(member Member, now time.Duration) {
	if len(d.entries) >= d.policy.MaxMembers {
		return
	}
	entry := &memberEntry{Member: member}
	d.entries[member.ID] = entry
	position, _ := slices.BinarySearch(d.ids, member.ID)
	d.ids = slices.Insert(d.ids, position, member.ID)
	d.probeOrder = append(d.probeOrder, member.ID)
	d.livingCount++
	entry.State = Alive
	entry.StateChangedAt = now
	d.changes = append(d.changes, Change{Member: entry.Member, PreviousState: Alive, New: true})
	d.announceAlive(entry)
}

// transition changes the state of a known member.
func (d *Detector) transition(entry *memberEntry, to State, now time.Duration) {
	previous := entry.State
	if previous.isLiving() {
		d.livingCount--
	}
	if previous == Suspect {
		d.suspectCount--
	}
	if to.isLiving() {
		d.livingCount++
	}
	if to == Suspect {
		d.suspectCount++
	}
	entry.State = to
	entry.StateChangedAt = now
	d.changes = append(d.changes, Change{Member: entry.Member, PreviousState: previous})
}

// applyAlive applies an update that a member is alive.
func (d *Detector) applyAlive(update Member, now time.Duration) {
	if update.ID == d.self.ID {
		d.applyAliveSelf(update)
		return
	}
	entry := d.entries[update.ID]
	if entry == nil {
		d.addMember(update, now)
		return
	}
	if update.Incarnation < entry.Incarnation {
		return
	}
	isNewer := update.Incarnation > entry.Incarnation
	// Of two members with the same name, the one known first is kept until one of them raises its incarnation.
	if !isNewer && (entry.State != Alive || update.Address != entry.Address) {
		return
	}
	entry.Incarnation = update.Incarnation
	entry.Address = update.Address
	entry.Weight = update.Weight
	entry.Name = update.Name
	d.reviveMember(entry, now)
	if isNewer {
		d.announceAlive(entry)
	}
}

// applyAliveSelf raises the incarnation if another process has this broker's name, or updates of an earlier process of this broker still
// circulate.
func (d *Detector) applyAliveSelf(update Member) {
	if update.Incarnation < d.self.Incarnation {
		return
	}
	if update.Incarnation > d.self.Incarnation || update.Address != d.self.Address {
		d.self.Incarnation = update.Incarnation + 1
		d.announceSelf()
	}
}

func (d *Detector) reviveMember(entry *memberEntry, now time.Duration) {
	if entry.State == Alive {
		return
	}
	entry.suspicion = suspicion{}
	if !entry.State.isLiving() {
		d.lastSync = now - d.policy.SyncInterval // a partition may have healed: sync at once
	}
	d.transition(entry, Alive, now)
}

// applySuspect applies a suspicion, which this broker or another reports.
func (d *Detector) applySuspect(id ID, incarnation uint32, reporter ID, now time.Duration) {
	entry := d.entries[id]
	if entry == nil || incarnation < entry.Incarnation || !entry.State.isLiving() {
		return
	}
	if entry.State == Suspect && incarnation == entry.Incarnation {
		d.confirmSuspicion(entry, reporter)
		return
	}
	d.Counts.Suspicions++
	entry.Incarnation = incarnation
	entry.suspicion = suspicion{startedAt: now, reporters: []ID{reporter}}
	d.transition(entry, Suspect, now)
	d.queueUpdate(uint64(id), appendStateUpdate(nil, itemSuspect, stateUpdate{id, incarnation, reporter}))
}

func (d *Detector) confirmSuspicion(entry *memberEntry, reporter ID) {
	if len(entry.suspicion.reporters) > maxConfirmations || slices.Contains(entry.suspicion.reporters, reporter) {
		return
	}
	entry.suspicion.reporters = append(entry.suspicion.reporters, reporter)
	d.queueUpdate(uint64(entry.ID), appendStateUpdate(nil, itemSuspect, stateUpdate{entry.ID, entry.Incarnation, reporter}))
}

// applyDead applies an update that a member is dead.
func (d *Detector) applyDead(id ID, incarnation uint32, now time.Duration) {
	d.endMember(id, incarnation, Dead, now)
}

// applyLeft applies an update that a member has left as planned.
func (d *Detector) applyLeft(id ID, incarnation uint32, now time.Duration) {
	d.endMember(id, incarnation, Left, now)
}

// endMember sets a living member to Dead or Left.
func (d *Detector) endMember(id ID, incarnation uint32, state State, now time.Duration) {
	entry := d.entries[id]
	if entry == nil || incarnation < entry.Incarnation || !entry.State.isLiving() {
		return
	}
	entry.Incarnation = incarnation
	d.transition(entry, state, now)
	d.queueUpdate(uint64(id), d.appendEntry(nil, entry))
}

// refute raises the incarnation above that of an update that this broker is suspect, dead or has left, and announces it.
func (d *Detector) refute(incarnation uint32) {
	if incarnation < d.self.Incarnation || d.left {
		return
	}
	d.Counts.Refutations++
	d.self.Incarnation = incarnation + 1
	d.adjustLocalHealth(refutalHealthPenalty)
	d.announceSelf()
}

// SetWeight sets and announces this broker's spare capacity.
func (d *Detector) SetWeight(weight uint8) {
	if weight == d.self.Weight {
		return
	}
	d.self.Weight = weight
	d.self.Incarnation++
	d.announceSelf()
}

// Leave tells some members that this broker stops as planned. After that the detector ignores datagrams and ticks.
func (d *Detector) Leave() {
	item := appendStateUpdate(nil, itemLeft, stateUpdate{d.self.ID, d.self.Incarnation, d.self.ID})
	notified := map[ID]bool{}
	for range leaveNotifications {
		entry := d.randomMember(func(e *memberEntry) bool { return e.State == Alive && !notified[e.ID] })
		if entry != nil {
			notified[entry.ID] = true
			d.send(entry.Address, header{kind: kindUpdates}, item)
		}
	}
	d.left = true
}

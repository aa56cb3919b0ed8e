package membership

// This file owns what becomes of a member: alive, suspected, buried, refuted, left.

import (
	"math"
	"slices"
	"time"
)

// suspicion is the case against a member.
type suspicion struct {
	from time.Duration
	by   []ID // who said so
}

type known struct {
	Member
	against suspicion
}

// patience is how long a member stays suspected before it is taken for dead: the less the more others agree.
func (m *Detector) patience(k *known) time.Duration {
	least := m.policy.SuspicionFactor * math.Max(1, math.Log10(float64(m.LivingCount()))) * float64(m.policy.ProbeInterval)
	if m.policy.WithoutLifeguard {
		return time.Duration(least)
	}
	most := m.policy.MaxSuspicionFactor * least
	agreed := math.Log(float64(len(k.against.by))) / math.Log(agreeing+1)
	return time.Duration(math.Max(least, most-(most-least)*agreed))
}

func (m *Detector) suspicions(now time.Duration) {
	if m.doubted == 0 && now-m.swept < time.Second {
		return
	}
	m.swept = now
	for _, id := range m.ids {
		if k := m.all[id]; k.State == Suspect && now >= k.against.from+m.patience(k) {
			m.Counts.DeclaredDead++
			m.bury(id, k.Incarnation, Dead, now)
		}
	}
	m.ids = slices.DeleteFunc(m.ids, func(id ID) bool {
		k := m.all[id]
		old := k.State >= Dead && now-k.StateChangedAt > m.policy.ForgetAfter
		if old {
			delete(m.all, id)
		}
		return old
	})
}

// set changes a member's state and notes it.
func (m *Detector) set(k *known, to State, now time.Duration, fresh bool) {
	was := k.State
	if !fresh && was <= Suspect {
		m.living--
	}
	if !fresh && was == Suspect {
		m.doubted--
	}
	if to <= Suspect {
		m.living++
	}
	if to == Suspect {
		m.doubted++
	}
	k.State, k.StateChangedAt = to, now
	m.changes = append(m.changes, Change{k.Member, was, fresh})
}

// alive takes over that a member is there.
func (m *Detector) alive(a Member, now time.Duration) {
	if a.ID == m.self.ID {
		// Danger: the name was used again at another address, or this one's earlier life is still spoken of.
		if a.Incarnation >= m.self.Incarnation && (a.Address != m.self.Address || a.Incarnation > m.self.Incarnation) {
			m.self.Incarnation = a.Incarnation + 1
			m.announce()
		}
		return
	}
	k := m.all[a.ID]
	if k == nil {
		if len(m.all) >= m.policy.MaxMembers {
			return
		}
		k = &known{Member: a}
		m.all[a.ID] = k
		at, _ := slices.BinarySearch(m.ids, a.ID)
		m.ids = slices.Insert(m.ids, at, a.ID)
		m.order = append(m.order, a.ID)
		m.set(k, Alive, now, true)
		m.say(uint64(a.ID), appendAlive(nil, &k.Member))
		return
	}
	if a.Incarnation < k.Incarnation || a.Incarnation == k.Incarnation && k.State != Alive {
		return
	}
	changed := a.Incarnation > k.Incarnation || a.Address != k.Address
	if a.Incarnation == k.Incarnation && a.Address != k.Address {
		return // two of one name: the first stands until one of them raises its incarnation
	}
	k.Incarnation, k.Address, k.Weight, k.Name = a.Incarnation, a.Address, a.Weight, a.Name
	if k.State != Alive {
		if k.against = (suspicion{}); k.State >= Dead {
			m.synced = now - m.policy.SyncInterval // a partition may have healed: all that is known is exchanged at once
		}
		m.set(k, Alive, now, false)
	}
	if changed {
		m.say(uint64(a.ID), appendAlive(nil, &k.Member))
	}
}

// suspect takes over that somebody suspects a member.
func (m *Detector) suspect(id ID, inc uint32, by ID, now time.Duration) {
	k := m.all[id]
	if k == nil || inc < k.Incarnation || k.State >= Dead {
		return
	}
	if k.State == Suspect && inc == k.Incarnation {
		if len(k.against.by) <= agreeing && !slices.Contains(k.against.by, by) {
			k.against.by = append(k.against.by, by)
			m.say(uint64(id), appendState(nil, tagSuspect, id, inc, by))
		}
		return
	}
	m.Counts.Suspicions++
	k.Incarnation, k.against = inc, suspicion{now, []ID{by}}
	m.set(k, Suspect, now, false)
	m.say(uint64(id), appendState(nil, tagSuspect, id, inc, by))
}

// bury takes over that a member is dead, or has left.
func (m *Detector) bury(id ID, inc uint32, as State, now time.Duration) {
	k := m.all[id]
	if k == nil || inc < k.Incarnation || k.State >= Dead {
		return
	}
	k.Incarnation = inc
	tag := byte(tagDead)
	if as == Left {
		tag = tagLeft
	}
	m.set(k, as, now, false)
	m.say(uint64(id), appendState(nil, tag, id, inc, m.self.ID))
}

// refute answers whoever suspects this broker or has buried it.
func (m *Detector) refute(inc uint32) {
	if inc < m.self.Incarnation || m.left {
		return
	}
	m.Counts.Refutations++
	m.self.Incarnation = inc + 1
	m.lateness(1)
	m.announce()
}

func (m *Detector) announce() { m.say(uint64(m.self.ID), appendAlive(nil, &m.self)) }

// SetWeight states another capacity.
func (m *Detector) SetWeight(weight uint8) {
	if weight != m.self.Weight {
		m.self.Weight = weight
		m.self.Incarnation++
		m.announce()
	}
}

// Leave tells some members that the broker goes, as planned. Nothing more is done after that.
func (m *Detector) Leave(now time.Duration) {
	body := appendState(nil, tagLeft, m.self.ID, m.self.Incarnation, m.self.ID)
	told := map[ID]bool{}
	for range 8 {
		if k := m.any(func(k *known) bool { return k.State == Alive && !told[k.ID] }); k != nil {
			told[k.ID] = true
			m.send(k.Address, head{kind: tell}, body)
		}
	}
	m.left = true
}

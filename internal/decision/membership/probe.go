package membership

// This file owns the clock of the view: probes, direct and by others, and what an observer that was late makes of it.

import (
	"net/netip"
	"slices"
	"time"
)

// probe is a member that is being asked.
type probe struct {
	seq      uint32
	target   ID
	began    time.Duration
	direct   time.Duration // no direct answer by then: others are asked
	end      time.Duration
	indirect int // others that were asked
	nacks    int
	asked    bool
}

// relay is a probe for another member.
type relay struct {
	seq   uint32 // of ours
	for_  netip.AddrPort
	their uint32
	until time.Duration
}

// slower is by how much a broker that finds itself late waits longer. Danger: one that gets no core, or whose own link is bad, takes
// everybody else for dead. It may hurt by slower detection while it is so.
func (m *Detector) slower() time.Duration {
	if m.policy.WithoutLifeguard {
		return 1
	}
	return time.Duration(1 + m.late)
}

func (m *Detector) lateness(by int) {
	m.late = min(mostLate, max(0, m.late+by))
	m.Counts.LocalHealthMultiplier = m.late
}

// Woke takes a jump of the clock into account: the broker was paused, or starved. Nothing that waited meanwhile says anything of
// the others; they may have buried this one, so it raises its incarnation.
func (m *Detector) woke(now, gap time.Duration) {
	m.probing = probe{}
	m.relays = m.relays[:0]
	for _, k := range m.all {
		if k.State == Suspect {
			k.against.from += gap
		}
	}
	m.lateness(2)
	m.self.Incarnation++
	m.announce()
	m.next, m.synced = now, now-m.policy.SyncInterval
}

// Tick does what is due and tells when to come again.
func (m *Detector) Tick(now time.Duration) time.Duration {
	if m.left {
		return now + time.Hour
	}
	if gap := now - m.last; m.last > 0 && gap > 3*m.policy.ProbeInterval && !m.policy.WithoutLifeguard {
		m.woke(now, gap)
	}
	m.last = now
	m.endProbe(now)
	m.suspicions(now)
	if now >= m.next {
		m.probe(now)
		m.next = now + m.policy.ProbeInterval*m.slower()
	}
	if now >= m.revived+m.policy.ProbeInterval {
		m.revived = now
		m.revive()
	}
	if now >= m.spread+m.policy.ProbeInterval/2 && len(m.news) > 0 {
		m.spread = now
		m.gossip()
	}
	if now >= m.synced+m.policy.SyncInterval {
		m.synced = now
		m.exchange(now)
	}
	if len(m.all) == 0 && now >= m.seedAt || now >= m.seedAt+10*m.policy.ProbeInterval {
		m.seedAt = now + m.policy.ProbeInterval
		m.knock()
	}
	for _, r := range m.relays {
		if r.until <= now {
			m.send(r.for_, head{kind: nack, seq: r.their}, nil)
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return r.until <= now })
	due := min(m.next, now+m.policy.ProbeInterval)
	if len(m.news) > 0 {
		due = min(due, m.spread+m.policy.ProbeInterval/2)
	}
	if m.probing.seq != 0 {
		if !m.probing.asked {
			due = min(due, m.probing.direct)
		}
		due = min(due, m.probing.end)
	}
	for _, r := range m.relays {
		due = min(due, r.until)
	}
	if m.doubted > 0 {
		for _, k := range m.all {
			if k.State == Suspect {
				due = min(due, k.against.from+m.patience(k))
			}
		}
	}
	return max(due, now+time.Millisecond)
}

// knock asks a seed that is no living member who is there.
func (m *Detector) knock() {
	for range m.seeds {
		at := m.seeds[int(m.draw()*float64(len(m.seeds)))]
		if at == m.self.Address || slices.ContainsFunc(m.order, func(id ID) bool { k := m.all[id]; return k != nil && k.Address == at && k.State <= Suspect }) {
			continue
		}
		m.seq++
		m.send(at, head{kind: ping, seq: m.seq}, appendAlive(nil, &m.self))
		return
	}
}

// revive asks one that is dead, as a partition may have healed; also while this broker finds itself late.
func (m *Detector) revive() {
	if k := m.any(func(k *known) bool { return k.State == Dead }); k != nil {
		m.seq++
		m.send(k.Address, head{kind: ping, seq: m.seq, target: k.ID}, appendState(nil, tagDead, k.ID, k.Incarnation, m.self.ID))
	}
}

// probe asks the next member of the round.
func (m *Detector) probe(now time.Duration) {
	if m.probing.seq != 0 {
		return // the last one is not over, as this broker is late
	}
	k := m.turn()
	if k == nil {
		return
	}
	m.seq++
	m.Counts.Probes++
	m.probing = probe{seq: m.seq, target: k.ID, began: now, direct: now + m.policy.ProbeTimeout*m.slower(), end: now + m.policy.ProbeInterval*m.slower()}
	var buddy []byte // whoever is suspected hears of it at once, and can refute
	if k.State == Suspect {
		buddy = appendState(nil, tagSuspect, k.ID, k.Incarnation, m.self.ID)
	}
	m.send(k.Address, head{kind: ping, seq: m.seq, target: k.ID}, buddy)
}

// turn is the next member to be probed: each once in a round.
func (m *Detector) turn() *known {
	for range 2 {
		for ; m.at < len(m.order); m.at++ {
			if k := m.all[m.order[m.at]]; k != nil && k.State <= Suspect {
				m.at++
				return k
			}
		}
		m.order, m.at = m.order[:0], 0
		for _, id := range m.ids {
			if m.all[id].State <= Suspect {
				m.order = append(m.order, id)
			}
		}
		for i := len(m.order) - 1; i > 0; i-- {
			j := int(m.draw() * float64(i+1))
			m.order[i], m.order[j] = m.order[j], m.order[i]
		}
	}
	return nil
}

// any draws a member: the first that fits from a place drawn at random.
func (m *Detector) any(fits func(*known) bool) *known {
	if len(m.ids) == 0 {
		return nil
	}
	from := int(m.draw() * float64(len(m.ids)))
	for i := range m.ids {
		if k := m.all[m.ids[(from+i)%len(m.ids)]]; fits(k) {
			return k
		}
	}
	return nil
}

// endProbe asks others, and suspects whoever answered neither this broker nor them.
func (m *Detector) endProbe(now time.Duration) {
	p := &m.probing
	if p.seq == 0 {
		return
	}
	k := m.all[p.target]
	if k == nil || k.State > Suspect {
		m.probing = probe{}
		return
	}
	if !p.asked && now >= p.direct {
		p.asked = true
		asked := map[ID]bool{k.ID: true}
		for range m.policy.IndirectProbes {
			o := m.any(func(o *known) bool { return o.State == Alive && !asked[o.ID] })
			if o == nil {
				break
			}
			asked[o.ID] = true
			p.indirect++
			m.send(o.Address, head{kind: pingReq, seq: p.seq, target: k.ID}, nil)
		}
	}
	if now < p.end {
		return
	}
	m.Counts.FailedProbes++
	missed := max(1, p.indirect-p.nacks) // whoever was asked says at least that it heard nothing: else this broker is the one cut off
	if p.indirect == 0 {
		missed = 1
	}
	m.lateness(missed)
	inc := k.Incarnation
	m.probing = probe{}
	m.suspect(k.ID, inc, m.self.ID, now)
}

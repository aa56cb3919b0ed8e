package membership

// This file owns what comes in: messages and the items that they carry.

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"
)

// HandleDatagram reads a message. One that makes no sense is counted and dropped; what can be read of one that breaks off counts.
func (m *Detector) HandleDatagram(from netip.AddrPort, data []byte, now time.Duration) {
	h, rest, ok := readHead(data)
	if !ok || m.left || h.from == m.self.ID {
		m.Counts.MalformedDatagrams++
		return
	}
	m.Counts.DatagramsReceived++
	m.heard = now
	sender := m.all[h.from]
	stranger := sender == nil
	if !stranger && sender.State >= Dead {
		// It is there: it hears that it was buried, or left in an earlier life, and raises its incarnation.
		m.send(from, head{kind: tell}, appendState(nil, tagDead, sender.ID, sender.Incarnation, m.self.ID))
	}
	var asked []ID
	whole := items(rest, func(tag byte, body []byte) { m.item(tag, body, now, &asked) })
	if !whole {
		m.Counts.MalformedDatagrams++
	}
	if stranger && m.all[h.from] == nil {
		m.want(h.from)
	}
	var body []byte
	for _, id := range asked {
		if k := m.all[id]; k != nil {
			body = m.about(body, k)
		} else if id == m.self.ID {
			body = appendAlive(body, &m.self)
		}
	}
	switch h.kind {
	case ping:
		if h.target != 0 && h.target != m.self.ID {
			return // meant for whoever was at this address before
		}
		if stranger {
			body = appendAlive(body, &m.self)
		}
		m.send(from, head{kind: ack, seq: h.seq}, m.fit(body))
		if h.target == 0 { // it knocks: it wants to know everybody
			m.pages(from, burst)
		}
		return
	case ack:
		m.acked(h, now)
	case nack:
		if m.probing.seq == h.seq {
			m.probing.nacks++
		}
	case pingReq:
		if k := m.all[h.target]; k != nil && len(m.relays) < 64 {
			m.seq++
			m.relays = append(m.relays, relay{m.seq, from, h.seq, now + time.Duration(nackAt*float64(m.policy.ProbeTimeout))})
			m.send(k.Address, head{kind: ping, seq: m.seq, target: h.target}, nil)
		}
	}
	if len(body) > 0 {
		m.send(from, head{kind: tell}, m.fit(body))
	}
}

// acked takes an answer to a probe, this broker's or another's.
func (m *Detector) acked(h head, now time.Duration) {
	if m.probing.seq != 0 && m.probing.seq == h.seq {
		m.probing = probe{}
		m.lateness(-1)
		return
	}
	for i, r := range m.relays {
		if r.seq == h.seq {
			m.send(r.for_, head{kind: ack, seq: r.their}, nil)
			m.relays = slices.Delete(m.relays, i, i+1)
			return
		}
	}
}

func (m *Detector) want(id ID) {
	if len(m.wants) < 32 && !slices.Contains(m.wants, id) {
		m.wants = append(m.wants, id)
	}
}

// item takes over one piece of news.
func (m *Detector) item(tag byte, body []byte, now time.Duration, asked *[]ID) {
	if tag == tagNote {
		if len(m.notes) < mostNews {
			m.notes = append(m.notes, slices.Clone(body))
		}
		return
	}
	if tag == tagAlive {
		if a, ok := readAlive(body); ok {
			m.alive(a, now)
		} else {
			m.Counts.MalformedDatagrams++
		}
		return
	}
	if len(body) < 4 {
		m.Counts.MalformedDatagrams++
		return
	}
	id := ID(binary.BigEndian.Uint32(body))
	if tag == tagWho {
		*asked = append(*asked, id)
		return
	}
	if len(body) < 12 {
		return // of a version that says more, or less, than this one knows
	}
	inc, by := binary.BigEndian.Uint32(body[4:]), ID(binary.BigEndian.Uint32(body[8:]))
	if m.all[id] == nil && id != m.self.ID {
		if tag == tagSuspect {
			m.want(id)
		}
		return
	}
	if id == m.self.ID { // whoever says so hears better, also where it only missed that it was refuted long ago
		m.refute(inc)
		*asked = append(*asked, id)
		return
	}
	switch tag {
	case tagSuspect:
		m.suspect(id, inc, by, now)
	case tagDead:
		// Danger: after a partition each side tells the other of its dead, among them those who stand right here. Whoever did
		// not hear of a suspicion suspects first.
		if k := m.all[id]; k != nil && k.State == Alive {
			m.suspect(id, inc, by, now)
		} else {
			m.bury(id, inc, Dead, now)
		}
	case tagLeft:
		m.bury(id, inc, Left, now)
	}
}

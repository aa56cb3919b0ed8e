package membership

// This file owns what is told: news carried along, broadcasts, and the exchange of whole views.

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"
)

// news is something that is carried along with what is sent anyway.
type news struct {
	key  uint64 // later news of the same key takes its place
	body []byte
	sent int
}

// gossip tells news to some members beside the probes. Danger: a broker that finds itself late probes less, and what it has to
// tell, that somebody is alive after all, would go out as slowly. A plain one leaves all to its probes.
func (m *Detector) gossip() {
	if m.policy.WithoutLifeguard {
		return
	}
	for range 2 {
		if k := m.any(func(k *known) bool { return k.State <= Suspect }); k != nil && len(m.news) > 0 {
			m.send(k.Address, head{kind: tell}, nil)
		}
	}
}

// say has a piece of news carried along; what was said under the same key before is dropped.
func (m *Detector) say(key uint64, body []byte) {
	for i := range m.news {
		if m.news[i].key == key {
			m.news = slices.Delete(m.news, i, i+1)
			break
		}
	}
	if len(m.news) >= mostNews { // the one that was carried most is known best
		most := 0
		for i := range m.news {
			if m.news[i].sent > m.news[most].sent {
				most = i
			}
		}
		m.news = slices.Delete(m.news, most, most+1)
	}
	m.news = slices.Insert(m.news, 0, news{key, body, 0})
}

// Broadcast has a note carried to all members. Whoever gets it in Notes and finds it new broadcasts it in turn.
func (m *Detector) Broadcast(key uint64, note []byte) {
	if len(note) <= m.policy.MaxDatagramBytes-headSize-2 {
		m.say(1<<40|key, append([]byte{tagNote, byte(len(note))}, note...))
	}
}

// send puts a message together: what it is for, then as much news as fits, the least carried first.
func (m *Detector) send(to netip.AddrPort, h head, body []byte) {
	h.from, h.inc, h.late = m.self.ID, m.self.Incarnation, uint8(m.late)
	b := append(h.append(make([]byte, 0, m.policy.MaxDatagramBytes)), body...)
	for len(m.wants) > 0 && len(b)+6 <= m.policy.MaxDatagramBytes {
		b = append(b, tagWho, 4)
		b = binary.BigEndian.AppendUint32(b, uint32(m.wants[0]))
		m.wants = m.wants[1:]
	}
	// What is carried goes to the back, what is new comes in at the front: the least carried goes first.
	most := int(math.Ceil(repeatLog * math.Log2(float64(m.LivingCount()+1))))
	var carried []news
	for i := 0; i < len(m.news) && len(b)+14 <= m.policy.MaxDatagramBytes; {
		n := &m.news[i]
		if len(b)+len(n.body) > m.policy.MaxDatagramBytes {
			i++
			continue
		}
		b = append(b, n.body...)
		if n.sent++; n.sent < most {
			carried = append(carried, *n)
		}
		m.news = slices.Delete(m.news, i, i+1)
	}
	m.news = append(m.news, carried...)
	m.Counts.DatagramsSent++
	m.out = append(m.out, Packet{to, b})
}

// fit cuts a body to what a message holds, at an item's end.
func (m *Detector) fit(body []byte) []byte {
	end := 0
	for end+2 <= len(body) && end+2+int(body[end+1]) <= m.policy.MaxDatagramBytes-headSize {
		end += 2 + int(body[end+1])
	}
	return body[:min(end, len(body))]
}

// about encodes what is known of a member.
func (m *Detector) about(b []byte, k *known) []byte {
	switch k.State {
	case Suspect:
		return appendState(appendAlive(b, &k.Member), tagSuspect, k.ID, k.Incarnation, m.self.ID)
	case Dead:
		return appendState(b, tagDead, k.ID, k.Incarnation, m.self.ID)
	case Left:
		return appendState(b, tagLeft, k.ID, k.Incarnation, m.self.ID)
	}
	return appendAlive(b, &k.Member)
}

// exchange tells one member a page of all that is known: what was lost of the news on its way comes round so.
func (m *Detector) exchange(now time.Duration) {
	if k := m.any(func(k *known) bool { return k.State == Alive }); k != nil {
		m.pages(k.Address, 1+len(m.ids)/64) // more where there are many to go round
	}
}

// pages sends up to so many messages of what is known, each time from where the last one ended.
func (m *Detector) pages(to netip.AddrPort, most int) {
	ids := m.ids
	body, left := appendAlive(nil, &m.self), len(ids)
	for range most {
		for ; left > 0; left-- {
			k := m.all[ids[m.cursor%len(ids)]]
			next := m.about(body, k)
			if len(next) > m.policy.MaxDatagramBytes-headSize {
				break
			}
			body = next
			m.cursor++
		}
		m.send(to, head{kind: tell}, body)
		if body = nil; left == 0 {
			return
		}
	}
}

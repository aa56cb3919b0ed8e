package forwarding

// This file owns what may happen next in a state of the model.

import (
	"fmt"
	"time"

	"flaxfront/internal/decision"
)

// choice is one thing that may happen next.
type choice struct {
	name string
	do   func()
}

// choices lists what may happen, always in the same order.
func (m *model) choices() (all []choice) {
	add := func(name string, if_ bool, do func()) {
		if if_ {
			all = append(all, choice{name, func() { do(); m.acts() }})
		}
	}
	add("offer", !m.begun && m.up, func() {
		m.begun = true
		if !m.near.Offer(Query{ID: search, Idempotency: m.effect, IdempotencyWindow: 300 * time.Millisecond, Deadline: m.now + time.Second}, m.now) {
			m.fault("not forwarded")
		}
	})
	add("connect", !m.up && m.conn < 3, func() {
		m.conn++
		m.up, m.farConn, m.toNear = true, m.conn, nil
		if m.variant != "old links are heard" {
			m.far.LinkOpened(m.origin(), m.conn)
		}
		m.near.LinkUp(0, m.epoch, 10, m.now)
		m.near.HandleStatus(0, Status{FreeShare: 1}, 10*time.Millisecond, m.now+1)
	})
	add("write", m.up && len(m.outbox) > 0, func() {
		m.toFar[m.conn] = append(m.toFar[m.conn], m.outbox[0])
		m.outbox = m.outbox[1:]
	})
	add("near sees a cut", m.up && m.cuts < 2, func() {
		m.cuts++
		m.up = false
		var unsent []uint64
		for _, o := range m.outbox {
			if o.what == "ask" {
				unsent = append(unsent, search)
			}
		}
		if m.variant == "all lost is taken for unsent" {
			unsent = []uint64{search}
		}
		m.outbox, m.toNear = nil, nil
		m.near.LinkDown(0, unsent, m.now)
	})
	add("far sees a cut", m.farConn > 0 && (!m.up || m.farConn < m.conn), func() {
		m.farConn = 0
		if m.far.CancelledByLinkLoss(Key{m.origin(), search}) && m.farRuns {
			m.farEnds(msg{what: "failed"})
		}
	})
	for conn := uint64(1); conn <= m.conn; conn++ {
		add(fmt.Sprintf("far reads link %d", conn), len(m.toFar[conn]) > 0 && conn > m.deaf, func() {
			in := m.toFar[conn][0]
			m.toFar[conn] = m.toFar[conn][1:]
			m.arrive(conn, in, false)
		})
		add(fmt.Sprintf("far reads link %d and is full", conn), len(m.toFar[conn]) > 0 && conn > m.deaf && m.toFar[conn][0].what == "ask", func() {
			in := m.toFar[conn][0]
			m.toFar[conn] = m.toFar[conn][1:]
			m.arrive(conn, in, true)
		})
		add(fmt.Sprintf("link %d loses what it holds", conn), len(m.toFar[conn]) > 0 && (!m.up || conn < m.conn), func() {
			delete(m.toFar, conn)
		})
	}
	add("near reads", m.up && len(m.toNear) > 0, func() {
		in := m.toNear[0]
		m.toNear = m.toNear[1:]
		how := map[string]Outcome{"answered": Answered, "refused": Rejected, "failed": Failed}[in.what]
		if m.near.HandleResult(0, search, how, m.now) {
			m.end(in.what)
		}
	})
	once := m.effect == decision.NonIdempotent
	add("a far node runs it", m.farRuns && m.ran < 3 && !(once && m.farRan), func() { m.farRan = true; m.run() })
	add("the far module answers", m.farRuns && m.farRan, func() { m.farEnds(msg{what: "answered"}) })
	add("the far module fails it", m.farRuns, func() { m.farEnds(msg{what: "failed"}) })
	add("the far module sheds it", m.farRuns && (!m.farRan || m.effect == decision.Idempotent), func() { m.farEnds(msg{what: "refused"}) })
	add("the far process is killed", m.kills < 1, func() {
		m.kills++
		m.epoch++
		m.far, m.farRuns, m.verdict, m.farConn = NewReceiver(modelPolicy), false, nil, 0
		m.toFar, m.toNear, m.deaf = map[uint64][]msg{}, nil, m.conn
	})
	add("a node runs it at home", m.home && m.ran < 3 && !(once && m.homeRan), func() { m.homeRan = true; m.run() })
	add("home answers", m.home && m.homeRan, func() { m.home = false; m.end("answered") })
	add("home fails it", m.home, func() { m.home = false; m.end("failed") })
	add("home sheds it", m.home && (!m.homeRan || m.effect == decision.Idempotent), func() {
		m.home = false
		if m.risk && m.effect != decision.Idempotent {
			m.end("failed")
		} else {
			m.end("shed")
		}
	})
	add("the client goes", m.begun && m.finals == 0 && !m.left && !m.home, func() {
		m.left = true
		m.near.Abandon(search)
	})
	add("time passes", m.begun && m.finals == 0 && m.now < 2*time.Second, func() {
		next := m.near.Tick(m.now)
		if next > time.Hour {
			next = m.now + 250*time.Millisecond
		}
		m.now = next
		m.near.Tick(m.now)
		if m.now >= time.Second+m.near.policy.AnswerReserve && !m.home && !m.left && m.finals == 0 && len(m.near.DrainActions()) == 0 {
			m.fault("rule 1: no answer at %v", m.now)
		}
	})
	return all
}

package forwarding

import (
	"fmt"
	"time"

	"flaxfront/internal/decision"
)

// choice is one event that may happen next.
type choice struct {
	name string
	do   func()
}

// choices lists the events that may happen next, always in the same order.
func (m *model) choices() (all []choice) {
	add := func(name string, enabled bool, do func()) {
		if enabled {
			all = append(all, choice{name, func() { do(); m.executeActions() }})
		}
	}
	add("offer", !m.offered && m.up, func() {
		m.offered = true
		q := Query{ID: queryID, Idempotency: m.idempotency, IdempotencyWindow: 300 * time.Millisecond, Deadline: m.now + time.Second}
		if !m.forwarder.Offer(q, m.now) {
			m.recordViolation("the offered query was not forwarded")
		}
	})
	connect := func(ended bool) {
		m.newestLink++
		m.linkEnded = ended
		m.up, m.receiverLink, m.toForwarder = true, m.newestLink, nil
		if m.variant != "old links are not ignored" {
			m.receiver.LinkOpened(m.origin(), m.newestLink)
		}
		m.forwarder.LinkUp(0, m.epoch, 10, m.now)
		m.forwarder.HandleStatus(0, Status{FreeShare: 1}, 10*time.Millisecond, m.now+1)
	}
	add("connect", !m.up && m.newestLink < 3, func() { connect(false) })
	add("connect by a link that has ended when the forwarding side learns of it", !m.up && m.newestLink < 3, func() { connect(true) })
	add("the link ends, and the forwarding side does not see it yet", m.up && !m.linkEnded, func() { m.linkEnded = true })
	add("write", m.up && !m.linkEnded && len(m.outbox) > 0, func() {
		m.toReceiver[m.newestLink] = append(m.toReceiver[m.newestLink], m.outbox[0])
		m.outbox = m.outbox[1:]
	})
	add("the forwarding side sees a cut", m.up && m.cuts < 2, func() {
		m.cuts++
		m.up, m.linkEnded = false, false
		var unsent []uint64
		for _, o := range m.outbox {
			if o.kind == "ask" {
				unsent = append(unsent, queryID)
			}
		}
		if m.variant == "all lost is taken for unsent" {
			unsent = []uint64{queryID}
		}
		m.outbox, m.toForwarder = nil, nil
		m.forwarder.LinkDown(0, unsent, m.now)
	})
	add("the receiving side sees a cut", m.receiverLink > 0 && (!m.up || m.receiverLink < m.newestLink), func() {
		m.receiverLink = 0
		if m.receiver.CancelledByLinkLoss(Key{m.origin(), queryID}) && m.remoteInFlight {
			m.endRemote(msg{kind: "failed"})
		}
	})
	for conn := uint64(1); conn <= m.newestLink; conn++ {
		add(fmt.Sprintf("the receiving side reads link %d", conn), len(m.toReceiver[conn]) > 0 && conn > m.lastEndedLink, func() {
			in := m.toReceiver[conn][0]
			m.toReceiver[conn] = m.toReceiver[conn][1:]
			m.deliver(conn, in, false)
		})
		queryNext := len(m.toReceiver[conn]) > 0 && conn > m.lastEndedLink && m.toReceiver[conn][0].kind == "ask"
		add(fmt.Sprintf("the receiving side reads link %d and is full", conn), queryNext, func() {
			in := m.toReceiver[conn][0]
			m.toReceiver[conn] = m.toReceiver[conn][1:]
			m.deliver(conn, in, true)
		})
		add(fmt.Sprintf("link %d loses what it holds", conn), len(m.toReceiver[conn]) > 0 && (!m.up || conn < m.newestLink), func() {
			delete(m.toReceiver, conn)
		})
	}
	add("the forwarding side reads", m.up && len(m.toForwarder) > 0, func() {
		in := m.toForwarder[0]
		m.toForwarder = m.toForwarder[1:]
		outcome := map[string]Outcome{"answered": Answered, "rejected": Rejected, "failed": Failed}[in.kind]
		if m.forwarder.HandleResult(0, queryID, outcome, m.now) {
			m.recordResult(in.kind)
		}
	})
	once := m.idempotency == decision.NonIdempotent
	add("a remote node runs it", m.remoteInFlight && m.runCount < 3 && !(once && m.ranRemotely), func() { m.ranRemotely = true; m.run() })
	add("the remote router answers", m.remoteInFlight && m.ranRemotely, func() { m.endRemote(msg{kind: "answered"}) })
	add("the remote router fails it", m.remoteInFlight, func() { m.endRemote(msg{kind: "failed"}) })
	add("the remote router sheds it", m.remoteInFlight && (!m.ranRemotely || m.idempotency == decision.Idempotent), func() {
		m.endRemote(msg{kind: "rejected"})
	})
	add("the receiving process is killed", m.kills < 1, func() {
		m.kills++
		m.epoch++
		m.receiver, m.remoteInFlight, m.keptResult, m.receiverLink = NewReceiver(modelPolicy), false, nil, 0
		m.toReceiver, m.toForwarder, m.lastEndedLink = map[uint64][]msg{}, nil, m.newestLink
	})
	add("an own node runs it", m.returned && m.runCount < 3 && !(once && m.ranLocally), func() { m.ranLocally = true; m.run() })
	add("the own router answers", m.returned && m.ranLocally, func() { m.returned = false; m.recordResult("answered") })
	add("the own router fails it", m.returned, func() { m.returned = false; m.recordResult("failed") })
	add("the own router sheds it", m.returned && (!m.ranLocally || m.idempotency == decision.Idempotent), func() {
		m.returned = false
		if m.mayHaveRun && m.idempotency != decision.Idempotent {
			m.recordResult("failed")
		} else {
			m.recordResult("shed")
		}
	})
	add("the client goes", m.offered && m.resultCount == 0 && !m.clientLeft && !m.returned, func() {
		m.clientLeft = true
		m.forwarder.Abandon(queryID)
	})
	add("time passes", m.offered && m.resultCount == 0 && m.now < 2*time.Second, func() {
		next := m.forwarder.Tick(m.now)
		if next > time.Hour {
			next = m.now + 250*time.Millisecond
		}
		m.now = next
		m.forwarder.Tick(m.now)
		late := m.now >= time.Second+m.forwarder.policy.AnswerReserve
		if late && !m.returned && !m.clientLeft && m.resultCount == 0 && len(m.forwarder.DrainActions()) == 0 {
			m.recordViolation("rule 1: no result at %v", m.now)
		}
	})
	return all
}

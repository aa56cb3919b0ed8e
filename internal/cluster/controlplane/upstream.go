package controlplane

import (
	"time"

	"flaxfront/internal/decision/statemachine"
)

// outboxDelay is how long renewals and reports wait to be sent together. Proposals are sent at once.
const outboxDelay = 40 * time.Millisecond

func (u *upstreamFrame) isEmpty() bool {
	return len(u.Renewals) == 0 && len(u.Entries) == 0 && len(u.Reports) == 0
}

// exceeds reports whether the frame has more than number items of any kind.
func (u *upstreamFrame) exceeds(number int) bool {
	return len(u.Renewals) > number || len(u.Entries) > number || len(u.Reports) > number
}

func (u *upstreamFrame) add(more upstreamFrame) {
	u.Renewals = append(u.Renewals, more.Renewals...)
	u.Entries = append(u.Entries, more.Entries...)
	u.Reports = append(u.Reports, more.Reports...)
}

// sendOutbox sends the outbox towards the leader if it is due, and returns when it must be called again.
func (p *Participant) sendOutbox(now time.Duration) (next time.Duration) {
	if p.outbox.isEmpty() {
		return now + idleInterval
	}
	if p.dueAt.outbox == 0 {
		p.dueAt.outbox = now + outboxDelay
	}
	if !p.outboxUrgent && now < p.dueAt.outbox {
		return p.dueAt.outbox
	}
	if p.isLeader() {
		p.handleUpstream(nil, p.outbox, now)
	} else if c := p.connTowardsLeader(); c != nil {
		p.send(c, frameUpstream, p.outbox)
	}
	p.outbox = upstreamFrame{}
	p.outboxUrgent = false
	p.dueAt.outbox = 0
	return now + idleInterval
}

// connTowardsLeader returns the connection over which the leader can be reached; nil if there is none or this broker leads.
func (p *Participant) connTowardsLeader() *conn {
	if !p.isVoting() {
		if len(p.sourcePath) == 0 {
			return nil
		}
		return p.source
	}
	leader := p.raft.Leader()
	if leader == 0 || leader == p.voterID {
		return nil
	}
	return p.voterConns[p.voterByID(leader).Name]
}

// handleUpstream handles proposals, renewals and reports on their way to the leader; c is nil for this broker's own. The leader acts on them.
// Other brokers forward them, but only those of their followers. Otherwise a frame could circulate for ever between a voter and another that
// it takes for the leader, but that has stopped voting and now follows it.
func (p *Participant) handleUpstream(c *conn, frame upstreamFrame, now time.Duration) {
	if frame.exceeds(maxBatch) {
		return
	}
	if c != nil {
		if !c.isFollower && !p.isLeader() {
			return
		}
		for i := range frame.Renewals {
			p.routes[statemachine.Slot(frame.Renewals[i].Slot)] = c
		}
	}
	if p.isLeader() {
		for _, data := range frame.Entries {
			p.proposeToRaft(data, now)
		}
		p.queueRenewals(frame.Renewals)
		p.acceptReports(frame.Reports, now)
		return
	}
	if p.outbox.exceeds(maxBatch - 1) { // without a connection towards the leader the outbox would grow without bound
		return
	}
	p.outbox.add(frame)
	if len(frame.Entries) > 0 {
		p.outboxUrgent = true
	}
}

// proposeToRaft proposes an encoded entry to raft if it can be decoded. If raft rejects it, the broker that proposed it sends it again.
func (p *Participant) proposeToRaft(data []byte, now time.Duration) {
	if _, _, err := statemachine.Decode(data); err != nil {
		return
	}
	if err := p.raft.Propose(data, now); err != nil {
		p.Counts.Refused.Add(1)
	}
}

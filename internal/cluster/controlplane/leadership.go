package controlplane

import (
	"encoding/binary"
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

// leaderInterval is the interval of the leader's periodic work.
const leaderInterval = 100 * time.Millisecond

// leadership is the state of a leader. It is empty on all other brokers.
type leadership struct {
	term          uint64
	proposing     bool // the LeaderElected entry of this term is in flight
	established   bool // the LeaderElected entry of this term is applied
	establishedAt time.Duration
	dueAt         time.Duration
	transferAfter time.Duration // no transfer to another voter is attempted before this time

	sessions       map[statemachine.Slot]grantedLease
	proposedLosses map[statemachine.Slot]uint64 // incarnations whose loss is proposed: they get no more leases
	renewals       []leaseRenewal               // not granted yet: a majority must first confirm the leadership
	readsInFlight  int

	reports       map[statemachine.Slot]ReceivedReport
	planner       *release.Planner
	planProposals int // of the release planner, in flight
	planAt        time.Duration
}

// advanceRaft does raft's due work, and follows changes of leadership. It returns when it must be called again.
func (p *Participant) advanceRaft(now time.Duration) (next time.Duration) {
	next = p.raft.Tick(now)
	p.sendPackets()
	p.checkRaftError()
	p.transferIfLeaving(now)
	if !p.raft.IsLeader() {
		p.loseLeadership()
		return next
	}
	p.acquireLeadership()
	if !p.leadership.established && !p.leadership.proposing && now >= p.leadership.dueAt {
		p.proposeLeadership(now)
	}
	if p.leadership.established && now >= p.leadership.dueAt {
		p.leadership.dueAt = now + leaderInterval
		p.proposeLosses(now)
		p.runLeaderTasks(now)
	}
	p.grantLeases(now)
	return min(next, now+leaderInterval)
}

// checkRaftError makes a voter whose raft has failed follow the other voters, without a vote.
func (p *Participant) checkRaftError() {
	err := p.raft.Err()
	if err == nil || p.voterStopped {
		return
	}
	p.voterStopped = true
	slog.Error("voter stopped; it follows the others", "component", component, "error", err,
		"remedy", remedyOf(errors.Join(p.haltedBy, err)))
	p.startFollowing()
}

func (p *Participant) transferIfLeaving(now time.Duration) {
	if !p.leaving.Load() || !p.raft.IsLeader() || now < p.leadership.transferAfter {
		return
	}
	p.leadership.transferAfter = now + p.options.ElectionTimeout
	p.raft.TransferLeadership(now)
	p.sendPackets()
}

func (p *Participant) loseLeadership() {
	if p.leadership.term == 0 {
		return
	}
	slog.Info("leadership lost", "component", component, "term", p.leadership.term)
	p.leadership = leadership{}
}

func (p *Participant) acquireLeadership() {
	term := p.raft.Term()
	if p.leadership.term == term {
		return
	}
	p.leadership = leadership{
		term:           term,
		sessions:       map[statemachine.Slot]grantedLease{},
		proposedLosses: map[statemachine.Slot]uint64{},
		reports:        map[statemachine.Slot]ReceivedReport{},
	}
	slog.Info("leadership acquired", "component", component, "term", term)
}

// proposeLeadership proposes the entry that makes this broker the leader for the tier. It is called until that entry is applied: the
// proposal may be rejected because it comes from an earlier process, or dropped with its incarnation, and without the entry the leader can
// do nothing in its term.
func (p *Participant) proposeLeadership(now time.Duration) {
	p.leadership.proposing = true
	p.leadership.dueAt = now + leaderInterval
	term := p.leadership.term
	p.propose(&statemachine.LeaderElected{Slot: p.options.Slot, Term: term}, func(statemachine.Result, error) {
		if p.leadership.term == term {
			p.leadership.proposing = false
		}
	})
}

// noteAppliedByLeader updates the leader's state from an applied entry.
func (p *Participant) noteAppliedByLeader(entry statemachine.Entry, r statemachine.Result) {
	l := &p.leadership
	switch e := entry.(type) {
	case *statemachine.LeaderElected:
		if l.term != 0 && e.Slot == p.options.Slot && e.Term == l.term && r.Err == nil {
			l.established = true
			l.establishedAt = p.options.Now()
			l.planner = release.NewPlanner(p.options.ReleaseGates, e.Term, l.establishedAt)
		}
	case *statemachine.RegisterBroker:
		if l.established && r.Err == nil && !r.Duplicate {
			l.sessions[e.Slot] = grantedLease{incarnation: e.Incarnation, grantedAt: p.options.Now()}
		}
	}
}

// sendPackets saves what raft has to persist, sends its packets to the other voters, and completes confirmed reads.
func (p *Participant) sendPackets() {
	for _, packet := range p.raft.ProcessReady() {
		if c := p.voterConns[p.voterByID(packet.To).Name]; c != nil {
			p.send(c, framePacket, packet.Data)
		}
	}
	for _, read := range p.raft.CompletedReads() {
		id := binary.BigEndian.Uint64(read.RequestContext)
		if done := p.pendingReads[id]; done != nil {
			delete(p.pendingReads, id)
			done(read.Err)
		}
	}
}

// confirmedRead calls done once a majority has confirmed that this broker's state holds every entry committed before this call. If that
// fails, it calls done with the error.
func (p *Participant) confirmedRead(done func(error)) {
	p.lastReadID++
	id := p.lastReadID
	p.pendingReads[id] = done
	if err := p.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, id)); err != nil {
		delete(p.pendingReads, id)
		done(err)
	}
}

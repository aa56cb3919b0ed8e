package controlplane

import (
	"encoding/binary"
	"errors"
	"log/slog"
	"time"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

// leaderInterval is how often the leader does what is due.
const leaderInterval = 100 * time.Millisecond

// leadership is what a leader holds; empty in all others.
type leadership struct {
	term          uint64
	proposing     bool // its LeaderElected is in flight
	established   bool // its LeaderElected is applied
	establishedAt time.Duration
	dueAt         time.Duration
	transferAfter time.Duration // leadership is offered to another voter no sooner

	sessions       map[statemachine.Slot]grantedLease
	proposedLosses map[statemachine.Slot]uint64 // incarnations whose loss is proposed: they are granted nothing more
	renewals       []leaseRenewal               // wait for a majority to confirm the leadership
	readsInFlight  int

	reports       map[statemachine.Slot]ReceivedReport
	planner       *release.Planner
	planProposals int // not applied yet
	planAt        time.Duration
}

// advanceRaft does what is due of raft, and takes leadership up or lays it down.
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

// checkRaftError has a voter that can't go on follow the others.
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

// proposeLeadership tells the tier who leads. It is repeated: the proposal may be rejected, as of an earlier process, or given up with an
// incarnation, and without it the term would pass with nothing done.
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

// noteAppliedByLeader notes applied entries that matter to the leader.
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

// sendPackets saves and sends what raft has for the other voters, and completes confirmed reads.
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

// confirmedRead calls done once this broker's state is known to hold all that was agreed before this moment, or with an error.
func (p *Participant) confirmedRead(done func(error)) {
	p.lastReadID++
	id := p.lastReadID
	p.pendingReads[id] = done
	if err := p.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, id)); err != nil {
		delete(p.pendingReads, id)
		done(err)
	}
}

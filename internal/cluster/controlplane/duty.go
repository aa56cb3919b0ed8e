package controlplane

// This file owns what the leader does for others: the release, and duties that are handed in. Each only proposes.

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// LeaderContext is what a duty of the leader decides on.
type LeaderContext struct {
	State   *statemachine.State // must not be changed or kept
	Term    uint64
	Now     time.Duration
	Reports map[statemachine.Slot]ReceivedReport // must not be changed or kept

	leadership *leadership
}

// LastLeaseGrant is when a broker's lease was last granted by this leader, at the latest; where it has granted none, since when it leads.
func (m *LeaderContext) LastLeaseGrant(b statemachine.Broker) time.Duration {
	if s := m.leadership.sessions[b.Slot]; s.incarnation == b.Incarnation {
		return max(m.leadership.establishedAt, s.grantedAt)
	}
	return m.leadership.establishedAt
}

// LeaderTask is a thing that the leader does. It runs in the fleet's goroutine, says what to propose, and must not wait.
type LeaderTask struct {
	Name              string
	Interval          time.Duration
	Propose           func(LeaderContext) []statemachine.Entry
	dueAt             time.Duration
	proposalsInFlight int // proposed and not yet applied
}

// AddLeaderTask adds a duty, before Run.
func (p *Participant) AddLeaderTask(d LeaderTask) { p.leaderTasks = append(p.leaderTasks, d) }

// isVotersPermit tells whether a permit is that of a broker that votes.
func (p *Participant) isVotersPermit(permit *statemachine.IssuePermit) bool {
	b, _ := p.state.Broker(permit.Slot)
	return !permit.ForNode && slices.ContainsFunc(p.options.Voters, func(v Voter) bool { return v.Name == b.Name })
}

// keepsMajority tells whether so many more voters may go out. Danger: a release that lets two of three go at once has nobody left to
// agree that they are back. A single voter goes all the same.
func (p *Participant) keepsMajority(going int) bool {
	n := len(p.options.Voters)
	for _, b := range p.state.Brokers() {
		if (b.Status != statemachine.BrokerServing || b.Permit > 0) && slices.ContainsFunc(p.options.Voters, func(v Voter) bool { return v.Name == b.Name }) {
			going++
		}
	}
	return n == 1 || going <= (n-1)/2
}

// runLeaderTasks has the duties propose what is due; one whose last proposals are not applied yet waits.
func (p *Participant) runLeaderTasks(now time.Duration) {
	if p.leadership.planProposals == 0 && now >= p.leadership.planAt {
		var all []statemachine.Entry
		all, p.leadership.planAt = p.leadership.planner.Next(p.state, now)
		term, going := p.leadership.term, 0
		for _, e := range all {
			if permit, ok := e.(*statemachine.IssuePermit); ok && p.isVotersPermit(permit) {
				if going++; !p.keepsMajority(going) {
					continue // the planner comes back to it
				}
			}
			p.leadership.planProposals++
			p.propose(e, func(r statemachine.Result, err error) {
				if p.leadership.term == term {
					p.leadership.planProposals--
					p.leadership.planAt = 0 // the ledger has moved
				}
				slog.Info("fleet: release", "step", fmt.Sprintf("%T %+v", e, e), "error", err)
			})
		}
	}
	for i := range p.leaderTasks {
		d := &p.leaderTasks[i]
		if now < d.dueAt || d.proposalsInFlight > 0 {
			continue
		}
		d.dueAt = now + d.Interval
		for _, e := range d.Propose(LeaderContext{p.state, p.leadership.term, now, p.leadership.reports, &p.leadership}) {
			d.proposalsInFlight++
			p.propose(e, func(r statemachine.Result, err error) {
				d.proposalsInFlight--
				if err != nil {
					slog.Debug("fleet: a leader's entry was not taken", "duty", d.Name, "error", err)
				}
			})
		}
	}
}

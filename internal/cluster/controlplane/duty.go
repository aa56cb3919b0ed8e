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
func (f *Participant) AddLeaderTask(d LeaderTask) { f.leaderTasks = append(f.leaderTasks, d) }

// isVotersPermit tells whether a permit is that of a broker that votes.
func (f *Participant) isVotersPermit(p *statemachine.IssuePermit) bool {
	b, _ := f.state.Broker(p.Slot)
	return !p.ForNode && slices.ContainsFunc(f.options.Voters, func(v Voter) bool { return v.Name == b.Name })
}

// keepsMajority tells whether so many more voters may go out. Danger: a release that lets two of three go at once has nobody left to
// agree that they are back. A single voter goes all the same.
func (f *Participant) keepsMajority(going int) bool {
	n := len(f.options.Voters)
	for _, b := range f.state.Brokers() {
		if (b.Status != statemachine.BrokerServing || b.Permit > 0) && slices.ContainsFunc(f.options.Voters, func(v Voter) bool { return v.Name == b.Name }) {
			going++
		}
	}
	return n == 1 || going <= (n-1)/2
}

// runLeaderTasks has the duties propose what is due; one whose last proposals are not applied yet waits.
func (f *Participant) runLeaderTasks(now time.Duration) {
	if f.leadership.planProposals == 0 && now >= f.leadership.planAt {
		var all []statemachine.Entry
		all, f.leadership.planAt = f.leadership.planner.Next(f.state, now)
		term, going := f.leadership.term, 0
		for _, e := range all {
			if p, ok := e.(*statemachine.IssuePermit); ok && f.isVotersPermit(p) {
				if going++; !f.keepsMajority(going) {
					continue // the planner comes back to it
				}
			}
			f.leadership.planProposals++
			f.propose(e, func(r statemachine.Result, err error) {
				if f.leadership.term == term {
					f.leadership.planProposals--
					f.leadership.planAt = 0 // the ledger has moved
				}
				slog.Info("fleet: release", "step", fmt.Sprintf("%T %+v", e, e), "error", err)
			})
		}
	}
	for i := range f.leaderTasks {
		d := &f.leaderTasks[i]
		if now < d.dueAt || d.proposalsInFlight > 0 {
			continue
		}
		d.dueAt = now + d.Interval
		for _, e := range d.Propose(LeaderContext{f.state, f.leadership.term, now, f.leadership.reports, &f.leadership}) {
			d.proposalsInFlight++
			f.propose(e, func(r statemachine.Result, err error) {
				d.proposalsInFlight--
				if err != nil {
					slog.Debug("fleet: a leader's entry was not taken", "duty", d.Name, "error", err)
				}
			})
		}
	}
}

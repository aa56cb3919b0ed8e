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

	lead *lead
}

// LastLeaseGrant is when a broker's lease was last granted by this leader, at the latest; where it has granted none, since when it leads.
func (m *LeaderContext) LastLeaseGrant(b statemachine.Broker) time.Duration {
	if s := m.lead.sessions[b.Slot]; s.inc == b.Incarnation {
		return max(m.lead.from, s.at)
	}
	return m.lead.from
}

// LeaderTask is a thing that the leader does. It runs in the fleet's goroutine, says what to propose, and must not wait.
type LeaderTask struct {
	Name     string
	Interval time.Duration
	Propose  func(LeaderContext) []statemachine.Entry
	due      time.Duration
	out      int // proposed and not yet applied
}

// AddLeaderTask adds a duty, before Run.
func (f *Participant) AddLeaderTask(d LeaderTask) { f.duties = append(f.duties, d) }

// voter tells whether a permit is that of a broker that votes.
func (f *Participant) voter(p *statemachine.IssuePermit) bool {
	b, _ := f.state.Broker(p.Slot)
	return !p.ForNode && slices.ContainsFunc(f.o.Voters, func(v Voter) bool { return v.Name == b.Name })
}

// majority tells whether so many more voters may go out. Danger: a release that lets two of three go at once has nobody left to
// agree that they are back. A single voter goes all the same.
func (f *Participant) majority(going int) bool {
	n := len(f.o.Voters)
	for _, b := range f.state.Brokers() {
		if (b.Status != statemachine.BrokerServing || b.Permit > 0) && slices.ContainsFunc(f.o.Voters, func(v Voter) bool { return v.Name == b.Name }) {
			going++
		}
	}
	return n == 1 || going <= (n-1)/2
}

// doDuties has the duties propose what is due; one whose last proposals are not applied yet waits.
func (f *Participant) doDuties(now time.Duration) {
	if f.lead.planning == 0 && now >= f.lead.plan {
		var all []statemachine.Entry
		all, f.lead.plan = f.lead.planner.NextEntries(f.state, now)
		term, going := f.lead.term, 0
		for _, e := range all {
			if p, ok := e.(*statemachine.IssuePermit); ok && f.voter(p) {
				if going++; !f.majority(going) {
					continue // the planner comes back to it
				}
			}
			f.lead.planning++
			f.start(e, func(r statemachine.Result, err error) {
				if f.lead.term == term {
					f.lead.planning--
					f.lead.plan = 0 // the ledger has moved
				}
				slog.Info("fleet: release", "step", fmt.Sprintf("%T %+v", e, e), "error", err)
			})
		}
	}
	for i := range f.duties {
		d := &f.duties[i]
		if now < d.due || d.out > 0 {
			continue
		}
		d.due = now + d.Interval
		for _, e := range d.Propose(LeaderContext{f.state, f.lead.term, now, f.lead.reports, &f.lead}) {
			d.out++
			f.start(e, func(r statemachine.Result, err error) {
				d.out--
				if err != nil {
					slog.Debug("fleet: a leader's entry was not taken", "duty", d.Name, "error", err)
				}
			})
		}
	}
}

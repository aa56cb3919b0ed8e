package controlplane

import (
	"fmt"
	"log/slog"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// LeaderContext is what a task of the leader decides on. State and Reports must not be changed or kept.
type LeaderContext struct {
	State   *statemachine.State
	Term    uint64
	Now     time.Duration
	Reports map[statemachine.Slot]ReceivedReport

	leadership *leadership
}

// LastLeaseGrant is when this leader last granted the broker's session lease, at the latest; if it has granted none, since when it
// leads.
func (c *LeaderContext) LastLeaseGrant(b statemachine.Broker) time.Duration {
	return c.leadership.lastGrant(b)
}

// LeaderTask is a periodic job of the leader.
type LeaderTask struct {
	Name     string
	Interval time.Duration
	Propose  func(LeaderContext) []statemachine.Entry // called in the participant's loop; must not block

	dueAt             time.Duration
	proposalsInFlight int
}

// AddLeaderTask adds a task, before Run.
func (p *Participant) AddLeaderTask(t LeaderTask) { p.leaderTasks = append(p.leaderTasks, t) }

// runLeaderTasks proposes what is due. A task whose last proposals are not applied yet waits.
func (p *Participant) runLeaderTasks(now time.Duration) {
	if p.leadership.planProposals == 0 && now >= p.leadership.planAt {
		p.advanceRelease(now)
	}
	for i := range p.leaderTasks {
		task := &p.leaderTasks[i]
		if now < task.dueAt || task.proposalsInFlight > 0 {
			continue
		}
		task.dueAt = now + task.Interval
		p.runLeaderTask(task, now)
	}
}

func (p *Participant) runLeaderTask(task *LeaderTask, now time.Duration) {
	entries := task.Propose(LeaderContext{
		State:      p.state,
		Term:       p.leadership.term,
		Now:        now,
		Reports:    p.leadership.reports,
		leadership: &p.leadership,
	})
	for _, entry := range entries {
		task.proposalsInFlight++
		p.propose(entry, func(_ statemachine.Result, err error) {
			task.proposalsInFlight--
			if err != nil {
				slog.Debug("leader task's proposal rejected", "component", component, "task", task.Name, "error", err)
			}
		})
	}
}

// advanceRelease proposes the next steps of the release.
func (p *Participant) advanceRelease(now time.Duration) {
	entries, planAt := p.leadership.planner.NextEntries(p.state, now)
	p.leadership.planAt = planAt
	term := p.leadership.term
	votersLeaving := 0
	for _, entry := range entries {
		if p.isVotersPermit(entry) {
			votersLeaving++
			if !p.keepsMajority(votersLeaving) {
				continue // the planner comes back to it
			}
		}
		p.leadership.planProposals++
		p.propose(entry, func(_ statemachine.Result, err error) {
			if p.leadership.term == term {
				p.leadership.planProposals--
				p.leadership.planAt = 0 // the state has changed
			}
			slog.Info("release step proposed", "component", component, "step", fmt.Sprintf("%T %+v", entry, entry), "error", err)
		})
	}
}

// isVotersPermit reports whether an entry permits a broker with a vote to go out.
func (p *Participant) isVotersPermit(entry statemachine.Entry) bool {
	permit, ok := entry.(*statemachine.IssuePermit)
	if !ok || permit.ForNode {
		return false
	}
	broker, _ := p.state.Broker(permit.Slot)
	return p.voterIndex(broker.Name) >= 0
}

// keepsMajority reports whether so many more voters may go out. A release that let two of three go at once would leave nobody to agree
// that they are back. A single voter goes all the same.
func (p *Participant) keepsMajority(leaving int) bool {
	for _, broker := range p.state.Brokers() {
		isOut := broker.Status != statemachine.BrokerServing || broker.Permit > 0
		if isOut && p.voterIndex(broker.Name) >= 0 {
			leaving++
		}
	}
	voters := len(p.options.Voters)
	return voters == 1 || leaving <= (voters-1)/2
}

package controlplane

import (
	"fmt"
	"log/slog"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// LeaderContext is the input of a leader task. The task must neither change nor keep State and Reports.
type LeaderContext struct {
	State   *statemachine.State
	Term    uint64
	Now     time.Duration
	Reports map[statemachine.Slot]ReceivedReport

	leadership *leadership
}

// LastLeaseGrant returns the latest time at which this leader can have granted the broker's session lease. If it has granted none, that is
// the start of its leadership, as an earlier leader may have granted one until then.
func (c *LeaderContext) LastLeaseGrant(b statemachine.Broker) time.Duration {
	return c.leadership.lastGrant(b)
}

// LeaderTask is a periodic job of the leader, which proposes log entries.
type LeaderTask struct {
	Name     string
	Interval time.Duration
	Propose  func(LeaderContext) []statemachine.Entry // is called in the participant's loop and must not block

	dueAt             time.Duration
	proposalsInFlight int
}

// AddLeaderTask adds a task. It must be called before Run.
func (p *Participant) AddLeaderTask(t LeaderTask) { p.leaderTasks = append(p.leaderTasks, t) }

// runLeaderTasks runs the release planner and the tasks that are due. A task whose last proposals are still in flight waits.
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

// advanceRelease proposes the next steps of the release in progress.
func (p *Participant) advanceRelease(now time.Duration) {
	entries, planAt := p.leadership.planner.NextEntries(p.state, now)
	p.leadership.planAt = planAt
	term := p.leadership.term
	votersLeaving := 0
	for _, entry := range entries {
		if p.isVotersPermit(entry) {
			votersLeaving++
			if !p.keepsMajority(votersLeaving) {
				continue // the planner proposes the permit again later
			}
		}
		p.leadership.planProposals++
		p.propose(entry, func(_ statemachine.Result, err error) {
			if p.leadership.term == term {
				p.leadership.planProposals--
				p.leadership.planAt = 0 // plan again at once: the state has changed
			}
			slog.Info("release step proposed", "component", component, "step", fmt.Sprintf("%T %+v", entry, entry), "error", err)
		})
	}
}

// isVotersPermit reports whether an entry permits a voter to leave service for a restart.
func (p *Participant) isVotersPermit(entry statemachine.Entry) bool {
	permit, ok := entry.(*statemachine.IssuePermit)
	if !ok || permit.ForNode {
		return false
	}
	broker, _ := p.state.Broker(permit.Slot)
	return p.voterIndex(broker.Name) >= 0
}

// keepsMajority reports whether a majority of the voters stays in service if this many more of them leave. If a release let two of three
// voters leave at once, no majority could commit that they are back. A single voter may always leave.
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

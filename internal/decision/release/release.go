// Package release decides what a leader proposes next for the current release of the state machine: permits, the next batch, a halt with
// its evidence, or the rollback. It also proposes the agreed node list.
//
//	reports of brokers ──► growth in a window ──► groups (all, each class, each zone) ──► gates, one per metric
//	                                                                                       │
//	state machine ──► trackSteps (overdue, wrong version) ──► NextEntries ◄────────────────┘
//
// A gate compares the outcomes of queries at released targets with those at targets not released yet (the controls) in the same window. A
// new leader starts without evidence.
//
//	p := release.NewPlanner(settings, term, now)   // once LeaderElected of this term is applied here
//	p.RecordReport(report, now)                    // whenever a target's counts arrive
//	entries, next := p.NextEntries(state, now)     // propose these; call again at next, or when the state has changed
//
// A proposal may be rejected; it takes effect only once the state machine has applied it.
//
// Concurrency: the package takes no locks, starts no goroutines, does no I/O and reads no clock; a value must be used by one goroutine at
// a time.
package release

import (
	"fmt"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// Settings are the settings of the gates and the pace of a release.
type Settings struct {
	CompareWindow  time.Duration // counts are compared in windows of this length
	ObserveTime    time.Duration // a new leader observes for this long before it issues a permit
	WarmUpTime     time.Duration // a broker's counts are ignored for this long after its return
	OverdueAfter   time.Duration // a target that is out for longer than this halts the release
	RetryInterval  time.Duration // a proposal without visible effect is repeated after this time
	MinQueries     float64       // of released targets, in this leader's evidence, before the next batch opens
	MinControls    int           // with fewer controls nothing is compared
	Tolerance      float64       // additional share of queries that may go wrong without counting as worse
	FalseAlarmRate float64       // probability of a false alarm in a release, over all gates and checks
	AutoRollback   bool          // a failed gate rolls the release back without an operator
}

// Defaults returns settings for brokers that serve at least a hundred queries per second.
func Defaults() Settings {
	return Settings{
		CompareWindow:  time.Second,
		ObserveTime:    3 * time.Second,
		WarmUpTime:     2 * time.Second,
		OverdueAfter:   5 * time.Minute,
		RetryInterval:  2 * time.Second,
		MinQueries:     1000,
		MinControls:    3,
		Tolerance:      0.005,
		FalseAlarmRate: 0.001,
	}
}

// gatesOff is the value of a plan's Gates with which no gate halts the release.
const gatesOff = "off"

// Target identifies a broker or a node.
type Target struct {
	Slot    statemachine.Slot
	ForNode bool
	Node    statemachine.NodeID
}

func targetOf(r *statemachine.Release, x statemachine.ReleaseStep) Target {
	return Target{Slot: x.Slot, ForNode: r.ForNodes, Node: x.Node}
}

func describeTarget(t Target) string {
	if t.ForNode {
		return fmt.Sprint("node ", t.Node)
	}
	return fmt.Sprint("broker of slot ", t.Slot)
}

// Package release decides what a leader proposes next for the release that the state machine holds: permits, the next batch, a halt
// with its evidence, the rollback. It also proposes the agreed node list.
//
//	reports of brokers ──► growth in a window ──► groups (all, each class, each zone) ──► gates, one a metric
//	                                                                                       │
//	state machine ──► trackSteps (overdue, wrong version) ──► NextEntries ◄────────────────┘
//
// A gate compares what released targets do with what those not yet released (the controls) do in the same window. All evidence is
// one leader's: a new leader starts without any.
//
//	p := release.NewPlanner(settings, term, now)   // when LeaderElected of this term was applied here
//	p.RecordReport(report, now)                    // whenever a target's counts come
//	entries, next := p.NextEntries(state, now)     // to be proposed; call again at next, or when the state has changed
//
// A proposal may be rejected; it counts only once the state machine has it.
//
// Concurrency: nothing here locks, starts a goroutine, does I/O or reads a clock; a value is used by one goroutine at a time.
package release

import (
	"fmt"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// Settings of gates and pace.
type Settings struct {
	CompareWindow  time.Duration // counts are compared in windows of this
	ObserveTime    time.Duration // a new leader watches for so long before it issues a permit
	WarmUpTime     time.Duration // what a broker does for so long after its return counts on no side
	OverdueAfter   time.Duration // a target that is out for longer halts the release
	RetryInterval  time.Duration // a proposal of which nothing was seen is made again
	MinQueries     float64       // of the released, in this leader's evidence, before the next batch opens
	MinControls    int           // with fewer targets not yet released there is no comparison
	Tolerance      float64       // share of queries that may go wrong on top, without being called worse
	FalseAlarmRate float64       // chance of a false alarm in a release, over all gates and checks
	AutoRollback   bool          // a gate that fails takes the release back without an operator
}

// Defaults are settings for brokers with a hundred queries a second or more.
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

// gatesOff is the value of a plan's Gates that has no gate halt the release.
const gatesOff = "off"

// Target is a broker or a node.
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

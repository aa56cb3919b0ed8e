package release

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// servingTargets returns the side of the comparison of each target that serves.
func (p *Planner) servingTargets(s *statemachine.State, r *statemachine.Release) map[Target]releaseSide {
	sides := map[Target]releaseSide{}
	if r.ForNodes {
		for _, n := range s.Nodes() {
			if n.DownIndex == 0 && n.DrainNumber == 0 {
				sides[Target{ForNode: true, Node: n.Node}] = sideControl
			}
		}
	} else {
		for _, b := range s.Brokers() {
			if b.Status == statemachine.BrokerServing && b.Permit == 0 {
				sides[Target{Slot: b.Slot}] = sideControl
			}
		}
	}
	for _, step := range r.Steps {
		t := targetOf(r, step)
		if _, serves := sides[t]; !serves || step.State != statemachine.StepFinished {
			continue
		}
		if step.Affected {
			sides[t] = sideReleased
		} else {
			sides[t] = sideExcluded // it had the target version from the start, so it shows no effect of the release
		}
	}
	return sides
}

// compareWindow adds a window of counts to the evidence, and checks each gate.
func (p *Planner) compareWindow(s *statemachine.State, r *statemachine.Release, now time.Duration) {
	p.windowStart = now
	window := p.collectWindow(s, r, now)
	if len(window) == 0 {
		return
	}
	p.comparedWindows++
	p.addGroups(window)
	for _, g := range p.groups {
		g.addWindow(window, p.settings.MinControls)
	}
	p.checkGates()
}

// collectWindow returns the growth of the targets' counts since the last window. It leaves out targets that are warming up after their
// return.
func (p *Planner) collectWindow(s *statemachine.State, r *statemachine.Release, now time.Duration) (window []windowCounts) {
	for t, side := range p.servingTargets(s, r) {
		counts := p.reports[t]
		if counts == nil || !counts.fresh {
			continue
		}
		w := counts.takeWindow(t, side)
		if side == sideReleased && now-p.stateSince[t] < p.settings.WarmUpTime {
			continue
		}
		window = append(window, w)
	}
	slices.SortFunc(window, func(a, b windowCounts) int { // sums of floats must not depend on map order
		return cmp.Or(cmp.Compare(a.Slot, b.Slot), bytes.Compare(a.Node.Addr[:], b.Node.Addr[:]), cmp.Compare(a.Node.Port, b.Node.Port))
	})
	return window
}

// takeWindow returns the growth of the counts since the last window, and begins the next.
func (s *reportedCounts) takeWindow(t Target, side releaseSide) windowCounts {
	w := windowCounts{Target: t, zone: s.latest.Zone, side: side}
	for i, c := range s.latest.Classes {
		w.classes = append(w.classes, subtractCounts(c, s.compared.Classes[i]))
	}
	s.compared = s.latest
	s.fresh = false
	return w
}

// checkGates checks every gate and records the failed one with the strongest evidence.
func (p *Planner) checkGates() {
	rate := p.settings.FalseAlarmRate / float64(len(p.groups)*int(metricCount))
	for _, g := range p.groups {
		for m := range metricCount {
			v, fails := g.check(m, p.settings.Tolerance, rate)
			if fails && (p.failedGate == nil || v.evidenceExcess() > p.failedGate.evidenceExcess()) {
				p.failedGate = &v
			}
		}
	}
}

// addGroups adds the groups that occur in a window: all queries, each class, and each zone.
func (p *Planner) addGroups(window []windowCounts) {
	zones := map[string]bool{}
	classes := 0
	for _, w := range window {
		zones[w.zone] = true
		classes = max(classes, len(w.classes))
	}
	p.addGroup(&group{name: "all", class: allClasses})
	for i := range classes {
		if classes > 1 {
			p.addGroup(&group{name: fmt.Sprint("class ", i), class: i})
		}
	}
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		if len(zones) > 1 && z != "" {
			p.addGroup(&group{name: "zone " + z, class: allClasses, zone: z})
		}
	}
}

func (p *Planner) addGroup(added *group) {
	if !slices.ContainsFunc(p.groups, func(g *group) bool { return g.name == added.name }) {
		p.groups = append(p.groups, added)
	}
}

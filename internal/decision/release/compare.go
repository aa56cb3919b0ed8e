package release

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// present are the targets that serve, and on which side of the comparison each is.
func (p *Planner) present(s *statemachine.State, r *statemachine.Release) map[Target]side {
	all := map[Target]side{}
	if r.ForNodes {
		for _, n := range s.Nodes() {
			if n.DownIndex == 0 && n.DrainNumber == 0 {
				all[Target{ForNode: true, Node: n.Node}] = before
			}
		}
	} else {
		for _, b := range s.Brokers() {
			if b.Status == statemachine.BrokerServing && b.Permit == 0 {
				all[Target{Slot: b.Slot}] = before
			}
		}
	}
	for _, x := range r.Steps {
		t := target(r, x)
		if _, ok := all[t]; !ok {
			continue
		}
		if x.State == statemachine.StepFinished {
			all[t] = neither // had the version before: it says nothing of the way there
			if x.Affected {
				all[t] = after
			}
		}
	}
	return all
}

// compare takes a window of counts into the evidence, and looks at each gate.
func (p *Planner) compare(s *statemachine.State, r *statemachine.Release, now time.Duration) {
	p.window = now
	var window []grown
	zones, classes := map[string]bool{}, 0
	for t, side := range p.present(s, r) {
		src := p.sources[t]
		if src == nil || !src.fresh {
			continue
		}
		w := grown{Target: t, zone: src.last.Zone, side: side}
		for i, c := range src.last.Classes {
			w.classes = append(w.classes, less(c, src.mark.Classes[i]))
		}
		src.mark, src.fresh = src.last, false
		if side == after && now-p.since[t] < p.set.WarmUpTime {
			continue
		}
		zones[w.zone], classes = true, max(classes, len(w.classes))
		window = append(window, w)
	}
	if len(window) == 0 {
		return
	}
	p.windows++
	slices.SortFunc(window, func(a, b grown) int { // sums of floats must not depend on the order of a map
		return cmp.Or(cmp.Compare(a.Slot, b.Slot), bytes.Compare(a.Node.Addr[:], b.Node.Addr[:]), cmp.Compare(a.Node.Port, b.Node.Port))
	})
	p.grow(zones, classes)
	for _, g := range p.groups {
		g.add(window, p.set.MinControls)
	}
	share := p.set.FalseAlarmRate / float64(len(p.groups)*int(metrics))
	for _, g := range p.groups {
		for m := range metrics {
			if v, fails := g.look(m, p.set.Tolerance, share); fails && (p.failed == nil || v.Evidence-v.Needed > p.failed.Evidence-p.failed.Needed) {
				p.failed = &v
			}
		}
	}
}

// grow makes the groups there are: all searches, each class, each zone.
func (p *Planner) grow(zones map[string]bool, classes int) {
	add := func(name, zone string, class int) {
		if !slices.ContainsFunc(p.groups, func(g *group) bool { return g.name == name }) {
			p.groups = append(p.groups, &group{name: name, class: class, zone: zone})
		}
	}
	add("all", "", -1)
	for i := range classes {
		if classes > 1 {
			add(fmt.Sprint("class ", i), "", i)
		}
	}
	for _, z := range sorted(zones) {
		if len(zones) > 1 && z != "" {
			add("zone "+z, z, -1)
		}
	}
}

func less(a, b Counts) (c Counts) {
	c.Queries = a.Queries - min(a.Queries, b.Queries)
	for m := range metrics {
		c.Bad[m] = a.Bad[m] - min(a.Bad[m], b.Bad[m])
	}
	return c
}

// OrderByZone puts brokers in turn by zones, so that no batch falls on one zone.
func OrderByZone(brokers []statemachine.Broker) (slots []statemachine.Slot) {
	turn := map[string]int{}
	type place struct {
		round int
		b     statemachine.Broker
	}
	var all []place
	for _, b := range brokers {
		all = append(all, place{turn[b.Zone], b})
		turn[b.Zone]++
	}
	slices.SortStableFunc(all, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.round, y.round), cmp.Compare(x.b.Zone, y.b.Zone), cmp.Compare(x.b.Slot, y.b.Slot))
	})
	for _, x := range all {
		slots = append(slots, x.b.Slot)
	}
	return slots
}

// DefaultBatches are the usual ones for so many targets: a hundredth (one at least), a thirtieth, a tenth, a third and all.
func DefaultBatches(targets int) (all []uint32) {
	for _, n := range []int{max(1, targets/100), targets / 30, targets / 10, targets / 3, targets} {
		if n = min(n, targets); n > 0 && (len(all) == 0 || uint32(n) > all[len(all)-1]) {
			all = append(all, uint32(n))
		}
	}
	return all
}

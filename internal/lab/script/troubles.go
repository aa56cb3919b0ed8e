package script

// This file checks faults for contradictions.

import (
	"fmt"
	"slices"
)

func (s *Script) checkFault(t *Fault) (field string, err error) {
	if FaultKinds[t.Kind] == "" {
		kinds := []string{}
		for k := range FaultKinds {
			kinds = append(kinds, k)
		}
		slices.Sort(kinds)
		return "what", fmt.Errorf("%q is not one of %v", t.Kind, kinds)
	}
	if t.At >= s.Length {
		return "at", fmt.Errorf("%v is too late: the clients stop after %v", t.At, s.Length)
	}
	if 2*t.Ramp > t.Length {
		return "ramp", fmt.Errorf("two ramps of %v do not fit in %v", t.Ramp, t.Length)
	}
	if t.Zone != "" && s.zone(t.Zone) < 0 {
		return "zone", fmt.Errorf("%q is not one of the %d zones, named from a on", t.Zone, s.Fleet.Zones)
	}
	for _, n := range t.Nodes {
		if n >= s.Fleet.Nodes {
			return "nodes", fmt.Errorf("%d is out of range: there are %d nodes, numbered from 0", n, s.Fleet.Nodes)
		}
	}
	switch t.Kind {
	case "cut":
		if t.Zone == "" || s.Fleet.Zones < 2 {
			return "zone", fmt.Errorf("a cut needs the name of one zone, and at least two zones")
		}
	case "flood":
		if s.tenant(t.Tenant) < 0 {
			return "tenant", fmt.Errorf("%q is not one of the tenants", t.Tenant)
		}
	case "stall":
		if t.Pause >= t.Every {
			return "pause", fmt.Errorf("a pause of %v every %v leaves no time between pauses", t.Pause, t.Every)
		}
	case "errors", "loss":
		if t.Factor > 100 {
			return "factor", fmt.Errorf("%v is more than 100 percent", t.Factor)
		}
	}
	if t.onNodes() && len(s.nodesOf(t)) == 0 {
		return "share", fmt.Errorf("%v of the nodes is no node", t.Share)
	}
	return "", nil
}

// checkOverlap returns an error if two faults contradict each other: a node cannot die while it is dead, nor hang while it is
// unreachable.
func (s *Script) checkOverlap(i, j int) (field string, err error) {
	a, b := &s.Faults[i], &s.Faults[j]
	if a.At >= b.At+b.Length || b.At >= a.At+a.Length {
		return "", nil
	}
	gone := func(t *Fault) bool { return t.Kind == "die" || t.Kind == "vanish" || t.Kind == "drain" }
	switch {
	case a.Kind == b.Kind && (a.Kind == "discovery_down" || a.Kind == "discovery_hang"):
		return "at", fmt.Errorf("overlaps with troubles.%d of the same kind, which starts at %v and lasts %v", i, a.At, a.Length)
	case gone(a) && b.onNodes() && len(b.Nodes) > 0 || gone(b) && a.onNodes() && len(a.Nodes) > 0:
		for _, n := range s.nodesOf(b) {
			if slices.Contains(s.nodesOf(a), n) {
				return "nodes", fmt.Errorf("node %d cannot %s during its %s in troubles.%d", n, b.Kind, a.Kind, i)
			}
		}
	}
	return "", nil
}

func (t *Fault) onNodes() bool {
	switch t.Kind {
	case "die", "vanish", "hang", "stall", "slow", "errors", "drain", "lag", "rollback":
		return true
	}
	return false
}

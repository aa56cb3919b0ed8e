package connlease

import (
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

const (
	minDemand      = 0.1 // connections; smaller demand is dropped
	roundingMargin = 0.1 // connections; demand is rounded up unless it exceeds a whole number by no more than this
	minReportDrop  = 1.3 // connections; a lower number is reported only once demand is further than this below the last report
)

// DemandTracker measures how many connections a broker could use.
type DemandTracker struct {
	halfLife  time.Duration // of demand that is no longer observed
	decayedAt time.Duration
	demands   map[LeaseKey]*demand
}

type demand struct {
	value    float64
	reported int
}

// NewDemandTracker returns a tracker without demand. Demand that is no longer observed decays with the given half-life.
func NewDemandTracker(halfLife time.Duration) *DemandTracker {
	return &DemandTracker{halfLife: halfLife, demands: map[LeaseKey]*demand{}}
}

// Decay lets the recorded demand decay over the time since the last call, and drops demand below minDemand.
func (t *DemandTracker) Decay(now time.Duration) {
	factor := math.Exp2(-float64(now-t.decayedAt) / float64(t.halfLife))
	t.decayedAt = now
	for k, d := range t.demands {
		d.value *= factor
		if d.value < minDemand {
			delete(t.demands, k)
		}
	}
}

// Observe records how many connections a tenant could use at a node now. Demand rises at once and falls slowly: a grant takes only a
// fraction of the lease time, but connections that were given up would have to be granted again.
func (t *DemandTracker) Observe(k LeaseKey, connections float64) {
	d := t.demands[k]
	if d == nil {
		d = &demand{}
		t.demands[k] = d
	}
	d.value = max(d.value, connections)
}

// AboveReserved returns the demand above the reserved connections, in whole connections, ordered by key. The tenant with the greatest
// demand at a node uses the reserved connections first.
func (t *DemandTracker) AboveReserved(reserved map[decision.NodeID]int) []ConnectionCount {
	counts := t.report()
	for first := 0; first < len(counts); {
		end := first
		for end < len(counts) && counts[end].Node == counts[first].Node {
			end++
		}
		subtractReserved(counts[first:end], reserved[counts[first].Node])
		first = end
	}
	return slices.DeleteFunc(counts, func(c ConnectionCount) bool { return c.Connections == 0 })
}

// report returns the demand in whole connections, ordered by key. A previously reported number stays if the difference is only noise.
func (t *DemandTracker) report() (counts []ConnectionCount) {
	for k, d := range t.demands {
		whole := int(math.Ceil(d.value - roundingMargin))
		if whole > d.reported || float64(d.reported)-d.value > minReportDrop {
			d.reported = whole
		}
		if d.reported > 0 {
			counts = append(counts, ConnectionCount{LeaseKey: k, Connections: d.reported})
		}
	}
	slices.SortFunc(counts, compareCounts)
	return counts
}

// subtractReserved subtracts a node's reserved connections from its tenants' counts, one at a time from the greatest.
func subtractReserved(counts []ConnectionCount, reserved int) {
	for range reserved {
		greatest := &counts[0]
		for i := range counts {
			if counts[i].Connections > greatest.Connections {
				greatest = &counts[i]
			}
		}
		greatest.Connections = max(0, greatest.Connections-1)
	}
}

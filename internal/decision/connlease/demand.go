package connlease

import (
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

const (
	minDemand      = 0.1 // connections; less is forgotten
	roundingMargin = 0.1 // connections above a whole number that do not round up
	minReportDrop  = 1.3 // connections that demand must be below what was reported before a lower number is
)

// DemandTracker measures how many connections a broker could use.
type DemandTracker struct {
	halfLife  time.Duration // demand that is gone counts half after so long
	decayedAt time.Duration
	demands   map[LeaseKey]*demand
}

type demand struct {
	value    float64
	reported int
}

// NewDemandTracker makes a tracker that has seen nothing. Demand that is gone counts half after a half-life.
func NewDemandTracker(halfLife time.Duration) *DemandTracker {
	return &DemandTracker{halfLife: halfLife, demands: map[LeaseKey]*demand{}}
}

// Decay lets what was observed fade until now.
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

// Observe records how many connections a tenant could use at a node now. Demand rises at once and falls slowly: connections are
// granted in a fraction of a lease, and what was given up must be granted anew.
func (t *DemandTracker) Observe(k LeaseKey, connections float64) {
	d := t.demands[k]
	if d == nil {
		d = &demand{}
		t.demands[k] = d
	}
	d.value = max(d.value, connections)
}

// AboveReserved is the demand above the reserved connections, in whole connections, by key. Of a node's tenants the one with the
// greatest demand uses the reserved ones first.
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

// report is the demand in whole connections, by key; it stays as it was reported where the difference is noise.
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

// subtractReserved takes a node's reserved connections off the greatest counts of its tenants, one by one.
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

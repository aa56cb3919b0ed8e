package connlease

import (
	"testing"
	"time"

	"flaxfront/internal/decision/fairshare"
)

// TestDemandShift shifts all demand at once and measures, three lease durations later, how far the granted connections are from the ideal:
// the division of the same demand without a previous division.
func TestDemandShift(t *testing.T) {
	defer func(s time.Duration, b int) { *runSpan, *brokerCount = s, b }(*runSpan, *brokerCount)
	*runSpan, *brokerCount = 20*time.Second, 60
	for seed := range uint64(3) {
		sim := simulateTier(seed, func(sim *simulatedTier) { sim.withoutFaults = true })
		for _, broker := range sim.brokers {
			broker.shiftDemand(6)
		}
		before := sim.distanceFromIdeal()
		sim.run(20*time.Second + 3*leaseDuration)
		after := sim.distanceFromIdeal()
		t.Logf("seed %d: %.1f%% of the units misplaced at the shift, %.1f%% three leases later", seed, 100*before, 100*after)
		if before < 0.2 || after > 0.05 {
			t.Errorf("seed %d: a share of %.3f misplaced at the shift, %.3f three leases later", seed, before, after)
		}
	}
}

// distanceFromIdeal returns the share of units that are not where a division by what brokers want would put them.
func (sim *simulatedTier) distanceFromIdeal() float64 {
	plan := sim.plans[0]
	demand := fairshare.NewTable(len(plan.Nodes), tenants, len(sim.brokers))
	ideal := fairshare.NewTable(len(plan.Nodes), tenants, len(sim.brokers))
	for b, broker := range sim.brokers {
		for n, id := range plan.Nodes {
			for t := range tenants {
				demand.Set(n, t, b, broker.wanted[LeaseKey{id, t}])
			}
		}
	}
	new(fairshare.Divider).Divide(fairshare.Input{Nodes: plan.Budgets, Demand: demand}, ideal)
	all, misplaced := 0, 0
	for n, id := range plan.Nodes {
		for t := range tenants {
			level := 1 << 30 // units that each broker whose demand is not met gets at least
			for b, u := range ideal.Row(n, t) {
				if int(u) < demand.At(n, t, b) {
					level = min(level, int(u))
				}
			}
			remainder := 0 // units that could not be divided evenly; which broker has them does not matter
			for b, broker := range sim.brokers {
				want, held := min(demand.At(n, t, b), level), broker.holder.leased[LeaseKey{id, t}]
				all += ideal.At(n, t, b)
				misplaced += max(0, want-held)
				remainder += ideal.At(n, t, b) - want - max(0, held-want)
			}
			misplaced += max(0, remainder)
		}
	}
	return float64(misplaced) / float64(all)
}

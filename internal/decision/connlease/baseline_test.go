package connlease

import (
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/fairshare"
)

// baseline is a strategy to share one node's connections, applied in steps of 100 ms.
type baseline struct {
	name string
	step func(at time.Duration, want, hold [][]int) // by broker and tenant; updates hold
}

// TestBaselines compares strategies to share one node's connections while demand shifts and one tenant floods. Each held connection
// serves one query a step. Each connection above the node's budget reduces the number of queries served by one, down to none.
func TestBaselines(t *testing.T) {
	const brokers, budget, steps = 60, 240, 1200
	plan := newPlan(1, budget-brokers) // one connection is reserved for each broker
	best := 0.0
	for _, b := range []baseline{
		{"divided by policy, under leases", leasedBaseline(plan, brokers)},
		{"equal static split", func(at time.Duration, want, hold [][]int) {
			random := rand.New(rand.NewPCG(uint64(at), 5))
			for b := range want {
				left := budget / brokers
				for _, t := range random.Perm(tenants) { // in random order of arrival
					hold[b][t] = min(want[b][t], left)
					left -= hold[b][t]
				}
			}
		}},
		{"first come, first served", func(at time.Duration, want, hold [][]int) {
			left := budget
			for b := range want { // held connections are kept while they are wanted
				for t := range want[b] {
					hold[b][t] = min(hold[b][t], want[b][t])
					left -= hold[b][t]
				}
			}
			random := rand.New(rand.NewPCG(uint64(at), 5))
			for _, i := range random.Perm(brokers * tenants) {
				b, t := i/tenants, i%tenants
				more := min(left, want[b][t]-hold[b][t])
				hold[b][t] += more
				left -= more
			}
		}},
		{"no coordination", func(_ time.Duration, want, hold [][]int) {
			for b := range want {
				copy(hold[b], want[b])
			}
		}},
	} {
		byPolicy := b.name == "divided by policy, under leases"
		served, quiet, asked, quietAsked, over := runBaseline(b, brokers, budget, steps)
		t.Logf("%-32s %5.1f%% of all queries served, %5.1f%% of the quiet tenant's; over budget in %4.1f%% of the steps", b.name,
			100*served/asked, 100*quiet/quietAsked, 100*over/steps)
		if byPolicy {
			best = quiet
		}
		if byPolicy && over > 0 || !byPolicy && quiet > best {
			t.Errorf("%s: over budget in %v steps, %v of the quiet tenant's queries served", b.name, over, quiet)
		}
	}
}

// runBaseline simulates a strategy. It returns how many queries were served and asked, in all and of the quiet tenant 0, and the number
// of steps in which the node was over its budget.
func runBaseline(strategy baseline, brokers, budget, steps int) (served, quiet, asked, quietAsked, over float64) {
	random := rand.New(rand.NewPCG(1, 2))
	want, hold := make([][]int, brokers), make([][]int, brokers)
	for b := range want {
		want[b], hold[b] = make([]int, tenants), make([]int, tenants)
	}
	for step := range steps {
		if step%200 == 0 { // demand shifts every 20 s: about a fifth of the brokers are busy, and tenant 2 floods half the time
			for b := range want {
				busy := random.IntN(5) == 0
				for t := range want[b] {
					want[b][t] = random.IntN(2)
					if busy {
						want[b][t] = 2 + random.IntN(7)
					}
				}
				if step/200%2 == 1 {
					want[b][2] = 4 + random.IntN(4)
				}
			}
		}
		strategy.step(time.Duration(step)*100*time.Millisecond, want, hold)
		held, wanted, quietHeld, quietWanted := 0, 0, 0, 0
		for b := range want {
			for t := range want[b] {
				held += hold[b][t]
				wanted += want[b][t]
			}
			quietHeld += hold[b][0]
			quietWanted += want[b][0]
		}
		share := 1.0
		if held > budget {
			over++
			share = float64(max(0, 2*budget-held)) / float64(held)
		}
		served, quiet = served+share*float64(held), quiet+share*float64(quietHeld)
		asked, quietAsked = asked+float64(wanted), quietAsked+float64(quietWanted)
	}
	return
}

// leasedBaseline divides connections every half second. Connections that are taken away become free a second later, once they are closed
// and acknowledged; only then are they granted again.
func leasedBaseline(plan *BudgetPlan, brokers int) func(time.Duration, [][]int, [][]int) {
	var d fairshare.Divider
	granted, freed := fairshare.NewTable(1, tenants, brokers), []int{} // units that become free, by step
	id := decision.NodeID{Port: 1}
	trackers := make([]*DemandTracker, brokers)
	for b := range trackers {
		trackers[b] = NewDemandTracker(time.Second)
	}
	return func(at time.Duration, want, hold [][]int) {
		step := int(at / (100 * time.Millisecond))
		freed = append(freed, make([]int, step+12-len(freed))...)
		demand := fairshare.NewTable(1, tenants, brokers)
		for b := range want {
			trackers[b].Decay(at)
			for t := range want[b] {
				trackers[b].Observe(LeaseKey{id, t}, float64(want[b][t]))
			}
			for _, r := range trackers[b].AboveReserved(map[decision.NodeID]int{id: 1}) {
				demand.Set(0, r.Tenant, b, r.Connections)
			}
		}
		if step%5 == 0 {
			target := fairshare.NewTable(1, tenants, brokers)
			d.Divide(fairshare.Input{Nodes: plan.Budgets, Demand: demand, Previous: granted}, target)
			free := plan.Budgets[0].Units
			for i := step; i < len(freed); i++ {
				free -= freed[i]
			}
			for t := range tenants {
				for b := range want {
					free -= granted.At(0, t, b)
				}
			}
			for t := range tenants {
				for b := range want {
					current, next := granted.At(0, t, b), target.At(0, t, b)
					if next < current {
						freed[step+10] += current - next
					} else {
						next = current + min(next-current, max(0, free))
						free -= next - current
					}
					granted.Set(0, t, b, next)
				}
			}
		}
		for b := range want {
			reserved := 1
			for t := range want[b] {
				hold[b][t] = min(want[b][t], granted.At(0, t, b))
				if more := min(reserved, want[b][t]-hold[b][t]); more > 0 {
					hold[b][t] += more
					reserved -= more
				}
			}
		}
	}
}

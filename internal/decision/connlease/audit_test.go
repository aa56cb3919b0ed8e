package connlease

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

var (
	seedCount   = flag.Int("seeds", 6, "number of simulated runs of the audit, one for each seed")
	brokerCount = flag.Int("brokers", 24, "number of brokers in a run")
	nodeCount   = flag.Int("nodes", 6, "number of nodes in a run")
	runSpan     = flag.Duration("span", 90*time.Second, "virtual duration of a run")
)

// simulateTier simulates a tier under random faults and demand, after change (if not nil) has adjusted it, and returns its final state.
func simulateTier(seed uint64, change func(*simulatedTier)) *simulatedTier {
	sim := &simulatedTier{
		random:  rand.New(rand.NewPCG(seed, 9)),
		machine: statemachine.New(),
		demands: map[statemachine.Slot][]ConnectionCount{},
		countAt: map[statemachine.NodeID]int{},
	}
	sim.nodeIdleTimeout, sim.stallEvery = 6*time.Second, 40
	sim.plans = []*BudgetPlan{newPlan(*nodeCount, *brokerCount*2), newPlan(*nodeCount, *brokerCount)}
	if change != nil {
		change(sim)
	}
	sim.elect()
	epoch := &statemachine.SetNodeList{Epoch: 1}
	for _, id := range sim.plans[0].Nodes {
		epoch.Nodes = append(epoch.Nodes, statemachine.NodeInfo{Node: id, Zone: "z"})
	}
	sim.apply(epoch)
	version := uint64(1)
	sim.proposePolicy(version, *brokerCount)
	for i := range *brokerCount {
		broker := &simulatedBroker{tier: sim, slot: statemachine.Slot(i), rate: 0.992 + sim.random.Float64()*0.016, wanted: map[LeaseKey]int{}}
		sim.brokers = append(sim.brokers, broker)
		sim.start(broker)
	}
	sim.schedule(0, sim.runLeader)
	var injectFault func()
	injectFault = func() {
		broker := sim.brokers[sim.random.IntN(len(sim.brokers))]
		switch sim.random.IntN(16) {
		default: // the demand shifts
			broker.shiftDemand(0)
		case 0, 1: // suspended, in most cases beyond its lease
			broker.stopped = true
			sim.schedule(sim.upTo(20*time.Second), func() { broker.stopped = false })
		case 2, 3: // disconnected from the tier
			broker.disconnected = true
			sim.schedule(sim.upTo(12*time.Second), func() { broker.disconnected = false })
		case 4: // killed and restarted
			for _, c := range broker.connections {
				sim.schedule(sim.upTo(closeDelay/2), func() { sim.close(c) })
			}
			broker.incarnation++ // ends the loops of the old incarnation
			broker.connections = nil
			ownIncarnation := broker.incarnation
			sim.schedule(closeDelay+sim.upTo(2*time.Second), func() {
				if broker.incarnation == ownIncarnation {
					sim.start(broker)
				}
			})
		}
		sim.schedule(sim.upTo(8*time.Second/time.Duration(len(sim.brokers))), injectFault)
	}
	if sim.withoutFaults {
		for _, broker := range sim.brokers {
			broker.shiftDemand(5)
		}
		sim.run(*runSpan)
		return sim
	}
	sim.schedule(0, injectFault)
	var changeState func()
	changeState = func() {
		if sim.random.IntN(2) == 0 {
			sim.elect()
		} else if sim.proposePolicy(version+1, *brokerCount) == nil {
			version++
		}
		sim.schedule(5*time.Second+sim.upTo(20*time.Second), changeState)
	}
	sim.schedule(10*time.Second, changeState)
	sim.run(*runSpan)
	return sim
}

// TestBudgetAudit counts the connections at each node under random faults: they must never exceed the budget.
func TestBudgetAudit(t *testing.T) {
	opened, versions := 0, uint64(0)
	for seed := range uint64(*seedCount) {
		sim := simulateTier(seed, nil)
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
		p := sim.machine.Policies().InForce
		opened, versions = opened+sim.openedCount, versions+p.Version-1
	}
	t.Logf("%d runs of %v with %d brokers and %d nodes: %d connections opened, %d policy changes came into force",
		*seedCount, *runSpan, *brokerCount, *nodeCount, opened, versions)
	if opened < 1000 || versions == 0 {
		t.Errorf("the simulation did too little to audit: %d connections opened, %d policy changes", opened, versions)
	}
}

// TestBudgetAuditFindsFaults injects two faults into the lease protocol: the audit must find a budget exceeded under each.
func TestBudgetAuditFindsFaults(t *testing.T) {
	for name, change := range map[string]func(*simulatedTier){
		"lease counted from the answer": func(sim *simulatedTier) {
			sim.leaseFromAnswer, sim.nodeIdleTimeout, sim.stallEvery = true, 2*time.Second, 6
		},
		"no wait for idle connections to close": func(sim *simulatedTier) { sim.ignoreIdleTimeout = true },
	} {
		found := ""
		for seed := uint64(0); seed < 20 && found == ""; seed++ {
			found = simulateTier(seed, change).violation
		}
		if t.Logf("%s: %s", name, found); found == "" {
			t.Errorf("%s: no exceeded budget found in 20 runs", name)
		}
	}
}

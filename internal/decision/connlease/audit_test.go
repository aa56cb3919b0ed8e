package connlease

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

var (
	seedCount   = flag.Int("seeds", 6, "runs of the audit")
	brokerCount = flag.Int("brokers", 24, "brokers of the audit")
	nodeCount   = flag.Int("nodes", 6, "nodes of the audit")
	runSpan     = flag.Duration("span", 90*time.Second, "virtual time of a run")
)

func playTier(seed uint64, change func(*simulatedTier)) *simulatedTier {
	w := &simulatedTier{
		random:  rand.New(rand.NewPCG(seed, 9)),
		machine: statemachine.New(),
		demands: map[statemachine.Slot][]ConnectionCount{},
		countAt: map[statemachine.NodeID]int{},
	}
	w.linger, w.stallEvery = 6*time.Second, 40
	w.plans = []*BudgetPlan{newPlan(*nodeCount, *brokerCount*2), newPlan(*nodeCount, *brokerCount)}
	if change != nil {
		change(w)
	}
	w.elect()
	epoch := &statemachine.SetNodeList{Epoch: 1}
	for _, id := range w.plans[0].Nodes {
		epoch.Nodes = append(epoch.Nodes, statemachine.NodeInfo{Node: id, Zone: "z"})
	}
	w.apply(epoch)
	version := uint64(1)
	w.proposePolicy(version, *brokerCount)
	for i := range *brokerCount {
		a := &simulatedBroker{tier: w, slot: statemachine.Slot(i), rate: 0.992 + w.random.Float64()*0.016, wanted: map[LeaseKey]int{}}
		w.brokers = append(w.brokers, a)
		w.start(a)
	}
	w.schedule(0, w.runLeader)
	var trouble func()
	trouble = func() {
		a := w.brokers[w.random.IntN(len(w.brokers))]
		switch w.random.IntN(16) {
		default: // the demand shifts
			a.shiftDemand(0)
		case 0, 1: // stopped, mostly over its lease
			a.stopped = true
			w.schedule(w.upTo(20*time.Second), func() { a.stopped = false })
		case 2, 3: // cut off
			a.disconnected = true
			w.schedule(w.upTo(12*time.Second), func() { a.disconnected = false })
		case 4: // killed, and started anew
			for _, c := range a.connections {
				w.schedule(w.upTo(closeDelay/2), func() { w.close(c) })
			}
			a.incarnation++ // what runs ends
			a.connections = nil
			born := a.incarnation
			w.schedule(closeDelay+w.upTo(2*time.Second), func() {
				if a.incarnation == born {
					w.start(a)
				}
			})
		}
		w.schedule(w.upTo(8*time.Second/time.Duration(len(w.brokers))), trouble)
	}
	if w.undisturbed {
		for _, a := range w.brokers {
			a.shiftDemand(5)
		}
		w.run(*runSpan)
		return w
	}
	w.schedule(0, trouble)
	var agreed func()
	agreed = func() {
		if w.random.IntN(2) == 0 {
			w.elect()
		} else if w.proposePolicy(version+1, *brokerCount) == nil {
			version++
		}
		w.schedule(5*time.Second+w.upTo(20*time.Second), agreed)
	}
	w.schedule(10*time.Second, agreed)
	w.run(*runSpan)
	return w
}

// TestBudgetAudit counts connections at the nodes, at every instant, while everything breaks: never more than the budget.
func TestBudgetAudit(t *testing.T) {
	opened, versions := 0, uint64(0)
	for seed := range uint64(*seedCount) {
		w := playTier(seed, nil)
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
		p := w.machine.Policies().InForce
		opened, versions = opened+w.openedCount, versions+p.Version-1
	}
	t.Logf("%d runs of %v, %d brokers, %d nodes: %d connections opened, %d policies came into force, never over a budget",
		*seedCount, *runSpan, *brokerCount, *nodeCount, opened, versions)
	if opened < 1000 || versions == 0 {
		t.Errorf("next to nothing happened: %d connections, %d policies", opened, versions)
	}
}

// TestBudgetAuditFindsFaults puts faults in on purpose: the audit must see what comes of them.
func TestBudgetAuditFindsFaults(t *testing.T) {
	for name, change := range map[string]func(*simulatedTier){
		"a lease counted from the answer":        func(w *simulatedTier) { w.leaseFromAnswer, w.linger, w.stallEvery = true, 2*time.Second, 6 },
		"no wait for what a stopped broker left": func(w *simulatedTier) { w.noLinger = true },
	} {
		found := ""
		for seed := uint64(0); seed < 20 && found == ""; seed++ {
			found = playTier(seed, change).violation
		}
		if t.Logf("%s: %s", name, found); found == "" {
			t.Errorf("%s: not found in 20 runs", name)
		}
	}
}

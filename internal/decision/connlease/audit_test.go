package connlease

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

var (
	seeds   = flag.Int("seeds", 6, "runs of the audit")
	brokers = flag.Int("brokers", 24, "brokers of the audit")
	nodes   = flag.Int("nodes", 6, "nodes of the audit")
	span    = flag.Duration("span", 90*time.Second, "virtual time of a run")
)

func play(seed uint64, change func(*world)) *world {
	w := &world{chance: rand.New(rand.NewPCG(seed, 9)), state: statemachine.New(), needs: map[statemachine.Slot][]ConnectionCount{}, count: map[statemachine.NodeID]int{}}
	w.linger, w.stalls = 6*time.Second, 40
	w.plans = []*BudgetPlan{newPlan(*nodes, *brokers*2), newPlan(*nodes, *brokers)}
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
	w.policy(version, *brokers)
	for i := range *brokers {
		a := &agent{w: w, slot: statemachine.Slot(i), rate: 0.992 + w.chance.Float64()*0.016, want: map[LeaseKey]int{}}
		w.brokers = append(w.brokers, a)
		w.start(a)
	}
	w.after(0, w.lead)
	var trouble func()
	trouble = func() {
		a := w.brokers[w.chance.IntN(len(w.brokers))]
		switch w.chance.IntN(16) {
		default: // the demand shifts
			a.shift(0)
		case 0, 1: // stopped, mostly over its lease
			a.stopped = true
			w.after(w.upTo(20*time.Second), func() { a.stopped = false })
		case 2, 3: // cut off
			a.cut = true
			w.after(w.upTo(12*time.Second), func() { a.cut = false })
		case 4: // killed, and started anew
			for _, c := range a.conns {
				w.after(w.upTo(closing/2), func() { w.close(c) })
			}
			a.incarnation++ // what runs ends
			a.conns = nil
			born := a.incarnation
			w.after(closing+w.upTo(2*time.Second), func() {
				if a.incarnation == born {
					w.start(a)
				}
			})
		}
		w.after(w.upTo(8*time.Second/time.Duration(len(w.brokers))), trouble)
	}
	if w.calm {
		for _, a := range w.brokers {
			a.shift(5)
		}
		w.run(*span)
		return w
	}
	w.after(0, trouble)
	var agreed func()
	agreed = func() {
		if w.chance.IntN(2) == 0 {
			w.elect()
		} else if w.policy(version+1, *brokers) == nil {
			version++
		}
		w.after(5*time.Second+w.upTo(20*time.Second), agreed)
	}
	w.after(10*time.Second, agreed)
	w.run(*span)
	return w
}

// TestAudit counts connections at the nodes, at every instant, while everything breaks: never more than the budget.
func TestAudit(t *testing.T) {
	opened, versions := 0, uint64(0)
	for seed := range uint64(*seeds) {
		w := play(seed, nil)
		if w.fault != "" {
			t.Errorf("seed %d: %s", seed, w.fault)
		}
		p := w.state.Policies().InForce
		opened, versions = opened+w.served, versions+p.Version-1
	}
	t.Logf("%d runs of %v, %d brokers, %d nodes: %d connections opened, %d policies took over, never over a budget", *seeds, *span, *brokers,
		*nodes, opened, versions)
	if opened < 1000 || versions == 0 {
		t.Errorf("next to nothing happened: %d connections, %d policies", opened, versions)
	}
}

// TestAuditFinds puts faults in on purpose: the audit must see what comes of them.
func TestAuditFinds(t *testing.T) {
	for name, change := range map[string]func(*world){
		"a lease counted from the answer":        func(w *world) { w.wrong, w.linger, w.stalls = true, 2*time.Second, 6 },
		"no wait for what a stopped broker left": func(w *world) { w.stuck = true },
	} {
		found := ""
		for seed := uint64(0); seed < 20 && found == ""; seed++ {
			found = play(seed, change).fault
		}
		if t.Logf("%s: %s", name, found); found == "" {
			t.Errorf("%s: not found in 20 runs", name)
		}
	}
}

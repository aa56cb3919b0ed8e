package admission

import (
	"testing"
	"time"
)

// runLateBroker plays a flood before a store of 400 parts a second, by a broker that comes round each so often only: arrivals and
// answers wait for it alike, while the store works at once.
func runLateBroker(turnInterval time.Duration, measureDelay bool) (used float64, quiet tally, r *simulation) {
	var flood tally
	r = newSimulation(16, 40*ms, 0.5, 0.5)
	r.turnInterval, r.ignoreBrokerDelay = turnInterval, !measureDelay
	r.addLoad(0, 1000, 2, time.Second, 21*time.Second, noClient, &flood)
	r.addLoad(1, 30, 2, 0, 21*time.Second, noClient, &quiet)
	r.run(25 * time.Second)
	return float64(2*(flood.answered+quiet.answered)) / (400 * 20), quiet, r
}

// A broker that comes round late does not take its own delay for the store's: the quiet tenant is served and the store used.
// One that can't tell the two apart, as before, refuses the quiet tenant while the store idles.
func TestLateBroker(t *testing.T) {
	for turnInterval, minUsed := range map[time.Duration]float64{100 * ms: 0.95, 200 * ms: 0.9, 300 * ms: 0.8, 400 * ms: 0.7} {
		used, quiet, r := runLateBroker(turnInterval, true)
		unmeasuredUsed, unmeasured, _ := runLateBroker(turnInterval, false)
		t.Logf("late by %v: %+v, %.0f%% of the store used, limit %.0f times %.1f; blind %+v, %.0f%%", turnInterval, quiet, 100*used, r.limit, r.delayFactor,
			unmeasured, 100*unmeasuredUsed)
		if quiet.rejected*100 > quiet.submitted || used < minUsed {
			t.Errorf("late by %v: %+v, %.2f of the store used", turnInterval, quiet, used)
		}
		if turnInterval >= 300*ms && (unmeasured.rejected*100 < 15*unmeasured.submitted || unmeasuredUsed > 0.7) {
			t.Errorf("late by %v and blind: %+v, %.2f of the store used: the course does not provoke the fault", turnInterval, unmeasured, unmeasuredUsed)
		}
	}
}

// A store that is slow is told from a broker that is late, while it is late.
func TestLateAndSlow(t *testing.T) {
	r := newSimulation(16, 40*ms, 1)
	r.turnInterval = 100 * ms
	var load tally
	r.addLoad(0, 400, 1, 0, 60*time.Second, noClient, &load)
	r.run(25 * time.Second)
	before, kept := r.limit, r.cores
	r.cores = kept[:8:8]
	r.run(55 * time.Second)
	if r.limit > 0.9*before {
		t.Errorf("limit %.0f, %.0f with half the cores", before, r.limit)
	}
}

// What waited while the broker stood still goes in where there is room by then; the rest is refused.
func TestTickAfterBrokerStall(t *testing.T) {
	controller := NewController(Policy{Weights: []float64{1}, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 2, MaxRetryAfter: time.Second, Seed: 1})
	for id := range uint64(7) {
		controller.Arrive(Query{ID: id, Work: 2, TimeLeft: time.Second}, 0)
	}
	controller.Complete(Completion{Work: 2, Elapsed: 900 * ms}, 900*ms)
	dequeued, _ := controller.Tick(900*ms, nil)
	if len(dequeued) != 2 || !dequeued[0].Admitted || dequeued[1].Admitted {
		t.Errorf("%+v", dequeued)
	}
}

// Answers wait unseen for a core, each for another time. A door that knows how late its broker runs does not take that for a queue;
// one that is not told lowers its limit on it.
func TestUnmeasuredLateness(t *testing.T) {
	finalLimit := func(setLateness bool) float64 {
		r := newSimulation(64, 10*ms, 1) // far more than is asked for at once
		r.maxUnseenDelay = 300 * ms
		if setLateness {
			r.SetLateness(r.maxUnseenDelay / 2)
		}
		var load tally
		r.addLoad(0, 40, 1, 0, 40*time.Second, noClient, &load)
		r.addLoad(0, 200, 1, 0, 2*time.Second, noClient, &load)
		r.run(40 * time.Second)
		return r.limit
	}
	if withLateness, withoutLateness := finalLimit(true), finalLimit(false); withLateness < 16 || withoutLateness > 8 {
		t.Errorf("limit %.0f, %.0f where nobody tells", withLateness, withoutLateness)
	}
}

// What the module sheds lowers the limit where nothing is answered, and not where answers come as fast as ever.
func TestSheds(t *testing.T) {
	for _, answered := range []bool{true, false} {
		controller := NewController(Policy{Weights: []float64{1}, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 4, MaxRetryAfter: time.Second, Seed: 1})
		for now := time.Duration(0); now < 8*time.Second; now += 50 * ms {
			controller.Arrive(Query{Work: 1, TimeLeft: time.Second}, now)
			controller.Arrive(Query{Work: 1, TimeLeft: time.Second}, now)
			controller.Complete(Completion{Work: 1, Elapsed: 40 * ms, Answered: answered, Shed: !answered}, now)
			controller.Complete(Completion{Work: 1, Elapsed: 900 * ms, Shed: true}, now)
			controller.Tick(now, nil)
		}
		if (controller.limit < 16) == answered {
			t.Errorf("answered %v: limit %.0f", answered, controller.limit)
		}
	}
}

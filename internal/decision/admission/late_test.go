package admission

import (
	"testing"
	"time"
)

// runLateBroker simulates a flood on a store of 400 shard requests per second, through a broker that runs only once per turnInterval:
// arrivals and answers wait for the broker, while the store starts work at once.
func runLateBroker(turnInterval time.Duration, measureDelay bool) (used float64, quiet tally, r *simulation) {
	var flood tally
	r = newSimulation(16, 40*ms, 0.5, 0.5)
	r.turnInterval, r.ignoreBrokerDelay = turnInterval, !measureDelay
	r.addLoad(0, 1000, 2, time.Second, 21*time.Second, noClient, &flood)
	r.addLoad(1, 30, 2, 0, 21*time.Second, noClient, &quiet)
	r.run(25 * time.Second)
	return float64(2*(flood.answered+quiet.answered)) / (400 * 20), quiet, r
}

// A late broker does not attribute its own delay to the store: the quiet tenant is served and the store is used. A broker that can't
// tell the two apart rejects the quiet tenant while the store is idle; the test checks that its load provokes this fault.
func TestLateBroker(t *testing.T) {
	for turnInterval, minUsed := range map[time.Duration]float64{100 * ms: 0.95, 200 * ms: 0.9, 300 * ms: 0.8, 400 * ms: 0.7} {
		used, quiet, r := runLateBroker(turnInterval, true)
		unmeasuredUsed, unmeasured, _ := runLateBroker(turnInterval, false)
		t.Logf("late by %v: %+v, %.0f%% of the store used, limit %.0f times %.1f; own delay ignored: %+v, %.0f%%",
			turnInterval, quiet, 100*used, r.limit, r.delayFactor, unmeasured, 100*unmeasuredUsed)
		if quiet.rejected*100 > quiet.submitted || used < minUsed {
			t.Errorf("late by %v: %+v, %.2f of the store used", turnInterval, quiet, used)
		}
		if turnInterval >= 300*ms && (unmeasured.rejected*100 < 15*unmeasured.submitted || unmeasuredUsed > 0.7) {
			t.Errorf("late by %v, own delay ignored: %+v, %.2f of the store used: the load does not provoke the fault",
				turnInterval, unmeasured, unmeasuredUsed)
		}
	}
}

// A late broker still notices that the store has become slow, and lowers the limit.
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

// After a stall of the broker, queued queries are admitted as far as there is capacity by then; the rest are rejected.
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

// Answers wait for a processor core of the broker, each for a different time that is not measured. A controller that knows the broker's
// average lateness does not take this for a queue at the store; one that does not know it lowers its limit.
func TestUnmeasuredLateness(t *testing.T) {
	limit := func(setLateness bool) float64 {
		r := newSimulation(64, 10*ms, 1) // far more cores than requests at once
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
	if withLateness, withoutLateness := limit(true), limit(false); withLateness < 16 || withoutLateness > 8 {
		t.Errorf("limit %.0f, %.0f without SetLateness", withLateness, withoutLateness)
	}
}

// Queries shed by the router lower the limit if nothing is answered, but not if answers come as fast as before.
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

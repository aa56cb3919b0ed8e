package admission

import (
	"testing"
	"time"
)

// late plays a flood before a store of 400 parts a second, by a broker that comes round each so often only: arrivals and
// answers wait for it alike, while the store works at once.
func late(lag time.Duration, own bool) (used float64, quiet tally, r *rig) {
	var flood tally
	r = newRig(16, 40*ms, 0.5, 0.5)
	r.lag, r.blind = lag, !own
	r.flow(0, 1000, 2, time.Second, 21*time.Second, nobody, &flood)
	r.flow(1, 30, 2, 0, 21*time.Second, nobody, &quiet)
	r.run(25 * time.Second)
	return float64(2*(flood.answered+quiet.answered)) / (400 * 20), quiet, r
}

// A broker that comes round late does not take its own delay for the store's: the quiet tenant is served and the store used.
// One that can't tell the two apart, as before, refuses the quiet tenant while the store idles.
func TestLateBroker(t *testing.T) {
	for lag, least := range map[time.Duration]float64{100 * ms: 0.95, 200 * ms: 0.9, 300 * ms: 0.8, 400 * ms: 0.7} {
		used, quiet, r := late(lag, true)
		idle, before, _ := late(lag, false)
		t.Logf("late by %v: %+v, %.0f%% of the store used, limit %.0f times %.1f; blind %+v, %.0f%%", lag, quiet, 100*used, r.limit, r.delayFactor,
			before, 100*idle)
		if quiet.turned*100 > quiet.asked || used < least {
			t.Errorf("late by %v: %+v, %.2f of the store used", lag, quiet, used)
		}
		if lag >= 300*ms && (before.turned*100 < 15*before.asked || idle > 0.7) {
			t.Errorf("late by %v and blind: %+v, %.2f of the store used: the course does not provoke the fault", lag, before, idle)
		}
	}
}

// A store that is slow is told from a broker that is late, while it is late.
func TestLateAndSlow(t *testing.T) {
	r := newRig(16, 40*ms, 1)
	r.lag = 100 * ms
	var load tally
	r.flow(0, 400, 1, 0, 60*time.Second, nobody, &load)
	r.run(25 * time.Second)
	before, kept := r.limit, r.cores
	r.cores = kept[:8:8]
	r.run(55 * time.Second)
	if r.limit > 0.9*before {
		t.Errorf("limit %.0f, %.0f with half the cores", before, r.limit)
	}
}

// What waited while the broker stood still goes in where there is room by then; the rest is refused.
func TestStandstill(t *testing.T) {
	d := NewController(Policy{Weights: []float64{1}, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 2, MaxRetryAfter: time.Second, Seed: 1})
	for id := range uint64(7) {
		d.Arrive(Query{ID: id, Work: 2, TimeLeft: time.Second}, 0)
	}
	d.Complete(Completion{Work: 2, Elapsed: 900 * ms}, 900*ms)
	lets, _ := d.Tick(900*ms, nil)
	if len(lets) != 2 || !lets[0].Admitted || lets[1].Admitted {
		t.Errorf("%+v", lets)
	}
}

// Answers wait unseen for a core, each for another time. A door that knows how late its broker runs does not take that for a queue;
// one that is not told lowers its limit on it.
func TestUnseenLateness(t *testing.T) {
	limit := func(told bool) float64 {
		r := newRig(64, 10*ms, 1) // far more than is asked for at once
		r.unseen = 300 * ms
		if told {
			r.SetLateness(r.unseen / 2)
		}
		var load tally
		r.flow(0, 40, 1, 0, 40*time.Second, nobody, &load)
		r.flow(0, 200, 1, 0, 2*time.Second, nobody, &load)
		r.run(40 * time.Second)
		return r.limit
	}
	if knows, not := limit(true), limit(false); knows < 16 || not > 8 {
		t.Errorf("limit %.0f, %.0f where nobody tells", knows, not)
	}
}

// What the module sheds lowers the limit where nothing is answered, and not where answers come as fast as ever.
func TestSheds(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := NewController(Policy{Weights: []float64{1}, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 4, MaxRetryAfter: time.Second, Seed: 1})
		for now := time.Duration(0); now < 8*time.Second; now += 50 * ms {
			d.Arrive(Query{Work: 1, TimeLeft: time.Second}, now)
			d.Arrive(Query{Work: 1, TimeLeft: time.Second}, now)
			d.Complete(Completion{Work: 1, Elapsed: 40 * ms, Answered: answered, Shed: !answered}, now)
			d.Complete(Completion{Work: 1, Elapsed: 900 * ms, Shed: true}, now)
			d.Tick(now, nil)
		}
		if (d.limit < 16) == answered {
			t.Errorf("answered %v: limit %.0f", answered, d.limit)
		}
	}
}

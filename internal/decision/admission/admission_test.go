package admission

import (
	"testing"
	"time"
)

// One tenant at twenty times its normal load: the others are served as ever, and what the store can do is used.
func TestFlood(t *testing.T) {
	r := newSimulation(16, 40*ms, 0.5, 0.3, 0.2) // 400 parts a second
	var flood, one, two tally
	r.addLoad(0, 1000, 2, time.Second, 21*time.Second, noClient, &flood)
	r.addLoad(1, 30, 2, 0, 21*time.Second, noClient, &one)
	r.addLoad(2, 20, 2, 0, 21*time.Second, noClient, &two)
	r.run(25 * time.Second)
	for i, q := range []tally{one, two} {
		if q.answered*1000 < q.submitted*990 {
			t.Errorf("quiet tenant %d: %+v", i+1, q)
		}
	}
	if used := float64(2*(flood.answered+one.answered+two.answered)) / (400 * 20); used < 0.95 {
		t.Errorf("%.2f of the store is used: %+v", used, flood)
	}
}

// Tenants that all want more than they get are given what their weights say (Jain's index), and one without weight nothing.
func TestShares(t *testing.T) {
	r := newSimulation(16, 40*ms, 0.5, 0.3, 0.2, 0)
	all := make([]tally, 4)
	for i := range all {
		r.addLoad(i, 300, float64(1+i), 0, 30*time.Second, noClient, &all[i])
	}
	r.run(35 * time.Second)
	sum, squares := 0.0, 0.0
	for i, w := range []float64{0.5, 0.3, 0.2} {
		x := float64(all[i].answered) * float64(1+i) / w
		sum, squares = sum+x, squares+x*x
	}
	if jain := sum * sum / (3 * squares); jain < 0.99 {
		t.Errorf("Jain's index %.4f: %+v", jain, all)
	}
	if all[3].answered*20 > all[0].answered {
		t.Errorf("one without weight: %+v", all)
	}
	single := newSimulation(16, 40*ms, 1, 0)
	var load tally
	single.addLoad(1, 100, 1, 0, 10*time.Second, noClient, &load)
	single.run(12 * time.Second)
	if load.answered < load.submitted*99/100 {
		t.Errorf("alone, without weight: %+v", load)
	}
}

// Within a tenant a client that floods takes no more than the others, though a million names come.
func TestFloodingClient(t *testing.T) {
	r := newSimulation(8, 40*ms, 1)
	var big, small tally
	n := uint64(1000)
	r.addLoad(0, 800, 1, 0, 20*time.Second, func() uint64 { return 7 }, &big)
	r.addLoad(0, 60, 1, 2*time.Second, 20*time.Second, func() uint64 { n++; return n }, &small)
	r.run(25 * time.Second)
	if float64(small.answered) < 0.5*float64(small.submitted) || float64(big.answered)/float64(big.submitted) > 0.5 {
		t.Errorf("the big one %+v, small ones %+v", big, small)
	}
}

// Who comes back when told finds room, and the time told was right.
func TestRetryAfterIsAccurate(t *testing.T) {
	r := newSimulation(16, 40*ms, 1)
	rejections, accurate, retries := 0, 0, 0
	var retry func(query Query) func(outcome string, retryAfter time.Duration)
	retry = func(query Query) func(string, time.Duration) {
		return func(outcome string, retryAfter time.Duration) {
			if outcome != "turned" {
				return
			}
			rejections++
			query.Retry = true
			r.schedule(r.now+retryAfter, func() {
				retries++
				r.submit(query, func(outcome string, h time.Duration) {
					if outcome == "answered" || h < retryAfter/5 {
						accurate++
					}
					retry(query)(outcome, h)
				})
			})
		}
	}
	for i := range 3000 { // 300 a second for ten seconds, room for 200
		r.schedule(time.Duration(i)*10*ms/3, func() {
			query := Query{Work: 2, TimeLeft: 2 * time.Second}
			r.submit(query, retry(query))
		})
	}
	r.run(30 * time.Second)
	if rejections < 100 || float64(accurate) < 0.9*float64(retries) {
		t.Errorf("%d told, %d came back, %d found room", rejections, retries, accurate)
	}
	t.Logf("%d told, %d came back, %d found room", rejections, retries, accurate)
}

// Where half the cores go away and come back the limit follows, and does not swing.
func TestCapacityHalves(t *testing.T) {
	r := newSimulation(16, 40*ms, 1)
	var load tally
	r.addLoad(0, 400, 1, 0, 60*time.Second, noClient, &load)
	r.run(15 * time.Second)
	before := r.limit
	allCores := r.cores
	r.cores = allCores[:8:8]
	r.run(35 * time.Second)
	halved := r.limit
	r.cores = append(r.cores, make([]time.Duration, 8)...)
	r.run(60 * time.Second)
	t.Logf("limit %.0f, %.0f with half the cores, %.0f after", before, halved, r.limit)
	if halved > 0.9*before || r.limit < 0.7*before || r.limit > 2*before {
		t.Errorf("limit %.0f, %.0f with half the cores, %.0f after", before, halved, r.limit)
	}
	if load.late*50 > load.submitted {
		t.Errorf("%+v", load)
	}
}

// Ten tenants flood at once; two quiet ones keep their service.
func TestTenFlooders(t *testing.T) {
	weights := []float64{0.1, 0.1, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08}
	r := newSimulation(16, 40*ms, weights...)
	all := make([]tally, 12)
	for i := range all {
		rate := 200.0
		if i < 2 {
			rate = 15
		}
		r.addLoad(i, rate, 2, 0, 15*time.Second, noClient, &all[i])
	}
	r.run(18 * time.Second)
	for i := range 2 {
		if all[i].answered*100 < all[i].submitted*98 {
			t.Errorf("quiet tenant %d: %+v", i, all[i])
		}
	}
}

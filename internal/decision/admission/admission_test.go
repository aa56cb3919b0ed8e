package admission

import (
	"testing"
	"time"
)

// One tenant sends 20 times its normal load: the others are served as before, and the store's capacity is used.
func TestFlood(t *testing.T) {
	r := newSimulation(16, 40*ms, 0.5, 0.3, 0.2) // 400 shard requests per second
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
		t.Errorf("%.2f of the store's capacity is used: %+v", used, flood)
	}
}

// Overloaded tenants get capacity in proportion to their weights (Jain's index), and one without weight gets next to nothing beside them.
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
		t.Errorf("tenant without weight beside others: %+v", all)
	}
	single := newSimulation(16, 40*ms, 1, 0)
	var load tally
	single.addLoad(1, 100, 1, 0, 10*time.Second, noClient, &load)
	single.run(12 * time.Second)
	if load.answered < load.submitted*99/100 {
		t.Errorf("tenant without weight alone: %+v", load)
	}
}

// Within a tenant, a client that floods does not displace the others, though each of those appears under a new name.
func TestFloodingClient(t *testing.T) {
	r := newSimulation(8, 40*ms, 1)
	var big, small tally
	n := uint64(1000)
	r.addLoad(0, 800, 1, 0, 20*time.Second, func() uint64 { return 7 }, &big)
	r.addLoad(0, 60, 1, 2*time.Second, 20*time.Second, func() uint64 { n++; return n }, &small)
	r.run(25 * time.Second)
	if float64(small.answered) < 0.5*float64(small.submitted) || float64(big.answered)/float64(big.submitted) > 0.5 {
		t.Errorf("flooding client %+v, small clients %+v", big, small)
	}
}

// A client that returns after its Retry-After is served, or is told to wait for less than a fifth of that time again.
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
	for i := range 3000 { // 300 queries per second for ten seconds, with capacity for 200
		r.schedule(time.Duration(i)*10*ms/3, func() {
			query := Query{Work: 2, TimeLeft: 2 * time.Second}
			r.submit(query, retry(query))
		})
	}
	r.run(30 * time.Second)
	if rejections < 100 || float64(accurate) < 0.9*float64(retries) {
		t.Errorf("%d rejections, %d retries, %d of them after an accurate Retry-After", rejections, retries, accurate)
	}
	t.Logf("%d rejections, %d retries, %d of them after an accurate Retry-After", rejections, retries, accurate)
}

// The limit follows when half the cores go away and come back, and does not oscillate.
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

// Ten tenants flood at once; the two quiet ones are served as before.
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

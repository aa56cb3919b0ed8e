package admission

import (
	"testing"
	"time"
)

// One tenant at twenty times its normal load: the others are served as ever, and what the store can do is used.
func TestFlood(t *testing.T) {
	r := newRig(16, 40*ms, 0.5, 0.3, 0.2) // 400 parts a second
	var flood, one, two tally
	r.flow(0, 1000, 2, time.Second, 21*time.Second, nobody, &flood)
	r.flow(1, 30, 2, 0, 21*time.Second, nobody, &one)
	r.flow(2, 20, 2, 0, 21*time.Second, nobody, &two)
	r.run(25 * time.Second)
	for i, q := range []tally{one, two} {
		if q.answered*1000 < q.asked*990 {
			t.Errorf("quiet tenant %d: %+v", i+1, q)
		}
	}
	if used := float64(2*(flood.answered+one.answered+two.answered)) / (400 * 20); used < 0.95 {
		t.Errorf("%.2f of the store is used: %+v", used, flood)
	}
}

// Tenants that all want more than they get are given what their weights say (Jain's index), and one without weight nothing.
func TestShares(t *testing.T) {
	r := newRig(16, 40*ms, 0.5, 0.3, 0.2, 0)
	all := make([]tally, 4)
	for i := range all {
		r.flow(i, 300, float64(1+i), 0, 30*time.Second, nobody, &all[i])
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
	alone := newRig(16, 40*ms, 1, 0)
	var only tally
	alone.flow(1, 100, 1, 0, 10*time.Second, nobody, &only)
	alone.run(12 * time.Second)
	if only.answered < only.asked*99/100 {
		t.Errorf("alone, without weight: %+v", only)
	}
}

// Within a tenant a client that floods takes no more than the others, though a million names come.
func TestClients(t *testing.T) {
	r := newRig(8, 40*ms, 1)
	var big, small tally
	n := uint64(1000)
	r.flow(0, 800, 1, 0, 20*time.Second, func() uint64 { return 7 }, &big)
	r.flow(0, 60, 1, 2*time.Second, 20*time.Second, func() uint64 { n++; return n }, &small)
	r.run(25 * time.Second)
	if float64(small.answered) < 0.5*float64(small.asked) || float64(big.answered)/float64(big.asked) > 0.5 {
		t.Errorf("the big one %+v, small ones %+v", big, small)
	}
}

// Who comes back when told finds room, and the time told was right.
func TestHints(t *testing.T) {
	r := newRig(16, 40*ms, 1)
	told, right, askedAgain := 0, 0, 0
	var again func(s Query) func(how string, hint time.Duration)
	again = func(s Query) func(string, time.Duration) {
		return func(how string, hint time.Duration) {
			if how != "turned" {
				return
			}
			told++
			s.Retry = true
			r.at(r.now+hint, func() {
				askedAgain++
				r.ask(s, func(how string, h time.Duration) {
					if how == "answered" || h < hint/5 {
						right++
					}
					again(s)(how, h)
				})
			})
		}
	}
	for i := range 3000 { // 300 a second for ten seconds, room for 200
		r.at(time.Duration(i)*10*ms/3, func() {
			s := Query{Work: 2, TimeLeft: 2 * time.Second}
			r.ask(s, again(s))
		})
	}
	r.run(30 * time.Second)
	if told < 100 || float64(right) < 0.9*float64(askedAgain) {
		t.Errorf("%d told, %d came back, %d found room", told, askedAgain, right)
	}
	t.Logf("%d told, %d came back, %d found room", told, askedAgain, right)
}

// Where half the cores go away and come back the limit follows, and does not swing.
func TestCapacityHalves(t *testing.T) {
	r := newRig(16, 40*ms, 1)
	var load tally
	r.flow(0, 400, 1, 0, 60*time.Second, nobody, &load)
	r.run(15 * time.Second)
	before := r.limit
	kept := r.cores
	r.cores = kept[:8:8]
	r.run(35 * time.Second)
	halved := r.limit
	r.cores = append(r.cores, make([]time.Duration, 8)...)
	r.run(60 * time.Second)
	t.Logf("limit %.0f, %.0f with half the cores, %.0f after", before, halved, r.limit)
	if halved > 0.9*before || r.limit < 0.7*before || r.limit > 2*before {
		t.Errorf("limit %.0f, %.0f with half the cores, %.0f after", before, halved, r.limit)
	}
	if load.late*50 > load.asked {
		t.Errorf("%+v", load)
	}
}

// Ten tenants flood at once; two quiet ones keep their service.
func TestTenFlooders(t *testing.T) {
	weights := []float64{0.1, 0.1, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08}
	r := newRig(16, 40*ms, weights...)
	all := make([]tally, 12)
	for i := range all {
		rate := 200.0
		if i < 2 {
			rate = 15
		}
		r.flow(i, rate, 2, 0, 15*time.Second, nobody, &all[i])
	}
	r.run(18 * time.Second)
	for i := range 2 {
		if all[i].answered*100 < all[i].asked*98 {
			t.Errorf("quiet tenant %d: %+v", i, all[i])
		}
	}
}

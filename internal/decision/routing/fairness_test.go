package routing

import (
	"fmt"
	"slices"
	"testing"

	"flaxfront/internal/decision"
)

// flood plays 30 s in which four nodes, that serve 50 shard requests a second each in turn, are asked for a third more and more than they
// can do, and returns the share served in time by third and class, of the tenant inside its share.
func flood(own, other int) (share [3][2]float64) {
	t := smallSettings()
	t.BrokerCount = 1
	t.Tenants = []decision.Tenant{{TrafficShare: 0.7, Quota: 120}, {TrafficShare: 0.3, Quota: 50}}
	r := newRig(t, 4)
	type asked struct{ third, typ int }
	mine := map[uint64]asked{}
	pending := map[decision.NodeID]int{}
	var taken, served [3][2]float64
	for tick := range 6000 { // of 5 ms
		third := tick / 2000
		for tenant, rate := range []int{own, other} {
			for range (tick+1)*rate/200 - tick*rate/200 {
				typ := int(r.nextID) / 2 % 2
				id := r.query(typ, t.QueryTypes[typ].Timeout, int(r.serial)%2)
				r.events[len(r.events)-2].Tenant = tenant
				if tenant == 0 {
					mine[id], taken[third][typ] = asked{third, typ}, taken[third][typ]+1
				}
			}
		}
		for i := range 4 { // each serves the oldest in its queue, one in 20 ms
			id := nodeID(i)
			pending[id]++
			if pending[id] < 4 {
				continue
			}
			at := slices.IndexFunc(r.order, func(k attemptKey) bool { s, out := r.inFlight[k]; return out && s.node == id && s.at < r.now })
			if at >= 0 {
				pending[id] = 0
				r.endAttempt(r.order[at], decision.OK)
			}
		}
		for _, a := range r.step(5 * ms) {
			if m, known := mine[a.ID]; known && a.Kind == decision.AnswerQuery {
				served[m.third][m.typ]++
			}
		}
	}
	for third := range share {
		for typ := range share[third] {
			share[third][typ] = served[third][typ] / taken[third][typ]
		}
	}
	if r.violation != "" {
		panic(r.violation)
	}
	return share
}

// A tenant inside its share is served while another floods, every class of it, from the first third to the last; and where all
// ask for more than can be done no class starves for one of more worth.
func TestFairnessOfQueryTypesAndTenants(t *testing.T) {
	for what, c := range map[string]struct {
		own, other int
		least      float64
	}{
		"another tenant floods": {100, 250, 0.7},
		"all ask for too much":  {320, 0, 200.0 / 320 / 2},
	} {
		got := flood(c.own, c.other)
		t.Log(what, fmt.Sprintf("%.2f", got))
		for third := range got {
			for typ, share := range got[third] {
				require(t, share >= c.least, "%s: third %d, class %d: %.2f served", what, third, typ, share)
			}
		}
	}
}

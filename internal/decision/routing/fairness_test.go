package routing

import (
	"fmt"
	"slices"
	"testing"

	"flaxfront/internal/decision"
)

// servedUnderOverload plays 30 s in which two tenants send queries at the given rates a second to four nodes, each of which answers 50
// shard requests a second. It returns the share of the first tenant's queries that are answered, by third of the time and query type.
func servedUnderOverload(ownRate, otherRate int) (share [3][2]float64) {
	settings := smallSettings()
	settings.BrokerCount = 1
	settings.Tenants = []decision.Tenant{{TrafficShare: 0.7, Quota: 120}, {TrafficShare: 0.3, Quota: 50}}
	r := newRig(settings, 4)
	type arrival struct{ third, queryType int }
	ownQueries := map[uint64]arrival{}
	ticksSinceAnswer := map[decision.NodeID]int{}
	var received, served [3][2]float64
	for tick := range 6000 { // of 5 ms
		third := tick / 2000
		for tenant, rate := range []int{ownRate, otherRate} {
			for range (tick+1)*rate/200 - tick*rate/200 {
				queryType := int(r.nextID) / 2 % 2
				id := r.query(queryType, settings.QueryTypes[queryType].Timeout, int(r.serial)%2)
				r.events[len(r.events)-2].Tenant = tenant
				if tenant == 0 {
					ownQueries[id], received[third][queryType] = arrival{third, queryType}, received[third][queryType]+1
				}
			}
		}
		for i := range 4 { // each node answers the oldest attempt in its queue, one in 20 ms
			id := nodeID(i)
			ticksSinceAnswer[id]++
			if ticksSinceAnswer[id] < 4 {
				continue
			}
			at := slices.IndexFunc(r.order, func(k attemptKey) bool { s, out := r.inFlight[k]; return out && s.node == id && s.at < r.now })
			if at >= 0 {
				ticksSinceAnswer[id] = 0
				r.endAttempt(r.order[at], decision.OK)
			}
		}
		for _, a := range r.step(5 * ms) {
			if m, known := ownQueries[a.ID]; known && a.Kind == decision.AnswerQuery {
				served[m.third][m.queryType]++
			}
		}
	}
	for third := range share {
		for queryType := range share[third] {
			share[third][queryType] = served[third][queryType] / received[third][queryType]
		}
	}
	if r.violation != "" {
		panic(r.violation)
	}
	return share
}

// A tenant that stays within its quota is served while another floods: each of its query types, throughout the run. Under overload by
// one tenant alone, no query type starves in favour of one with a higher priority weight.
func TestFairnessOfQueryTypesAndTenants(t *testing.T) {
	for name, c := range map[string]struct {
		own, other int
		least      float64
	}{
		"another tenant floods": {100, 250, 0.7},
		"all ask for too much":  {320, 0, 200.0 / 320 / 2},
	} {
		got := servedUnderOverload(c.own, c.other)
		t.Log(name, fmt.Sprintf("%.2f", got))
		for third := range got {
			for queryType, share := range got[third] {
				require(t, share >= c.least, "%s: third %d, query type %d: share %.2f served", name, third, queryType, share)
			}
		}
	}
}

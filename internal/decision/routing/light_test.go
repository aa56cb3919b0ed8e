package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// skewed asks for a search of the second type, whose parts count 70, 20, 5 and 5 in a hundred, and returns how many are sent.
func skewed(r *rig) int {
	r.ask(1, r.t.QueryTypes[1].Timeout, 0, 1, 0, 1)
	for i, w := range []float64{0.7, 0.2, 0.05, 0.05} {
		e := &r.events[len(r.events)-4+i]
		e.Weight, r.parts[e.ID].weight = w, w
	}
	return len(pick(r.step(5*ms), decision.SendAttempt))
}

// teach has many searches of the first type answered after a time.
func teach(r *rig, took time.Duration) {
	for range 60 {
		r.ask(0, r.t.QueryTypes[0].Timeout, 0, 1)
		r.step(5 * ms)
		r.step(took - 10*ms)
		r.endWhere(decision.OK, took-10*ms, nil)
		r.step(5 * ms)
	}
}

// A search that may be partial leaves out what counts least while parts wait long everywhere, and nothing while they do not.
func TestLightPartsGiveWay(t *testing.T) {
	r := newRig(smallTerms(), 4)
	teach(r, 100*ms)
	must(t, skewed(r) == 4, "calm: some parts are left out")
	r.step(100 * ms)
	r.endWhere(decision.OK, 100*ms, nil)
	r.step(5 * ms)
	teach(r, 550*ms)
	sent := skewed(r)
	must(t, sent == 2, "crowded: %d parts sent, want the two heavy ones", sent)
	must(t, r.bad == "", "%s", r.bad)
}

// The heavy part of a search that may be partial is copied when it is slow; the light ones are not.
func TestLightPartsAreNotCopied(t *testing.T) {
	r := newRig(smallTerms(), 4)
	teach(r, 100*ms)
	r.l.desk.tokens = capDepth // the lessons have used some
	must(t, skewed(r) == 4, "some parts are left out")
	copies := map[uint64]int{}
	for range 300 {
		for _, a := range pick(r.step(5*ms), decision.SendAttempt) {
			copies[a.ID]++
		}
	}
	must(t, len(copies) == 1, "%d parts copied, want the one that counts more than the mean", len(copies))
	for id := range copies {
		must(t, r.parts[id].weight == 0.7, "a part of weight %v is copied", r.parts[id].weight)
	}
	must(t, r.bad == "", "%s", r.bad)
}

// A client with little time left is turned away where nodes are crowded, and not where it can be answered.
func TestLittleTimeIsNoOverload(t *testing.T) {
	terms := smallTerms()
	terms.ClientsMarkRetries = true
	r := newRig(terms, 4)
	teach(r, 100*ms)
	id := r.ask(0, 170*ms, 0, 1) // it needs both parts, however little one of them counts
	for i, w := range []float64{0.9, 0.1} {
		r.events[len(r.events)-2+i].Weight, r.parts[r.searches[id].parts[i]].weight = w, w
	}
	must(t, len(pick(r.step(5*ms), decision.SendAttempt)) == 2, "refused though the nodes are idle")
	r.step(100 * ms)
	r.endWhere(decision.OK, 100*ms, nil)
	r.step(5 * ms)
	teach(r, 200*ms)
	r.ask(0, 270*ms, 0, 1)
	must(t, len(pick(r.step(5*ms), decision.SendAttempt)) == 0, "not refused though the nodes are crowded")
	must(t, r.bad == "", "%s", r.bad)
}

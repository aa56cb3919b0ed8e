package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Where nodes may be probed, a part waits for a holder that shows life, and goes all the same once it has waited for long
// (memphis-main, sillon-casa).
func TestHoldersAreProbed(t *testing.T) {
	terms := smallTerms()
	terms.HealthChecksAllowed = true
	for _, answers := range []bool{true, false} {
		r := newRig(terms, 6)
		r.ask(0, 3*time.Second, 0)
		a := r.step(5 * ms)
		must(t, len(pick(a, decision.SendAttempt)) == 0 && len(pick(a, decision.SendHealthCheck)) == 3, "probes to the three holders: %v", a)
		quick := r.probed[1]
		if answers {
			r.show(decision.OK, func(id decision.NodeID) bool { return id == quick })
			a = r.step(5 * ms)
			must(t, len(pick(a, decision.SendAttempt)) == 1 && a[0].Node == quick, "sent to the one that answered: %v", a)
			r.endWhere(decision.OK, 0, nil)
			r.step(5 * ms)
			r.ask(0, 3*time.Second, 0)
			a = r.step(5 * ms)
			must(t, len(pick(a, decision.SendHealthCheck)) == 0 && len(pick(a, decision.SendAttempt)) == 1, "it was heard just now: %v", a)
			continue
		}
		for r.now < 5*ms+vouchWait {
			must(t, len(r.order) == 0, "sent at %v, before any holder answered", r.now)
			r.step(5 * ms)
		}
		must(t, len(r.order) == 1 && r.bad == "", "sent once it has waited: %s", r.bad)
	}
}

// In a ring each node is a cell of its own; one that leaves probes unanswered is avoided by all shards that it holds.
func TestRing(t *testing.T) {
	terms := smallTerms()
	terms.HealthChecksAllowed, terms.Cells, terms.CellsPerShard = true, 9, 3
	r := newRig(terms, 9)
	deaf := nodeID(4)
	for i := range 200 {
		r.ask(0, 3*time.Second, i%9, (i+1)%9)
		for range 4 {
			r.show(decision.TimedOut, func(id decision.NodeID) bool { return id == deaf })
			r.show(decision.OK, func(decision.NodeID) bool { return true })
			r.endWhere(decision.OK, 40*ms, nil)
			r.step(20 * ms)
		}
		r.step(500 * ms)
	}
	must(t, len(r.sends[deaf]) < len(r.sends[nodeID(7)])/4 && r.bad == "", "%d sent to a node that answers no probe, %d to another: %s",
		len(r.sends[deaf]), len(r.sends[nodeID(7)]), r.bad)
}

// A search that lacks more parts than the budget lets be sent again gets its answer at once, with a time to come back, and what is
// left of the budget goes to one that it can save.
func TestBeyondTheBudget(t *testing.T) {
	terms := smallTerms()
	terms.ExtraAttemptsMin, terms.ExtraAttemptsWindow = 2, 10*time.Second
	r := newRig(terms, 12)
	r.ask(0, 3*time.Second, 0, 1, 2, 3)
	r.step(5 * ms)
	for _, k := range r.order[:3] {
		r.end(k, decision.ConnectFailed)
	}
	a := r.step(5 * ms)
	shed := pick(a, decision.ShedQuery)
	must(t, len(shed) == 1 && shed[0].RetryAfter > 0 && len(pick(a, decision.SendAttempt)) == 0, "given up at once: %v", a)
	r.step(5 * ms)
	r.ask(0, 3*time.Second, 0, 1)
	r.step(5 * ms)
	for _, k := range r.order {
		r.end(k, decision.ConnectFailed)
	}
	must(t, len(pick(r.step(5*ms), decision.SendAttempt)) == 2 && r.bad == "", "the next one is sent again: %s", r.bad)
}

// The first of two steps ends early enough for the second, and the second is not refused.
func TestTwoStepsInTime(t *testing.T) {
	terms := smallTerms()
	terms.QueryTypes[1].SecondPhaseRequests = 2
	r := newRig(terms, 6)
	r.ask(1, 4*time.Second, 0, 1)
	r.step(0)
	r.end(r.order[0], decision.OK)
	early := r.l.desk.p95
	for len(pick(r.actions, decision.AnswerQuery)) == 0 && r.now < 3*time.Second {
		r.step(5 * ms)
	}
	must(t, r.now <= 2*time.Second-margin-early+5*ms, "the first step ended at %v", r.now)
	r.l.desk.slopes[0] = slope{of: float64(20 * time.Second), at: r.now}
	must(t, len(pick(r.step(5*ms), decision.SendAttempt)) == 2, "the second step is sent")
	r.endWhere(decision.OK, 0, nil)
	a := pick(r.step(5*ms), decision.AnswerQuery)
	must(t, len(a) == 1 && !a[0].Complete && r.bad == "", "its answer: %v %s", a, r.bad)
}

// A tokened part is copied while repeats of it are dropped, and not after.
func TestTokenedCopies(t *testing.T) {
	for _, window := range []time.Duration{time.Second, 100 * ms} {
		terms := smallTerms()
		terms.QueryTypes[0].Idempotency, terms.QueryTypes[0].IdempotencyWindow = decision.IdempotencyKeyed, window
		r := newRig(terms, 6)
		r.ask(0, 3*time.Second, 0)
		r.step(0)
		r.step(600 * ms)
		must(t, (len(r.order) == 2) == (window == time.Second) && r.bad == "", "%d out, window %v: %s", len(r.order), window, r.bad)
	}
}

// A budget that comes into force while searches run does not give its stated few beside what was sent before.
func TestBudgetComesIntoForce(t *testing.T) {
	terms := smallTerms()
	r := newRig(terms, 6)
	r.t.ExtraAttemptsMin, r.t.ExtraAttemptsWindow = 3, 2*time.Second
	r.l.Reconfigure(r.t, false)
	for i, want := range []int{0, 1} {
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
		for _, k := range r.order {
			r.end(k, decision.ConnectFailed)
		}
		n := len(pick(r.step(5*ms), decision.SendAttempt))
		must(t, n == want && r.bad == "", "search %d: %d sent further: %s", i, n, r.bad)
		r.step(2500 * ms)
	}
}

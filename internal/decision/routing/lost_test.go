package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Calls that a node swallowed while it hung tell nothing of it once it answers what it was sent after: it is neither shut as
// silent again, nor taken for slow or crowded.
func TestLostCallsAreForgiven(t *testing.T) {
	tm := smallTerms()
	tm.Cells = 1
	r := newRig(tm, 1)
	at := func() *seat { return &r.l.desk.board[0] }
	round := func() {
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
		r.step(20 * ms)
		k := r.order[len(r.order)-1] // the newest; what is older stays out
		r.end(k, decision.OK)
		r.step(5 * ms)
	}
	for range 40 {
		round()
	}
	for range 6 { // swallowed
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
	}
	r.step(600 * ms)
	must(t, at().mode < cold, "a node that swallows six parts is trusted")
	for range 40 {
		round()
		r.step(10 * ms)
	}
	lost := len(at().calls)
	must(t, at().mode == fit && at().slow == 1, "mode %v, counts as %v after it answered again", at().mode, at().slow)
	must(t, lost > 0 && len(at().owed()) == 0, "%d calls out, %d owed", lost, len(at().owed()))
	must(t, r.l.desk.wait(&part{}, 0) < float64(200*ms), "expected wait %v", time.Duration(r.l.desk.wait(&part{}, 0)))
	must(t, r.bad == "", "%s", r.bad)
}

// Where there is a budget its count begins with the broker's start, and it is kept from the first part on.
func TestBudgetFromTheStart(t *testing.T) {
	tm := smallTerms()
	tm.ExtraAttemptsMin, tm.ExtraAttemptsShare, tm.ExtraAttemptsWindow = 1, 0.1, 2*time.Second
	r := newRig(tm, 4)
	for i, want := range []int{1, 0} {
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
		must(t, len(r.order) == 1, "search %d: %d parts out", i, len(r.order))
		r.end(r.order[0], decision.ConnectFailed)
		r.step(5 * ms)
		must(t, len(r.out) == want && r.bad == "", "search %d: %d sent further: %s", i, len(r.out), r.bad)
		for _, k := range r.order {
			r.end(k, decision.OK)
		}
		r.step(5 * ms)
	}
}

package release

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// simulatedTier is a tier in virtual time: brokers serve queries, report, go out with their permits, and return two seconds later.
type simulatedTier struct {
	t                 *testing.T
	rng               *rand.Rand
	state             *statemachine.State
	planner           *Planner
	term              uint64
	now               time.Duration
	sequence          uint64
	brokers           []*simulatedBroker
	queryRate         float64 // queries per second and broker
	extraFailureRate  float64 // additional share of queries that the new version fails
	commonFailureRate float64 // share of queries that every broker currently fails in addition
	naiveAlarm        bool    // the test that assumes independent queries and ignores repeated checks would have raised an alarm
	maxOut            int     // most brokers out at once so far
	leftCount         map[[2]uint64]int
	firstBadAt        time.Duration // when a broker of the new version first served
	evidenceAt        time.Duration // when a gate would first have failed, had it checked in each step
	haltedAt          time.Duration
	proposals         int
}

type simulatedBroker struct {
	slot        statemachine.Slot
	incarnation uint64
	version     string
	failureRate float64 // share of queries that it always fails, regardless of version
	counts      Counts
	returnsAt   time.Duration // when it returns; 0: it is not out
}

func newSimulatedTier(t *testing.T, seed uint64, brokers int, queryRate, extraFailures float64) *simulatedTier {
	w := &simulatedTier{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), state: statemachine.New(),
		queryRate: queryRate, extraFailureRate: extraFailures, leftCount: map[[2]uint64]int{},
	}
	for i := range brokers {
		b := &simulatedBroker{slot: statemachine.Slot(i), version: "1", failureRate: 0.004 * w.rng.ExpFloat64()}
		w.brokers = append(w.brokers, b)
		w.join(b)
	}
	w.elect()
	return w
}

func (w *simulatedTier) apply(e statemachine.Entry) statemachine.Result {
	w.sequence++
	id := statemachine.ProposalID{Slot: 0, Incarnation: 1, Sequence: w.sequence}
	return w.state.Apply(w.state.AppliedIndex()+1, statemachine.Encode(id, e))
}

func (w *simulatedTier) join(b *simulatedBroker) {
	b.incarnation, b.returnsAt, b.counts = b.incarnation+1, 0, Counts{}
	zone := fmt.Sprint("z", b.slot%3)
	w.apply(&statemachine.RegisterBroker{Slot: b.slot, Name: fmt.Sprint("b", b.slot), Incarnation: b.incarnation,
		Version: b.version, Zone: zone, Protocol: 1})
	w.apply(&statemachine.ReturnToService{Slot: b.slot, Incarnation: b.incarnation})
}

func (w *simulatedTier) elect() {
	w.term++
	w.apply(&statemachine.LeaderElected{Slot: 0, Term: w.term})
	settings := Defaults()
	w.planner = NewPlanner(settings, w.term, w.now)
}

func (w *simulatedTier) plan(maxOut uint32) uint64 {
	return w.apply(&statemachine.ReleasePlan{Name: "r", From: "1", To: "2", Slots: InterleaveZones(w.state.Brokers()),
		Batches: DefaultBatches(len(w.brokers)), MaxOut: maxOut, PauseMS: 5000}).Number
}

// drawFailures draws how many of n queries fail.
func (w *simulatedTier) drawFailures(n, share float64) uint64 {
	mean, sd := n*share, math.Sqrt(n*share*(1-share))
	if mean > 30 {
		return uint64(max(0, min(n, math.Round(mean+sd*w.rng.NormFloat64()))))
	}
	k, p, u := 0, math.Exp(-mean), w.rng.Float64() // Poisson
	for ; u > p && k < 100; k++ {
		u -= p
		p *= mean / float64(k+1)
	}
	return uint64(min(n, float64(k)))
}

// step advances the simulation by a quarter of a second.
func (w *simulatedTier) step() {
	w.now += 250 * time.Millisecond
	if w.rng.IntN(40) == 0 {
		w.commonFailureRate = []float64{0, 0, 0.02, 0.1}[w.rng.IntN(4)]
	}
	out := 0
	for _, b := range w.brokers {
		if b.returnsAt > 0 {
			if out++; w.now >= b.returnsAt {
				w.join(b)
			}
			continue
		}
		share := b.failureRate + w.commonFailureRate
		if b.version == "2" {
			if share += w.extraFailureRate; w.firstBadAt == 0 {
				w.firstBadAt = w.now
			}
		}
		share += 0.002 * w.rng.ExpFloat64() // temporary noise
		n := math.Round(w.queryRate / 4 * (0.8 + 0.4*w.rng.Float64()))
		x := w.drawFailures(n, min(1, share))
		b.counts.Queries += uint64(n)
		b.counts.Bad[MetricFailed] += x
		b.counts.Bad[MetricUnserved] += x
		w.planner.RecordReport(Report{Target: Target{Slot: b.slot}, Incarnation: b.incarnation,
			Zone: fmt.Sprint("z", b.slot%3), Classes: []Counts{b.counts}}, w.now)
		if permit, ok := w.state.BrokerPermit(b.slot); ok && !permit.Used {
			if r := w.apply(&statemachine.UsePermit{Permit: permit.Number, Slot: b.slot, Incarnation: b.incarnation}); r.Err == nil {
				release, _ := w.state.Release()
				w.leftCount[[2]uint64{permit.Release, uint64(b.slot)}]++
				b.version, b.returnsAt = release.To, w.now+2*time.Second
				out++
			}
		}
	}
	w.maxOut = max(w.maxOut, out)
	w.naiveAlarm = w.naiveAlarm || w.planner.naiveTestFails()
	entries, _ := w.planner.NextEntries(w.state, w.now)
	if w.evidenceAt == 0 && (w.planner.FailedGate() != nil || w.planner.anyGateWouldFail()) {
		w.evidenceAt = w.now
	}
	for _, e := range entries {
		w.proposals++
		w.apply(e)
	}
	if r, _ := w.state.Release(); r.State == statemachine.ReleaseHalted && w.haltedAt == 0 {
		w.haltedAt = w.now
	}
}

// anyGateWouldFail reports whether a gate would fail if checked now, by the threshold of its next check.
func (p *Planner) anyGateWouldFail() bool {
	for _, g := range p.groups {
		for m := range metricCount {
			c := *g
			c.queriesAtCheck = [metricCount]float64{}
			if _, fails := c.check(m, p.settings.Tolerance, p.settings.FalseAlarmRate/float64(len(p.groups)*int(metricCount))); fails {
				return true
			}
		}
	}
	return false
}

// naiveTestFails reports whether a plain test of two proportions fails at the level of one in a thousand. It assumes independent queries and
// ignores repeated checks, so it must raise false alarms.
func (p *Planner) naiveTestFails() bool {
	var totalQueries, totalBad, expected, variance float64
	for _, g := range p.groups[:min(1, len(p.groups))] {
		for _, t := range g.samples[MetricUnserved] {
			if t.side == sideReleased {
				totalQueries, totalBad, expected, variance = totalQueries+t.queries, totalBad+t.bad, expected+t.expected, variance+t.variance
			}
		}
	}
	return totalQueries > 0 && totalBad-expected > 3.1*math.Sqrt(variance)
}

func (w *simulatedTier) run(limit time.Duration) statemachine.Release {
	for end := w.now + limit; w.now < end; {
		w.step()
		if r, _ := w.state.Release(); r.State != statemachine.ReleaseRunning {
			return r
		}
	}
	r, _ := w.state.Release()
	return r
}

func (w *simulatedTier) affected(r statemachine.Release) (n int) {
	for _, x := range r.Steps {
		if x.Affected {
			n++
		}
	}
	return n
}

func (w *simulatedTier) checkLimits(most int) {
	w.t.Helper()
	if w.maxOut > most {
		w.t.Errorf("too many brokers out at once: %d", w.maxOut)
	}
	for k, n := range w.leftCount {
		if n > 1 {
			w.t.Errorf("broker %d went out %d times in release %d", k[1], n, k[0])
		}
	}
}

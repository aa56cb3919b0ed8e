package release

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// world is a tier in virtual time: what the planner proposes is applied a little later, brokers that may go are away for a while.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	s        *statemachine.State
	p        *Planner
	term     uint64
	now      time.Duration
	seq      uint64
	brokers  []*sim
	rate     float64 // searches of a broker in a second
	worse    float64 // share that the new version fails on top
	weather  float64 // what fails everywhere just now
	naive    bool    // searches taken for independent throws, and no account of looks, would have raised an alarm
	most     int     // were out at once
	goes     map[[2]uint64]int
	first    time.Duration // when a broker of the new version first failed on top
	enough   time.Duration // when a gate, had it looked in each window, would have failed first
	haltedAt time.Duration
	propose  int
}

type sim struct {
	slot        statemachine.Slot
	incarnation uint64
	version     string
	own         float64 // what it fails by itself, for good
	counts      Counts
	back        time.Duration // when it comes back; 0: it is there
}

func newWorld(t *testing.T, seed uint64, brokers int, rate, worse float64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), s: statemachine.New(), rate: rate, worse: worse, goes: map[[2]uint64]int{}}
	for i := range brokers {
		b := &sim{slot: statemachine.Slot(i), version: "1", own: 0.004 * w.rng.ExpFloat64()}
		w.brokers = append(w.brokers, b)
		w.join(b)
	}
	w.lead()
	return w
}

func (w *world) apply(e statemachine.Entry) statemachine.Result {
	w.seq++
	return w.s.Apply(w.s.AppliedIndex()+1, statemachine.Encode(statemachine.ProposalID{Slot: 0, Incarnation: 1, Sequence: w.seq}, e))
}

func (w *world) join(b *sim) {
	b.incarnation, b.back, b.counts = b.incarnation+1, 0, Counts{}
	zone := fmt.Sprint("z", b.slot%3)
	w.apply(&statemachine.RegisterBroker{Slot: b.slot, Name: fmt.Sprint("b", b.slot), Incarnation: b.incarnation,
		Version: b.version, Zone: zone, Protocol: 1})
	w.apply(&statemachine.ReturnToService{Slot: b.slot, Incarnation: b.incarnation})
}

func (w *world) lead() {
	w.term++
	w.apply(&statemachine.LeaderElected{Slot: 0, Term: w.term})
	set := Defaults()
	w.p = NewPlanner(set, w.term, w.now)
}

func (w *world) plan(most uint32) uint64 {
	return w.apply(&statemachine.ReleasePlan{Name: "r", From: "1", To: "2", Slots: OrderByZone(w.s.Brokers()),
		Batches: DefaultBatches(len(w.brokers)), MaxOut: most, PauseMS: 5000}).Number
}

// some draws how many of n go wrong.
func (w *world) some(n, share float64) uint64 {
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

// step is a quarter of a second.
func (w *world) step() {
	w.now += 250 * time.Millisecond
	if w.rng.IntN(40) == 0 {
		w.weather = []float64{0, 0, 0.02, 0.1}[w.rng.IntN(4)]
	}
	out := 0
	for _, b := range w.brokers {
		if b.back > 0 {
			if out++; w.now >= b.back {
				w.join(b)
			}
			continue
		}
		share := b.own + w.weather
		if b.version == "2" {
			if share += w.worse; w.first == 0 {
				w.first = w.now
			}
		}
		share += 0.002 * w.rng.ExpFloat64() // noise that comes and goes
		n := math.Round(w.rate / 4 * (0.8 + 0.4*w.rng.Float64()))
		x := w.some(n, min(1, share))
		b.counts.Queries += uint64(n)
		b.counts.Bad[MetricFailed] += x
		b.counts.Bad[MetricUnserved] += x
		w.p.RecordReport(Report{Target: Target{Slot: b.slot}, Incarnation: b.incarnation,
			Zone: fmt.Sprint("z", b.slot%3), Classes: []Counts{b.counts}}, w.now)
		if pass, ok := w.s.BrokerPermit(b.slot); ok && !pass.Used {
			if r := w.apply(&statemachine.UsePermit{Permit: pass.Number, Slot: b.slot, Incarnation: b.incarnation}); r.Err == nil {
				release, _ := w.s.Release()
				w.goes[[2]uint64{pass.Release, uint64(b.slot)}]++
				b.version, b.back = release.To, w.now+2*time.Second
				out++
			}
		}
	}
	w.most = max(w.most, out)
	w.naive = w.naive || w.p.throws()
	all, _ := w.p.NextEntries(w.s, w.now)
	if w.enough == 0 && (w.p.FailedGate() != nil || w.p.enough()) {
		w.enough = w.now
	}
	for _, e := range all {
		w.propose++
		w.apply(e)
	}
	if r, _ := w.s.Release(); r.State == statemachine.ReleaseHalted && w.haltedAt == 0 {
		w.haltedAt = w.now
	}
}

// enough tells whether some gate would fail if it looked now, by the threshold of its next look.
func (p *Planner) enough() bool {
	for _, g := range p.groups {
		for m := range metrics {
			c := *g
			c.looked = [metrics]float64{}
			if _, fails := c.look(m, p.set.Tolerance, p.set.FalseAlarmRate/float64(len(p.groups)*int(metrics))); fails {
				return true
			}
		}
	}
	return false
}

// throws is the planted fault: the usual test of two shares, at one in a thousand, at each look.
func (p *Planner) throws() bool {
	var asked, wrong, expected, variance float64
	for _, g := range p.groups[:min(1, len(p.groups))] {
		for _, t := range g.tallies[MetricUnserved] {
			if t.side == after {
				asked, wrong, expected, variance = asked+t.asked, wrong+t.wrong, expected+t.expected, variance+t.variance
			}
		}
	}
	return asked > 0 && wrong-expected > 3.1*math.Sqrt(variance)
}

func (w *world) run(most time.Duration) statemachine.Release {
	for end := w.now + most; w.now < end; {
		w.step()
		if r, _ := w.s.Release(); r.State != statemachine.ReleaseRunning {
			return r
		}
	}
	r, _ := w.s.Release()
	return r
}

func (w *world) touched(r statemachine.Release) (n int) {
	for _, x := range r.Steps {
		if x.Affected {
			n++
		}
	}
	return n
}

func (w *world) check(most int) {
	w.t.Helper()
	if w.most > most {
		w.t.Errorf("%d out at once", w.most)
	}
	for k, n := range w.goes {
		if n > 1 {
			w.t.Errorf("broker %d went %d times in release %d", k[1], n, k[0])
		}
	}
}

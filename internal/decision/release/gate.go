package release

import (
	"fmt"
	"math"
)

// releaseSide is on which side of a comparison a target is.
type releaseSide uint8

const (
	sideExcluded releaseSide = iota
	sideControl              // not yet released
	sideReleased
)

// sample is what one target showed in one group, for one metric.
type sample struct {
	side     releaseSide
	queries  float64
	bad      float64
	expected float64 // by the rate that the controls had at the same time
	variance float64 // of chance alone
}

// allClasses is the class of a group that has all of them.
const allClasses = -1

// group is a part of the queries that is compared by itself: all, a class, or a zone.
type group struct {
	name                string
	class               int                    // allClasses: all
	zone                string                 // "": all
	samples             [metricCount][]*sample // in the order they came: sums of floats must not depend on that of a map
	sampleOf            [metricCount]map[Target]*sample
	expectationVariance [metricCount]float64 // of what is expected of all the released together, as the controls are finite too
	looks               [metricCount]float64 // checks so far
	queriesAtLook       [metricCount]float64 // queries of the released at the last check
}

// growth is what a target's counts grew by in a window.
type growth struct {
	Target
	zone    string
	side    releaseSide
	classes []Counts
}

// countsOf is a target's growth in a group, for a metric.
func (w *growth) countsOf(g *group, m Metric) (queries, bad float64) {
	if g.zone != "" && g.zone != w.zone {
		return 0, 0
	}
	for i := range w.classes {
		if g.class == allClasses || g.class == i {
			queries += float64(w.classes[i].Queries)
			bad += float64(w.classes[i].Bad[m])
		}
	}
	return queries, bad
}

// addWindow adds what each target's counts grew by in the same time. Something outside (a node dies, load doubles) makes all
// brokers fail more for a while; the released are held against the controls of the same window, so that this cancels.
func (g *group) addWindow(window []growth, minControls int) {
	for m := range metricCount {
		g.addMetric(window, m, minControls)
	}
}

func (g *group) addMetric(window []growth, m Metric, minControls int) {
	var queries, bad float64
	controls := 0
	for i := range window {
		n, x := window[i].countsOf(g, m)
		if window[i].side == sideControl && n > 0 {
			queries += n
			bad += x
			controls++
		}
	}
	if controls < minControls {
		return
	}
	rate := (bad + 0.5) / (queries + 1)
	released := 0.0
	for i := range window {
		w := &window[i]
		n, x := w.countsOf(g, m)
		if n == 0 || w.side == sideExcluded {
			continue
		}
		g.sampleFor(w, m).add(n, x, rate)
		if w.side == sideReleased {
			released += n
		}
	}
	g.expectationVariance[m] += released * released * rate * (1 - rate) / queries
}

// sampleFor is a target's sample; one that goes over to the released starts anew.
func (g *group) sampleFor(w *growth, m Metric) *sample {
	if g.sampleOf[m] == nil {
		g.sampleOf[m] = map[Target]*sample{}
	}
	s := g.sampleOf[m][w.Target]
	if s == nil {
		s = &sample{}
		g.sampleOf[m][w.Target] = s
		g.samples[m] = append(g.samples[m], s)
	}
	if s.side != w.side {
		*s = sample{side: w.side}
	}
	return s
}

func (s *sample) add(queries, bad, rate float64) {
	s.queries += queries
	s.bad += bad
	s.expected += queries * rate
	s.variance += queries * rate * (1 - rate)
}

// GateResult is what a gate found.
type GateResult struct {
	Group          string
	Metric         Metric  // not set by check: MetricUnserved in every result
	Queries        float64 // of the released
	Bad            float64
	Expected       float64 // by the controls, at the same time
	Overdispersion float64 // how many times as much as chance alone the brokers differ
	Evidence       float64 // in nats
	Needed         float64 // evidence at which the gate fails
}

// String is the result as the reason of a halt tells it.
func (v GateResult) String() string {
	return fmt.Sprintf("%s: of %.0f searches %.0f %v, expected %.1f by those not yet released; evidence %.1f, %.1f needed, spread %.1f",
		v.Group, v.Queries, v.Bad, v.Metric, v.Expected, v.Evidence, v.Needed, v.Overdispersion)
}

// excess is by how much the evidence is over what is needed.
func (v *GateResult) excess() float64 { return v.Evidence - v.Needed }

// sums are over the samples of a metric.
type sums struct {
	squares      float64 // of the controls' distances from what was expected
	chance       float64 // variance of the controls by chance alone
	sizes        float64 // squares of the controls' queries
	controls     float64
	queries      float64 // of the controls
	variance     float64 // of the released by chance alone
	releasedSize float64 // squares of the released's queries
}

func (g *group) sum(m Metric) (s sums, v GateResult) {
	v.Group = g.name
	for _, t := range g.samples[m] {
		if t.side == sideControl {
			distance := t.bad - t.expected
			s.squares += distance * distance
			s.chance += t.variance
			s.sizes += t.queries * t.queries
			s.controls++
			s.queries += t.queries
			continue
		}
		v.Queries += t.queries
		v.Bad += t.bad
		v.Expected += t.expected
		s.variance += t.variance
		s.releasedSize += t.queries * t.queries
	}
	return s, v
}

const (
	lookGrowth            = 1.25 // a check is made when there is a quarter more to look at
	fewControlsCorrection = 4    // few controls tell less surely how much they differ
	minOverdispersion     = 1e-9 // keeps the evidence finite
)

// check holds what is released against what was expected. Brokers differ by more than chance, for reasons of their own, so that a
// thousand queries of three brokers are not a thousand independent ones; how much they do is estimated from the controls, in both
// forms that it has (noise that comes and goes, and brokers that are worse for good), and the greater counts. Who checks often
// enough finds what chance makes: the k-th check may raise a false alarm with a share of 1/k(k+1) of what all together may.
func (g *group) check(m Metric, tolerance, falseAlarmRate float64) (v GateResult, fails bool) {
	s, v := g.sum(m)
	if v.Queries < lookGrowth*g.queriesAtLook[m] || v.Queries == 0 || s.chance == 0 {
		return v, false
	}
	g.queriesAtLook[m] = v.Queries
	g.looks[m]++
	v.Needed = math.Log(g.looks[m] * (g.looks[m] + 1) / falseAlarmRate)
	variance := s.totalVariance(v.Queries, g.expectationVariance[m])
	v.Overdispersion = variance / s.variance
	expected := v.Expected + tolerance*v.Queries
	if v.Bad <= expected {
		return v, false
	}
	// Chernoff's bound of a Poisson count's tail, with the overdispersion in place of its variance: it holds for few and for many.
	ratio := v.Bad / expected
	v.Evidence = expected * (ratio*math.Log(ratio) - ratio + 1) / max(variance/expected, minOverdispersion)
	return v, v.Evidence >= v.Needed
}

// totalVariance is that of the released's bad queries, by the greater of two estimates of how much brokers differ.
func (s *sums) totalVariance(released, expectationVariance float64) float64 {
	squares := s.squares * (1 + fewControlsCorrection/s.controls)
	noisy := (s.variance + expectationVariance) * max(1, squares/s.chance)
	// How much brokers differ for good; the controls may be better ones by chance.
	perBroker := max(0, squares-s.chance) / s.sizes
	worse := s.variance + expectationVariance + perBroker*(s.releasedSize+released*released*s.sizes/(s.queries*s.queries))
	return max(noisy, worse)
}

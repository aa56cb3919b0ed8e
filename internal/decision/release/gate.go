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
	sampleByTarget      [metricCount]map[Target]*sample
	expectationVariance [metricCount]float64 // of what is expected of all the released together, as the controls are finite too
	checks              [metricCount]float64 // checks so far
	queriesAtCheck      [metricCount]float64 // queries of the released at the last check
}

// windowCounts is what a target's counts grew by in a window.
type windowCounts struct {
	Target
	zone    string
	side    releaseSide
	classes []Counts
}

// countsOf is a target's growth in a group, for a metric.
func (w *windowCounts) countsOf(g *group, m Metric) (queries, bad float64) {
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
func (g *group) addWindow(window []windowCounts, minControls int) {
	for m := range metricCount {
		g.addMetric(window, m, minControls)
	}
}

func (g *group) addMetric(window []windowCounts, m Metric, minControls int) {
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
	releasedQueries := 0.0
	for i := range window {
		w := &window[i]
		n, x := w.countsOf(g, m)
		if n == 0 || w.side == sideExcluded {
			continue
		}
		g.sampleFor(w, m).add(n, x, rate)
		if w.side == sideReleased {
			releasedQueries += n
		}
	}
	g.expectationVariance[m] += releasedQueries * releasedQueries * rate * (1 - rate) / queries
}

// sampleFor is a target's sample; one that goes over to the released starts anew.
func (g *group) sampleFor(w *windowCounts, m Metric) *sample {
	if g.sampleByTarget[m] == nil {
		g.sampleByTarget[m] = map[Target]*sample{}
	}
	s := g.sampleByTarget[m][w.Target]
	if s == nil {
		s = &sample{}
		g.sampleByTarget[m][w.Target] = s
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

// evidenceExcess is by how much the evidence is over what is needed.
func (v *GateResult) evidenceExcess() float64 { return v.Evidence - v.Needed }

// sums are over the samples of a metric.
type sums struct {
	squaredDeviations      float64 // of the controls' distances from what was expected
	chanceVariance         float64 // variance of the controls by chance alone
	squaredQueries         float64 // squares of the controls' queries
	controls               float64
	controlQueries         float64 // of the controls
	releasedVariance       float64 // of the released by chance alone
	releasedSquaredQueries float64 // squares of the released's queries
}

func (g *group) sum(m Metric) (s sums, v GateResult) {
	v.Group = g.name
	for _, t := range g.samples[m] {
		if t.side == sideControl {
			deviation := t.bad - t.expected
			s.squaredDeviations += deviation * deviation
			s.chanceVariance += t.variance
			s.squaredQueries += t.queries * t.queries
			s.controls++
			s.controlQueries += t.queries
			continue
		}
		v.Queries += t.queries
		v.Bad += t.bad
		v.Expected += t.expected
		s.releasedVariance += t.variance
		s.releasedSquaredQueries += t.queries * t.queries
	}
	return s, v
}

const (
	minGrowthToCheck      = 1.25 // a check is made when there is a quarter more to look at
	fewControlsCorrection = 4    // few controls tell less surely how much they differ
	minOverdispersion     = 1e-9 // keeps the evidence finite
)

// check holds what is released against what was expected. Brokers differ by more than chance, for reasons of their own, so that a
// thousand queries of three brokers are not a thousand independent ones; how much they do is estimated from the controls, in both
// forms that it has (noise that comes and goes, and brokers that are worse for good), and the greater counts. Who checks often
// enough finds what chance makes: the k-th check may raise a false alarm with a share of 1/k(k+1) of what all together may.
func (g *group) check(m Metric, tolerance, falseAlarmRate float64) (v GateResult, fails bool) {
	s, v := g.sum(m)
	if v.Queries < minGrowthToCheck*g.queriesAtCheck[m] || v.Queries == 0 || s.chanceVariance == 0 {
		return v, false
	}
	g.queriesAtCheck[m] = v.Queries
	g.checks[m]++
	v.Needed = math.Log(g.checks[m] * (g.checks[m] + 1) / falseAlarmRate)
	variance := s.totalVariance(v.Queries, g.expectationVariance[m])
	v.Overdispersion = variance / s.releasedVariance
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
	correctedDeviations := s.squaredDeviations * (1 + fewControlsCorrection/s.controls)
	byNoise := (s.releasedVariance + expectationVariance) * max(1, correctedDeviations/s.chanceVariance)
	// How much brokers differ for good; the controls may be better ones by chance.
	variancePerBroker := max(0, correctedDeviations-s.chanceVariance) / s.squaredQueries
	byLastingDifference := s.releasedVariance + expectationVariance + variancePerBroker*(s.releasedSquaredQueries+released*released*s.squaredQueries/(s.controlQueries*s.controlQueries))
	return max(byNoise, byLastingDifference)
}

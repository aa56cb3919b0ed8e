package release

import (
	"fmt"
	"math"
)

// releaseSide is the side of the comparison on which a target is.
type releaseSide uint8

const (
	sideExcluded releaseSide = iota // had the target version before the release
	sideControl                     // not released yet
	sideReleased
)

// sample is the evidence of one target in one group, for one metric.
type sample struct {
	side     releaseSide
	queries  float64
	bad      float64
	expected float64 // bad queries, by the rate of the controls in the same windows
	variance float64 // of the bad queries, by chance alone
}

// allClasses is the class value of a group that includes all classes.
const allClasses = -1

// group is a part of the queries that is compared separately: all, those of a class, or those of a zone.
type group struct {
	name                string
	class               int                    // or allClasses
	zone                string                 // "": all zones
	samples             [metricCount][]*sample // in order of arrival, as sums of floats must not depend on the order of a map
	sampleByTarget      [metricCount]map[Target]*sample
	expectationVariance [metricCount]float64 // of the expected bad queries of all released targets, as the rate of finitely many controls is inexact
	checks              [metricCount]float64 // number of checks so far
	queriesAtCheck      [metricCount]float64 // queries of the released targets at the last check
}

// windowCounts is the growth of a target's counts in a window.
type windowCounts struct {
	Target
	zone    string
	side    releaseSide
	classes []Counts
}

// countsOf returns the queries in a group, and those that went wrong by a metric.
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

// addWindow adds the counts of all targets in one window. An outside cause (a node fails, load doubles) makes all brokers fail more for a
// while; comparing released targets with the controls of the same window cancels this out.
func (g *group) addWindow(window []windowCounts, minControls int) {
	for m := range metricCount {
		g.addMetric(window, m, minControls)
	}
}

// addMetric adds a window to the evidence of one metric, unless fewer than minControls controls had queries.
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

// sampleFor returns a target's sample. It resets the sample of a target that has changed sides.
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

// GateResult is the result of a check of one gate.
type GateResult struct {
	Group          string
	Metric         Metric  // not set by group.check, so MetricUnserved in every result
	Queries        float64 // of the released targets
	Bad            float64
	Expected       float64 // bad queries, by the rate of the controls in the same windows
	Overdispersion float64 // variance between brokers, as a multiple of that by chance alone
	Evidence       float64 // in nats
	Needed         float64 // evidence at which the gate fails, in nats
}

// String returns the result as the reason of a halt gives it. Its words are older ones (searches are queries), as log entries contain them.
func (v GateResult) String() string {
	return fmt.Sprintf("%s: of %.0f searches %.0f %v, expected %.1f by those not yet released; evidence %.1f, %.1f needed, spread %.1f",
		v.Group, v.Queries, v.Bad, v.Metric, v.Expected, v.Evidence, v.Needed, v.Overdispersion)
}

// evidenceExcess returns by how much the evidence exceeds what is needed.
func (v *GateResult) evidenceExcess() float64 { return v.Evidence - v.Needed }

// sums are sums over the samples of a metric.
type sums struct {
	squaredDeviations      float64 // squares of the controls' deviations from their expected bad queries
	chanceVariance         float64 // variance of the controls, by chance alone
	squaredQueries         float64 // squares of the controls' queries
	controls               float64
	queries                float64 // queries of the controls
	variance               float64 // variance of the released targets, by chance alone
	releasedSquaredQueries float64 // squares of the released targets' queries
}

// sum returns the sums over the samples of a metric, and a result with the totals of the released targets.
func (g *group) sum(m Metric) (s sums, v GateResult) {
	v.Group = g.name
	for _, sample := range g.samples[m] {
		if sample.side == sideControl {
			deviation := sample.bad - sample.expected
			s.squaredDeviations += deviation * deviation
			s.chanceVariance += sample.variance
			s.squaredQueries += sample.queries * sample.queries
			s.controls++
			s.queries += sample.queries
			continue
		}
		v.Queries += sample.queries
		v.Bad += sample.bad
		v.Expected += sample.expected
		s.variance += sample.variance
		s.releasedSquaredQueries += sample.queries * sample.queries
	}
	return s, v
}

const (
	minGrowthToCheck      = 1.25 // a check is made once there are a quarter more queries than at the last
	fewControlsCorrection = 4    // few controls give a less certain estimate of how much they differ
	minOverdispersion     = 1e-9 // keeps the evidence finite
)

// check compares the bad queries of the released targets with the expected ones. Brokers differ by more than chance, so a thousand queries
// of three brokers are not a thousand independent samples. How much brokers differ is estimated from the controls in two ways (as
// temporary noise, and as lasting differences between brokers), and the greater estimate is used. Since repeated checks would eventually
// find a difference by chance, the k-th check may use only 1/(k(k+1)) of the rate of false alarms that all checks together may have.
func (g *group) check(m Metric, tolerance, falseAlarmRate float64) (v GateResult, fails bool) {
	s, v := g.sum(m)
	if v.Queries < minGrowthToCheck*g.queriesAtCheck[m] || v.Queries == 0 || s.chanceVariance == 0 {
		return v, false
	}
	g.queriesAtCheck[m] = v.Queries
	g.checks[m]++
	v.Needed = math.Log(g.checks[m] * (g.checks[m] + 1) / falseAlarmRate)
	variance := s.totalVariance(v.Queries, g.expectationVariance[m])
	v.Overdispersion = variance / s.variance
	expected := v.Expected + tolerance*v.Queries
	if v.Bad <= expected {
		return v, false
	}
	// The Chernoff bound of a Poisson count's tail, scaled by the overdispersion; it is valid for small and for large counts.
	ratio := v.Bad / expected
	v.Evidence = expected * (ratio*math.Log(ratio) - ratio + 1) / max(variance/expected, minOverdispersion)
	return v, v.Evidence >= v.Needed
}

// totalVariance returns the variance of the released targets' bad queries, by the greater of two estimates of how much brokers differ.
func (s *sums) totalVariance(released, expectationVariance float64) float64 {
	squaredDeviations := s.squaredDeviations * (1 + fewControlsCorrection/s.controls)
	noise := (s.variance + expectationVariance) * max(1, squaredDeviations/s.chanceVariance)
	// Lasting differences between brokers; the controls may be the better brokers by chance.
	variancePerBroker := max(0, squaredDeviations-s.chanceVariance) / s.squaredQueries
	lasting := s.variance + expectationVariance +
		variancePerBroker*(s.releasedSquaredQueries+released*released*s.squaredQueries/(s.queries*s.queries))
	return max(noise, lasting)
}

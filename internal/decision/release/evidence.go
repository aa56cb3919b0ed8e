package release

import (
	"fmt"
	"math"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// Metric is a way in which a search goes wrong.
type Metric uint8

const (
	MetricUnserved Metric = iota // whatever the cause
	MetricRejected
	MetricFailed
	MetricLate
	MetricSentToWarmingUp // sent to a node that was still cold
	metrics
)

func (m Metric) String() string {
	return [...]string{"unserved", "refused", "failed", "late", "sent to cold nodes"}[min(m, MetricSentToWarmingUp)]
}

// Counts is what became of searches of a class at a broker, or at a node, since it started.
type Counts struct {
	Queries uint64
	Bad     [metrics]uint64
}

// Target is a broker or a node.
type Target struct {
	Slot    statemachine.Slot
	ForNode bool
	Node    statemachine.NodeID
}

// Report is what one target counted.
type Report struct {
	Target
	Incarnation uint64 // counts are since its start
	Zone        string
	Classes     []Counts
}

// source is a target's counts as evidence takes them.
type source struct {
	last, mark Report
	heard      time.Duration
	fresh      bool // since the mark
}

// side says on which side of a comparison a target is.
type side uint8

const (
	neither side = iota
	before       // not yet released
	after        // released
)

// tally is what one target showed in one group, for one metric.
type tally struct {
	side     side
	asked    float64
	wrong    float64
	expected float64 // by the rate that those not yet released had at the same time
	variance float64 // of chance alone
}

// group is a slice of the searches that is compared by itself: all, a class, or a zone.
type group struct {
	name    string
	class   int               // -1: all
	zone    string            // "": all
	tallies [metrics][]*tally // in the order they came: sums of floats must not depend on that of a map
	places  [metrics]map[Target]*tally
	unsure  [metrics]float64 // variance of what was expected of all the released together, as those not yet released are finite too
	looks   [metrics]float64
	looked  [metrics]float64 // what was asked of the released when it was last looked at
}

// add takes one window: what each target's counts grew by in the same time. Danger: something outside (a node dies, load doubles)
// makes all brokers fail more for a while; what is released is held against what is not in the same window, so that this cancels.
func (g *group) add(window []grown, fewest int) {
	for m := range metrics {
		var asked, wrong float64
		controls, released := 0, 0.0
		for _, w := range window {
			n, x := w.in(g, m)
			if w.side == before && n > 0 {
				asked, wrong, controls = asked+n, wrong+x, controls+1
			}
		}
		if controls < fewest {
			continue
		}
		rate := (wrong + 0.5) / (asked + 1)
		if g.places[m] == nil {
			g.places[m] = map[Target]*tally{}
		}
		for _, w := range window {
			n, x := w.in(g, m)
			if n == 0 || w.side == neither {
				continue
			}
			t := g.places[m][w.Target]
			if t == nil {
				t = &tally{}
				g.places[m][w.Target], g.tallies[m] = t, append(g.tallies[m], t)
			}
			if t.side != w.side { // one that goes over to the released starts anew
				*t = tally{side: w.side}
			}
			t.asked, t.wrong, t.expected = t.asked+n, t.wrong+x, t.expected+n*rate
			t.variance += n * rate * (1 - rate)
			if w.side == after {
				released += n
			}
		}
		g.unsure[m] += released * released * rate * (1 - rate) / asked
	}
}

// grown is what a target's counts grew by in a window.
type grown struct {
	Target
	zone    string
	side    side
	classes []Counts
}

func (w *grown) in(g *group, m Metric) (asked, wrong float64) {
	if g.zone != "" && g.zone != w.zone {
		return 0, 0
	}
	for i := range w.classes {
		if g.class < 0 || g.class == i {
			asked += float64(w.classes[i].Queries)
			wrong += float64(w.classes[i].Bad[m])
		}
	}
	return asked, wrong
}

// GateResult is what a gate found.
type GateResult struct {
	Group          string
	Metric         Metric
	Queries        float64 // of the released
	Bad            float64
	Expected       float64 // by those not yet released, at the same time
	Overdispersion float64 // how many times as much as chance alone the brokers differ
	Evidence       float64 // the evidence
	Needed         float64
}

func (v GateResult) String() string {
	return fmt.Sprintf("%s: of %.0f searches %.0f %v, expected %.1f by those not yet released; evidence %.1f, %.1f needed, spread %.1f",
		v.Group, v.Queries, v.Bad, v.Metric, v.Expected, v.Evidence, v.Needed, v.Overdispersion)
}

// look holds what is released against what was expected. Danger: brokers differ by more than chance, for reasons of their own, so
// that a thousand searches of three brokers are not a thousand throws; how much they do is estimated from those not yet
// released, in both forms that it has (noise that comes and goes, and brokers that are worse for good), and the greater counts.
// Danger: who looks often enough finds what chance makes; a look is taken when there is a quarter more to look at, and the k-th
// may raise alarm by chance with a share of 1/k(k+1) of what all together may.
func (g *group) look(m Metric, tolerance, alpha float64) (v GateResult, fails bool) {
	var squares, chance, sizes, controls, total, variance, own float64
	for _, t := range g.tallies[m] {
		if t.side == before {
			off := t.wrong - t.expected
			squares, chance, sizes, controls = squares+off*off, chance+t.variance, sizes+t.asked*t.asked, controls+1
			total += t.asked
			continue
		}
		v.Queries, v.Bad, v.Expected = v.Queries+t.asked, v.Bad+t.wrong, v.Expected+t.expected
		variance, own = variance+t.variance, own+t.asked*t.asked
	}
	if v.Queries < 1.25*g.looked[m] || v.Queries == 0 || chance == 0 {
		return v, false
	}
	squares *= 1 + 4/controls // few tell less surely how much they differ
	g.looked[m] = v.Queries
	g.looks[m]++
	v.Needed = math.Log(g.looks[m] * (g.looks[m] + 1) / alpha)
	noisy := (variance + g.unsure[m]) * max(1, squares/chance)
	each := max(0, squares-chance) / sizes // how much brokers differ for good; those not yet released may be better ones by chance
	worse := variance + g.unsure[m] + each*(own+v.Queries*v.Queries*sizes/(total*total))
	all := max(noisy, worse)
	v.Group, v.Overdispersion = g.name, all/variance
	expected := v.Expected + tolerance*v.Queries
	if v.Bad <= expected {
		return v, false
	}
	// Chernoff's bound of a Poisson count's tail, with the spread in place of its variance: it holds for few and for many.
	ratio := v.Bad / expected
	v.Evidence = expected * (ratio*math.Log(ratio) - ratio + 1) / max(all/expected, 1e-9)
	return v, v.Evidence >= v.Needed
}

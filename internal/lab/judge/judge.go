// Package judge compares played rehearsals of two builds or policies, seed by seed, from their results alone. It must never
// report a difference that the seeds do not support.
//
// Depends on lab/play. Concurrency: nothing here locks or starts a goroutine; a value is used by one goroutine at a time.
package judge

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"flaxfront/internal/lab/play"
)

// Metric is a compared quantity.
type Metric struct {
	Name           string
	HigherIsBetter bool
	Unit           string
	Value          func(r *play.Result) float64
}

// Metrics are the compared quantities.
var Metrics = []Metric{
	{"service", true, "", func(r *play.Result) float64 { return r.Counts.Service() }},
	{"worst ten seconds", true, "", func(r *play.Result) float64 { return r.Worst }},
	{"worst tenant", true, "", worstTenant},
	{"in target", true, "%", func(r *play.Result) float64 { return share(r.Counts.InTarget, r) }},
	{"shed", false, "%", func(r *play.Result) float64 { return share(r.Counts.Shed, r) }},
	{"failed", false, "%", func(r *play.Result) float64 { return share(r.Counts.Failed, r) }},
	{"p99", false, "ms", func(r *play.Result) float64 { return r.Latency.Quantile(0.99).Seconds() * 1000 }},
	{"extra attempts", false, "%", func(r *play.Result) float64 {
		return 100 * float64(r.Work.Further) / float64(max(1, r.Work.Parts))
	}},
}

func share(n int64, r *play.Result) float64 {
	return 100 * float64(n) / float64(max(1, r.Counts.Asked))
}

func worstTenant(r *play.Result) float64 {
	by, order := map[string]*play.Counts{}, []string{}
	for i := range r.Rows {
		t := r.Rows[i].Tenant
		if by[t] == nil {
			by[t], order = &play.Counts{}, append(order, t)
		}
		by[t].Add(&r.Rows[i].Counts)
	}
	least := 1.0
	for _, t := range order {
		if by[t].Asked > 0 {
			least = min(least, by[t].Service())
		}
	}
	return least
}

// Difference is the difference of a metric over paired seeds, B less A.
type Difference struct {
	Metric      Metric
	A, B        float64 // means
	Mean        float64
	Low, High   float64 // 95% confidence interval of the mean difference, by Student's t over the pairs
	Significant bool    // the interval does not contain 0
	Better      bool    // B is better
	Pairs       int
	Equal       bool // A and B are equal in each pair
	NeedsPairs  bool // there are fewer than two pairs, too few for an interval
}

// Compare compares results in pairs of the same script and seed.
func Compare(a, b []*play.Result) ([]Difference, error) {
	bySeed := map[string]*play.Result{}
	key := func(r *play.Result) string { return fmt.Sprintf("%s/%d", r.Name, r.Seed) }
	for _, r := range a {
		bySeed[key(r)] = r
	}
	var pairs [][2]*play.Result
	for _, r := range b {
		if other := bySeed[key(r)]; other != nil && other.Played == r.Played {
			pairs = append(pairs, [2]*play.Result{other, r})
		}
	}
	if len(pairs) == 0 {
		return nil, errors.New("compare: no script and seed was played in full in both sets of results")
	}
	var all []Difference
	for _, f := range Metrics {
		d := Difference{Metric: f, Pairs: len(pairs), Equal: true, NeedsPairs: len(pairs) < 2}
		var diffs []float64
		for _, p := range pairs {
			x, y := f.Value(p[0]), f.Value(p[1])
			d.A, d.B = d.A+x/float64(len(pairs)), d.B+y/float64(len(pairs))
			diffs = append(diffs, y-x)
			d.Equal = d.Equal && x == y
		}
		d.Mean, d.Low, d.High = Interval(diffs)
		d.Significant = !d.NeedsPairs && (d.Low > 0 || d.High < 0)
		d.Better = (d.Mean > 0) == f.HigherIsBetter
		all = append(all, d)
	}
	return all, nil
}

// Interval returns the mean of some values and its 95% confidence interval.
func Interval(of []float64) (mean, low, high float64) {
	mean = stat.Mean(of, nil)
	if len(of) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(of) - 1)}
	half := t.Quantile(0.975) * stat.StdDev(of, nil) / math.Sqrt(float64(len(of)))
	return mean, mean - half, mean + half
}

// Summary returns a sentence on whether B differs from A.
func Summary(all []Difference) string {
	d := all[0]
	switch {
	case d.Equal:
		return fmt.Sprintf("The two serve the same in each of %d pairs.", d.Pairs)
	case d.NeedsPairs:
		return fmt.Sprintf("One pair tells nothing beyond itself: service %.4f and %.4f; play more seeds.", d.A, d.B)
	case !d.Significant:
		return fmt.Sprintf("%d pairs show no difference in service: %+.4f, somewhere between %+.4f and %+.4f (95%%).", d.Pairs, d.Mean, d.Low, d.High)
	}
	word := "worse"
	if d.Better {
		word = "better"
	}
	return fmt.Sprintf("The second serves %s: service by %+.4f, between %+.4f and %+.4f (95%%, %d pairs).", word, d.Mean, d.Low, d.High, d.Pairs)
}

package judge

import (
	"math"
	"strings"
	"testing"

	"flaxfront/internal/lab/play"
)

func results(name string, got ...int64) (all []*play.Result) {
	for i, g := range got {
		all = append(all, &play.Result{Name: name, Seed: i, Counts: play.Counts{Asked: 100, Worth: 1000, Got: g}})
	}
	return all
}

// The interval is Student's t: for four pairs 3.182 standard errors.
func TestInterval(t *testing.T) {
	mean, low, high := Interval([]float64{1, 2, 3, 4})
	if half := 3.182446 * math.Sqrt(5.0/3) / 2; math.Abs(mean-2.5) > 1e-12 || math.Abs(high-mean-half) > 1e-4 || math.Abs(mean-low-half) > 1e-4 {
		t.Errorf("mean %v, interval %v to %v", mean, low, high)
	}
}

// A difference that the seeds do not support is not reported as one; neither is that of a single pair, nor of runs without pairs.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		a, b []*play.Result
		want string
	}{
		{results("x", 900, 910, 905, 920), results("x", 950, 961, 957, 969), "serves better"},
		{results("x", 950, 961, 957, 969), results("x", 900, 910, 905, 920), "serves worse"},
		{results("x", 900, 910, 905, 920), results("x", 910, 900, 920, 905), "no difference"},
		{results("x", 900, 910), results("x", 900, 910), "serve the same"},
		{results("x", 900), results("x", 950), "nothing beyond itself"},
	} {
		d, err := Compare(c.a, c.b)
		if err != nil || !strings.Contains(Summary(d), c.want) {
			t.Errorf("%v, %v, want %q", Summary(d), err, c.want)
		}
	}
	if _, err := Compare(results("x", 1), results("y", 1)); err == nil {
		t.Error("results of different scripts were compared")
	}
}

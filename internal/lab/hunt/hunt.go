// Package hunt searches for the script under which a rule breaks, or which loses the most service against a policy that knows
// everything, and reduces it to what matters. The same seed gives the same search. It must never change the fleet, only the
// faults and the load.
//
// Depends on lab/play, lab/script. Concurrency: it spreads work over goroutines that end with each call; a value is used by one
// goroutine at a time.
package hunt

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"flaxfront/internal/lab/play"
	"flaxfront/internal/lab/script"
)

// Finding is a script with its result.
type Finding struct {
	Script  *script.Script
	Broken  int64
	Service float64
	Oracle  float64
	Loss    float64 // Oracle less Service
}

// badness orders findings: any broken rule comes before any loss.
func (f *Finding) badness() float64 {
	if f.Broken > 0 {
		return 100 + min(float64(f.Broken), 100)
	}
	return f.Loss
}

// Options limit a search.
type Options struct {
	Scripts   int // scripts played in all
	Seed      uint64
	OnlyRules bool // search for broken rules only
	Cores     int
	Log       func(format string, args ...any)
	Policy    play.Policy
}

// Evaluate plays a script under the policy and, unless OnlyRules is set, under the one that knows everything.
func Evaluate(s *script.Script, o Options) (*Finding, error) {
	r, err := play.Play(s, play.Options{Cores: 1, Policy: o.Policy})
	if err != nil {
		return nil, err
	}
	f := &Finding{Script: s, Broken: r.Broken, Service: r.Counts.Service(), Oracle: 1}
	if !o.OnlyRules {
		oracle, err := play.Play(s, play.Options{Policy: play.Oracle})
		if err != nil {
			return nil, err
		}
		f.Oracle = oracle.Counts.Service()
	}
	f.Loss = f.Oracle - f.Service
	return f, nil
}

// Hunt searches from a base script: it draws scripts at random, and then changes the worst ones.
func Hunt(base *script.Script, o Options) (*Finding, error) {
	rnd := rand.New(rand.NewPCG(o.Seed, 0x68756e74))
	var best []*Finding
	const kept = 6
	for played := 0; played < o.Scripts; {
		n := min(max(1, o.Cores), o.Scripts-played)
		days := make([]*script.Script, n)
		for i := range days {
			if len(best) < kept || rnd.IntN(4) == 0 {
				days[i] = DrawScript(base, rnd)
			} else {
				days[i] = mutate(best[rnd.IntN(len(best))].Script, rnd)
			}
		}
		finds, errs := make([]*Finding, n), make([]error, n)
		var all sync.WaitGroup
		for i := range days {
			all.Go(func() { finds[i], errs[i] = Evaluate(days[i], o) })
		}
		all.Wait()
		for i, f := range finds {
			if errs[i] != nil {
				return nil, errs[i]
			}
			if len(best) == 0 || f.badness() > best[0].badness() {
				o.Log("script %d: service %.4f, oracle %.4f, rules broken %d: %s", played+i, f.Service, f.Oracle, f.Broken, Describe(f.Script))
			}
			best = append(best, f)
		}
		slices.SortStableFunc(best, func(a, b *Finding) int { return sign(b.badness() - a.badness()) })
		best = best[:min(len(best), kept)]
		played += n
	}
	return best[0], nil
}

func sign(x float64) int {
	switch {
	case x > 0:
		return 1
	case x < 0:
		return -1
	}
	return 0
}

// Describe returns the load and the faults of a script in one line.
func Describe(s *script.Script) string {
	text := fmt.Sprintf("%.0f queries per second", s.Load.Rate)
	for _, t := range s.Faults {
		text += fmt.Sprintf("; %s at %v for %v", t.Kind, t.At.Round(100*time.Millisecond), t.Length.Round(100*time.Millisecond))
	}
	return text
}

func copyOf(s *script.Script) *script.Script {
	c := *s
	c.Faults = slices.Clone(s.Faults)
	return &c
}

// Shrink reduces a finding as long as it stays bad: a broken rule stays broken, or at least four fifths of the loss remain.
func Shrink(f *Finding, o Options) (*Finding, error) {
	bar := 0.8 * f.badness()
	if f.Broken > 0 {
		bar = 100
	}
	for better := true; better; {
		better = false
		for _, smaller := range reductions(f.Script) {
			if _, err := smaller.Check(); err != nil {
				continue
			}
			g, err := Evaluate(smaller, o)
			if err != nil {
				return nil, err
			}
			if g.badness() >= bar {
				o.Log("reduced: service %.4f, oracle %.4f, rules broken %d: %s", g.Service, g.Oracle, g.Broken, Describe(smaller))
				f, better = g, true
				break
			}
		}
	}
	return f, nil
}

// reductions returns the scripts that are one step smaller, largest steps first.
func reductions(s *script.Script) (all []*script.Script) {
	cut := func(do func(*script.Script)) {
		c := copyOf(s)
		do(c)
		all = append(all, c)
	}
	for i := range s.Faults {
		if len(s.Faults) > 1 {
			cut(func(c *script.Script) { c.Faults = slices.Delete(c.Faults, i, i+1) })
		}
	}
	end := time.Duration(0)
	for _, t := range s.Faults {
		end = max(end, t.At+t.Length)
	}
	if end+3*time.Second < s.Length {
		cut(func(c *script.Script) { c.Length = end + 2*time.Second })
	}
	if s.Length > 12*time.Second {
		cut(func(c *script.Script) { c.Length = c.Length * 2 / 3 })
	}
	for i := range s.Faults {
		t := &s.Faults[i]
		if t.Length > time.Second {
			cut(func(c *script.Script) { c.Faults[i].Length = t.Length / 2 })
		}
		if t.At > 2*time.Second {
			cut(func(c *script.Script) { c.Faults[i].At = t.At / 2 })
		}
		if t.Ramp > 0 {
			cut(func(c *script.Script) { c.Faults[i].Ramp = 0 })
		}
		if t.Share > 0.1 && t.Zone == "" && len(t.Nodes) == 0 {
			cut(func(c *script.Script) { c.Faults[i].Share = t.Share / 2 })
		}
	}
	return all
}

// Package hunt searches for the day on which a rule breaks or most is lost against a policy that sees all, and cuts the day down
// to what matters. It owns the drawing, the search and the shrinking of scripts; the same seed hunts the same way. It must never
// change a fleet, only what goes wrong with it and how much is asked.
//
// Depends on lab/play, lab/script. Concurrency: it spreads work over goroutines that end with each call; a
// value is used by one goroutine at a time.
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

// Find is a day with what it costs.
type Find struct {
	Script  *script.Script
	Broken  int64
	Service float64
	Seer    float64
	Loss    float64 // Seer less Service
}

// bad orders finds: a broken rule before any loss.
func (f *Find) bad() float64 {
	if f.Broken > 0 {
		return 100 + min(float64(f.Broken), 100)
	}
	return f.Loss
}

// Options bound a hunt.
type Options struct {
	Days   int // played in all
	Seed   uint64
	Rules  bool // only broken rules count
	Cores  int
	Say    func(format string, args ...any)
	Policy play.Policy
}

// Judge plays a day under the policy and, unless only rules count, under the one that sees all.
func Judge(s *script.Script, o Options) (*Find, error) {
	r, err := play.Play(s, play.Options{Cores: 1, Policy: o.Policy})
	if err != nil {
		return nil, err
	}
	f := &Find{Script: s, Broken: r.Broken, Service: r.Counts.Service(), Seer: 1}
	if !o.Rules {
		seer, err := play.Play(s, play.Options{Policy: play.Seer})
		if err != nil {
			return nil, err
		}
		f.Seer = seer.Counts.Service()
	}
	f.Loss = f.Seer - f.Service
	return f, nil
}

// Hunt searches from a base script: days drawn at random, then changes of the worst ones.
func Hunt(base *script.Script, o Options) (*Find, error) {
	rnd := rand.New(rand.NewPCG(o.Seed, 0x68756e74))
	var best []*Find
	const kept = 6
	for played := 0; played < o.Days; {
		n := min(max(1, o.Cores), o.Days-played)
		days := make([]*script.Script, n)
		for i := range days {
			if len(best) < kept || rnd.IntN(4) == 0 {
				days[i] = Draw(base, rnd)
			} else {
				days[i] = change(best[rnd.IntN(len(best))].Script, rnd)
			}
		}
		finds, errs := make([]*Find, n), make([]error, n)
		var all sync.WaitGroup
		for i := range days {
			all.Go(func() { finds[i], errs[i] = Judge(days[i], o) })
		}
		all.Wait()
		for i, f := range finds {
			if errs[i] != nil {
				return nil, errs[i]
			}
			if len(best) == 0 || f.bad() > best[0].bad() {
				o.Say("day %d: service %.4f, seer %.4f, rules broken %d: %s", played+i, f.Service, f.Seer, f.Broken, Describe(f.Script))
			}
			best = append(best, f)
		}
		slices.SortStableFunc(best, func(a, b *Find) int { return sign(b.bad() - a.bad()) })
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

// Describe names the troubles of a script in a line.
func Describe(s *script.Script) string {
	text := fmt.Sprintf("%.0f a second", s.Load.Rate)
	for _, t := range s.Troubles {
		text += fmt.Sprintf("; %s at %v for %v", t.What, t.At.Round(100*time.Millisecond), t.For.Round(100*time.Millisecond))
	}
	return text
}

func copyOf(s *script.Script) *script.Script {
	c := *s
	c.Troubles = slices.Clone(s.Troubles)
	return &c
}

// Shrink cuts a find down as long as what is bad of it stays: a broken rule stays broken, or four fifths of the loss stay lost.
func Shrink(f *Find, o Options) (*Find, error) {
	bar := 0.8 * f.bad()
	if f.Broken > 0 {
		bar = 100
	}
	for better := true; better; {
		better = false
		for _, smaller := range cuts(f.Script) {
			if _, err := smaller.Check(); err != nil {
				continue
			}
			g, err := Judge(smaller, o)
			if err != nil {
				return nil, err
			}
			if g.bad() >= bar {
				o.Say("cut down: service %.4f, seer %.4f, rules broken %d: %s", g.Service, g.Seer, g.Broken, Describe(smaller))
				f, better = g, true
				break
			}
		}
	}
	return f, nil
}

// cuts are the scripts that are smaller by one step, the boldest first.
func cuts(s *script.Script) (all []*script.Script) {
	cut := func(do func(*script.Script)) {
		c := copyOf(s)
		do(c)
		all = append(all, c)
	}
	for i := range s.Troubles {
		if len(s.Troubles) > 1 {
			cut(func(c *script.Script) { c.Troubles = slices.Delete(c.Troubles, i, i+1) })
		}
	}
	end := time.Duration(0)
	for _, t := range s.Troubles {
		end = max(end, t.At+t.For)
	}
	if end+3*time.Second < s.For {
		cut(func(c *script.Script) { c.For = end + 2*time.Second })
	}
	if s.For > 12*time.Second {
		cut(func(c *script.Script) { c.For = c.For * 2 / 3 })
	}
	for i := range s.Troubles {
		t := &s.Troubles[i]
		if t.For > time.Second {
			cut(func(c *script.Script) { c.Troubles[i].For = t.For / 2 })
		}
		if t.At > 2*time.Second {
			cut(func(c *script.Script) { c.Troubles[i].At = t.At / 2 })
		}
		if t.Ramp > 0 {
			cut(func(c *script.Script) { c.Troubles[i].Ramp = 0 })
		}
		if t.Share > 0.1 && t.Zone == "" && len(t.Nodes) == 0 {
			cut(func(c *script.Script) { c.Troubles[i].Share = t.Share / 2 })
		}
	}
	return all
}

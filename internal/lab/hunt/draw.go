package hunt

// This file draws scripts at random and changes them.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flaxfront/internal/lab/script"
)

var faultKinds = []string{"die", "vanish", "hang", "stall", "slow", "errors", "drain", "cut", "jump", "flood", "discovery_down",
	"discovery_hang", "restart", "loss"}

// DrawScript draws a script: a seed, a load, and one to five faults.
func DrawScript(base *script.Script, rnd *rand.Rand) *script.Script {
	for {
		s := copyOf(base)
		s.Seed, s.Faults = rnd.IntN(1_000_000), nil
		s.Load.Rate = base.Load.Rate * (0.5 + 1.2*rnd.Float64())
		for range 1 + rnd.IntN(5) {
			s.Faults = append(s.Faults, drawFault(s, rnd))
		}
		if _, err := s.Check(); err == nil {
			return s
		}
	}
}

func drawFault(s *script.Script, rnd *rand.Rand) script.Fault {
	span := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*rnd.Float64()) * float64(s.Length)).Round(10 * time.Millisecond)
	}
	t := script.Fault{Kind: faultKinds[rnd.IntN(len(faultKinds))], At: span(0.1, 0.7), Length: span(0.05, 0.4), Share: 0.05 + 0.45*rnd.Float64(),
		Factor: 3, Every: 2 * time.Second, Pause: 300 * time.Millisecond}
	switch t.Kind {
	case "slow":
		t.Factor = 1.5 + 8*rnd.Float64()*rnd.Float64()
		if rnd.IntN(3) == 0 {
			t.Share, t.Factor = 1, 1.3+rnd.Float64()
		}
	case "errors":
		t.Factor = 5 + 90*rnd.Float64()
	case "jump":
		t.Factor = 1.2 + 1.5*rnd.Float64()
	case "flood":
		t.Factor, t.Tenant = 2+8*rnd.Float64(), s.Tenants[rnd.IntN(len(s.Tenants))].Name
		t.Repeats = rnd.IntN(3) == 0
	case "cut":
		t.Zone = string(rune('a' + rnd.IntN(s.Fleet.Zones)))
	case "loss":
		t.Factor = 0.5 + 5*rnd.Float64()
	case "stall":
		t.Pause = time.Duration(50+450*rnd.Float64()) * time.Millisecond
		t.Every = time.Duration(1+4*rnd.Float64()) * time.Second
	}
	t.Factor = math.Round(100*t.Factor) / 100
	t.Share = math.Round(100*t.Share) / 100
	return t
}

// mutate returns a script with one small change.
func mutate(of *script.Script, rnd *rand.Rand) *script.Script {
	for range 100 {
		s := copyOf(of)
		switch n := len(s.Faults); rnd.IntN(6) {
		case 0:
			s.Seed = rnd.IntN(1_000_000)
		case 1:
			s.Load.Rate *= 0.85 + 0.3*rnd.Float64()
		case 2:
			s.Faults = append(s.Faults, drawFault(s, rnd))
		case 3:
			if n > 1 {
				s.Faults = slices.Delete(s.Faults, 0, 1)
			}
		default:
			t := &s.Faults[rnd.IntN(n)]
			scale := func() float64 { return math.Exp(0.5 * rnd.NormFloat64()) }
			t.At = time.Duration(float64(t.At) * scale())
			t.Length = time.Duration(float64(t.Length) * scale())
			t.Share = min(1, t.Share*scale())
			t.Factor *= scale()
		}
		if _, err := s.Check(); err == nil && len(s.Faults) <= 6 {
			return s
		}
	}
	return of
}

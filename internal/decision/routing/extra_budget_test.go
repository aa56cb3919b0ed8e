package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

func TestExtraBudgetCredit(t *testing.T) {
	settings := &decision.Settings{}
	tests := map[string]struct {
		credit float64
		steps  func(b *extraBudget)
		allows bool
	}{
		"none":                                 {0, func(*extraBudget) {}, false},
		"ten first attempts pay for one":       {0.05, func(b *extraBudget) { repeat(10, b.earn) }, true},
		"nine do not":                          {0.05, func(b *extraBudget) { repeat(9, b.earn) }, false},
		"spent":                                {1, func(b *extraBudget) { b.spend(settings, 0) }, false},
		"spent and given back":                 {1, func(b *extraBudget) { b.spend(settings, 0); b.refund() }, true},
		"no more than the maximum is earned":   {maxCredit, func(b *extraBudget) { repeat(50, b.earn); b.credit -= maxCredit }, false},
		"no more than the maximum is refunded": {maxCredit, func(b *extraBudget) { repeat(5, b.refund); b.credit -= maxCredit }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &extraBudget{credit: test.credit}
			test.steps(b)
			if got := b.allows(settings, 0); got != test.allows {
				t.Errorf("allows returns %v with credit %v, want %v", got, b.credit, test.allows)
			}
		})
	}
}

func repeat(times int, f func()) {
	for range times {
		f()
	}
}

// The window allows the minimum plus a share of the queries and shard requests received in it, less the extra attempts sent in it.
func TestExtraBudgetWindow(t *testing.T) {
	settings := &decision.Settings{ExtraAttemptsMin: 1, ExtraAttemptsShare: 0.1, ExtraAttemptsWindow: time.Second, ClockStep: 5 * ms}
	tests := map[string]struct {
		received  int // at time 0
		extra     []time.Duration
		now       time.Duration
		remaining float64
	}{
		"nothing yet":                      {0, nil, 0, 1},
		"a share of what was received":     {20, nil, 500 * ms, 3},
		"what was received is out of it":   {20, nil, time.Second, 1},
		"what was sent counts":             {20, []time.Duration{0, 100 * ms}, 500 * ms, 1},
		"what was sent at its edge is out": {0, []time.Duration{0, 100 * ms}, time.Second, 0},
		"all that was sent is out of it":   {0, []time.Duration{0, 100 * ms}, 1100 * ms, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &extraBudget{credit: maxCredit}
			for range test.received {
				b.noteReceived(settings, 0)
			}
			for _, at := range test.extra {
				b.spend(settings, at)
			}
			if got := b.remaining(settings, test.now, test.now); got != test.remaining {
				t.Errorf("%v extra attempts remaining, want %v", got, test.remaining)
			}
		})
	}
}

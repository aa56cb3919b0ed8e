package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

func TestCapacityShareGrowsOverWarmUp(t *testing.T) {
	settings := &decision.Settings{InitialCapacity: 0.25, WarmUpTime: 8 * time.Second, OverloadMultiple: 1}
	for age, want := range map[time.Duration]float64{
		-time.Second:     slowStartSafety * 0.25,
		0:                slowStartSafety * 0.25,
		4 * time.Second:  slowStartSafety * 0.625,
		8 * time.Second:  slowStartSafety,
		40 * time.Second: 1,
	} {
		if got := capacityShare(settings, age); got != want {
			t.Errorf("capacity share %v at age %v, want %v", got, age, want)
		}
	}
}

func TestSlowStartAllowance(t *testing.T) {
	s := slowStart{share: 0.5}
	s.refill(4, 250*ms)
	if s.allowance != 0.5 {
		t.Errorf("allowance %v after a quarter second of two attempts a second, want 0.5", s.allowance)
	}
	s.refill(4, 10*time.Second)
	if s.allowance != maxAllowance {
		t.Errorf("allowance %v after a long time, want %v", s.allowance, maxAllowance)
	}
	for range 5 {
		s.spend()
	}
	if s.allowance != minAllowance {
		t.Errorf("allowance %v after five attempts, want %v", s.allowance, minAllowance)
	}
	warmedUp := slowStart{share: 1}
	warmedUp.spend()
	if warmedUp.allowance != 0 {
		t.Errorf("allowance %v of a warmed-up node after an attempt, want 0", warmedUp.allowance)
	}
}

func TestConfirmationAdmits(t *testing.T) {
	const interval, overloadAfter = 4 * time.Second, time.Second
	for name, test := range map[string]struct {
		confirmation confirmation
		calls        int
		lastSentAt   time.Duration
		now          time.Duration
		admits       bool
	}{
		"the first call":          {confirmation{since: 1, window: 1}, 0, 0, 2, true},
		"one in flight fills it":  {confirmation{since: 1, window: 1.75}, 1, 2, 3, false},
		"the window is two":       {confirmation{since: 1, window: 2}, 1, 2, 3, true},
		"during the backoff":      {confirmation{since: 1, window: 1, backoffUntil: 5}, 0, 2, 4, false},
		"after the backoff":       {confirmation{since: 1, window: 1, backoffUntil: 5}, 0, 2, 5, true},
		"before its start offset": {confirmation{since: 1, window: 1, startOffset: 0.5}, 0, 0, 1500 * ms, false},
		"at its start offset":     {confirmation{since: 1, window: 1, startOffset: 0.5}, 0, 0, 1500*ms + 1, true},
		"a call was sent before":  {confirmation{since: 1, window: 1, startOffset: 0.5}, 0, 2, 3, true},
	} {
		e := &endpoint{calls: make([]call, test.calls), lastSentAt: test.lastSentAt}
		if got := test.confirmation.admits(e, test.now, interval, overloadAfter); got != test.admits {
			t.Errorf("%s: admits %v, want %v", name, got, test.admits)
		}
	}
}

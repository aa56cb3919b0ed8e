package routing

import (
	"testing"
	"time"
)

func TestFleetLatencyQuantiles(t *testing.T) {
	f := fleetLatency{}
	f.assume(1200 * ms)
	if f.p50 != 150*ms || f.p95 != 600*ms || f.lowPoint != 100*ms || f.known {
		t.Errorf("assumed p50 %v, p95 %v, low point %v, known %v", f.p50, f.p95, f.lowPoint, f.known)
	}
	for i := range minSamples - 1 {
		f.record(time.Duration(i) * ms)
	}
	f.update()
	if f.known {
		t.Errorf("quantiles are known after %d samples, which is too few", minSamples-1)
	}
	for i := range 100 {
		f.record(time.Duration(99-i) * ms)
	}
	f.update() // the samples kept are the last 96: 0 to 95 ms
	if f.p50 != 48*ms || f.p95 != 91*ms || f.lowPoint != f.p50 || !f.known {
		t.Errorf("p50 %v, p95 %v, low point %v, known %v", f.p50, f.p95, f.lowPoint, f.known)
	}
	for range sampleCount {
		f.record(200 * ms)
	}
	f.update()
	before := 48 * ms
	if want := time.Duration(lowPointGrowth * float64(before)); f.p50 != 200*ms || f.lowPoint != want {
		t.Errorf("p50 %v, low point %v: p50 must be 200ms and the low point must rise slowly", f.p50, f.lowPoint)
	}
}

func TestMajorityVote(t *testing.T) {
	m := majority{}
	for i, vote := range []struct {
		time      time.Duration
		candidate time.Duration
	}{
		{2500 * ms, 2500 * ms},
		{2510 * ms, 2500 * ms}, // equal within majorityTolerance
		{900 * ms, 2500 * ms},
		{900 * ms, 2500 * ms},
		{900 * ms, 900 * ms},
	} {
		if got := m.vote(vote.time); got != vote.candidate {
			t.Errorf("vote %d: candidate %v, want %v", i, got, vote.candidate)
		}
	}
}

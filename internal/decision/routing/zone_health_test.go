package routing

import "testing"

func TestZoneErrorRate(t *testing.T) {
	start := 0.8
	weight := zoneErrorWeight
	z := zoneHealth{errorRate: start}
	z.observe(1, 0)
	failed := start*(1-weight) + weight
	if z.errorRate != failed {
		t.Errorf("error rate %v after a failure, want %v", z.errorRate, failed)
	}
	z.observe(0, 0)
	if want := failed * (1 - weight); z.errorRate != want {
		t.Errorf("error rate %v after an answer, want %v", z.errorRate, want)
	}
	now := z.currentErrorRate(0)
	later := z.currentErrorRate(zoneErrorTimeConstant)
	if later >= now/2 || later <= now/3 {
		t.Errorf("error rate %v decays to %v in one time constant, want about 1/e of it", now, later)
	}
}

func TestZonesAvoided(t *testing.T) {
	for name, test := range map[string]struct {
		rates   []float64
		avoided []bool
	}{
		"one zone fails":       {[]float64{0.6, 0.2}, []bool{true, false}},
		"just at the maximum":  {[]float64{0.5, 0.2}, []bool{false, false}},
		"the other fails too":  {[]float64{0.6, 0.3}, []bool{false, false}},
		"two of three fail":    {[]float64{0.9, 0.6, 0.1}, []bool{true, true, false}},
		"the only zone fails":  {[]float64{0.9}, []bool{false}},
		"other without errors": {[]float64{0.9, 0}, []bool{true, false}},
	} {
		r := newRig(smallSettings(), 2).router
		r.dispatcher.zones = nil
		for _, rate := range test.rates {
			r.dispatcher.zones = append(r.dispatcher.zones, zoneHealth{errorRate: rate, updatedAt: r.now})
		}
		r.dispatcher.updateAvoidedZones()
		for i, z := range r.dispatcher.zones {
			if z.avoided != test.avoided[i] {
				t.Errorf("%s: zone %d avoided %v, want %v", name, i, z.avoided, test.avoided[i])
			}
		}
	}
}

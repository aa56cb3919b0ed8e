package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// Whatever failed before, the list is polled again soon. A change counts as known 6 s after discovery had it and could be reached;
// one pause and a call that discovery works through in its turn have to fit in twice, as the first call may be rejected.
func TestListIsPolledAgainInTime(t *testing.T) {
	const maxDelay = 1500 * ms
	for seed := range uint64(100) {
		settings := smallSettings()
		settings.Seed = seed
		settings.PollList = true
		router := New(settings)
		now := time.Duration(0)
		router.Step(now, nil, nil)
		for failure := range 20 {
			failed := now
			events := []decision.Event{{Kind: decision.ListPollFailed}}
			for asked := false; !asked; now += settings.ClockStep {
				for _, a := range router.Step(now, events, nil) {
					asked = asked || a.Kind == decision.SubscribeList
				}
				events = nil
				if now-failed > maxDelay {
					t.Fatalf("seed %d: not asked again %v after failure %d", seed, now-failed, failure+1)
				}
			}
		}
	}
}

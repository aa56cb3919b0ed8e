package routing

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

// However many polls have failed, the list is polled again within maxDelay. A broker must know of a change 6 s after discovery has the
// change and is reachable. Two backoffs and two calls that wait in discovery's queue must fit into that, as the first call may be rejected.
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
					t.Fatalf("seed %d: the list is not polled again %v after failure %d", seed, now-failed, failure+1)
				}
			}
		}
	}
}

package cachedlist

import (
	"testing"
	"time"
)

// Whatever is drawn, a silent watch is noticed with time left for an answer that waits its turn, a hedge goes out before its request is
// given up, and a failed call is made again only where it may be, after a pause within its bounds.
func TestAskingIsInTime(t *testing.T) {
	for _, share := range []float64{0, 0.5, 0.999} {
		lot := Jitter(func(below time.Duration) time.Duration { return time.Duration(share * float64(below)) })
		for _, most := range []time.Duration{time.Second, 4 * time.Second, time.Minute} {
			w := lot.WatchTimeouts(most)
			if w.WatchTime <= 0 || w.WatchTime > min(most, MaxWatchTime) || w.HedgeDelay >= w.Timeout || w.HedgeDelay > MaxNotificationDelay-MaxNotificationDelayAfterWatch {
				t.Errorf("a watch of %v: %+v", most, w)
			}
		}
		if l := lot.PollTimeouts(); l.WatchTime != 0 || l.HedgeDelay >= l.Timeout || 2*l.HedgeDelay > MaxNotificationDelayAfterMove {
			t.Errorf("a look: %+v", l)
		}
		for _, c := range []struct {
			f     PollFailure
			least time.Duration
			most  time.Duration
			again bool
		}{
			{PollFailure{ConnectionLost: true, SinceMove: time.Hour}, 0, pauseMost, true},
			{PollFailure{LocalAgent: true, SinceMove: time.Hour}, AgentRetryInterval / 2, AgentRetryInterval, true},
			{PollFailure{SinceMove: time.Second}, pauseLeast, pauseLeast + pauseMost, true},
			{PollFailure{SinceMove: time.Second, Duration: 2 * time.Second}, 0, pauseMost, true},
			{PollFailure{SinceMove: MaxNotificationDelayAfterMove}, 0, 0, false},
		} {
			pause, again := lot.RetryDelay(c.f)
			if again != c.again || pause < c.least || pause > c.most {
				t.Errorf("%+v: %v after %v", c.f, again, pause)
			}
		}
	}
}

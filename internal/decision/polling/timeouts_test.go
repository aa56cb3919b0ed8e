package polling

import (
	"testing"
	"time"
)

// For any jitter, an overdue watch is hedged with time left for an answer from a busy service, a hedge is sent before its request is
// abandoned, and a failed request is retried only if it should be, after a delay within the bounds.
func TestTimeoutsLeaveTimeToNotify(t *testing.T) {
	const latestWatchHedge = MaxNotificationDelay - MaxNotificationDelayAfterWatch
	for _, share := range []float64{0, 0.5, 0.999} {
		jitter := Jitter(func(below time.Duration) time.Duration { return time.Duration(share * float64(below)) })
		for _, maxWatchTime := range []time.Duration{time.Second, 4 * time.Second, time.Minute} {
			w := jitter.WatchTimeouts(maxWatchTime)
			if w.WatchTime <= 0 || w.WatchTime > min(maxWatchTime, MaxWatchTime) || w.HedgeDelay >= w.Timeout || w.HedgeDelay > latestWatchHedge {
				t.Errorf("timeouts of a watch of at most %v out of bounds: %+v", maxWatchTime, w)
			}
		}
		if p := jitter.PollTimeouts(); p.WatchTime != 0 || p.HedgeDelay >= p.Timeout || 2*p.HedgeDelay > MaxNotificationDelayAfterAddressChange {
			t.Errorf("timeouts of a poll out of bounds: %+v", p)
		}
		for _, c := range []struct {
			failure  Failure
			minDelay time.Duration
			maxDelay time.Duration
			retry    bool
		}{
			{Failure{ConnectionLost: true, SinceAddressChange: time.Hour}, 0, maxRetryDelay, true},
			{Failure{LocalAgent: true, SinceAddressChange: time.Hour}, AgentRetryInterval / 2, AgentRetryInterval, true},
			{Failure{SinceAddressChange: time.Second}, minPollSpacing, minPollSpacing + maxRetryDelay, true},
			{Failure{SinceAddressChange: time.Second, Duration: 2 * time.Second}, 0, maxRetryDelay, true},
			{Failure{SinceAddressChange: MaxNotificationDelayAfterAddressChange}, 0, 0, false},
		} {
			delay, retry := jitter.RetryDelay(c.failure)
			if retry != c.retry || delay < c.minDelay || delay > c.maxDelay {
				t.Errorf("%+v: unexpected retry %v after %v", c.failure, retry, delay)
			}
		}
	}
}

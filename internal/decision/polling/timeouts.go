// Package polling decides when discovery is polled: how long a watch and a poll are waited for, when a hedge goes out beside one, and
// after what delay a poll that failed is made again.
//
// Nothing here does I/O, reads a clock or starts a goroutine. A value is used by one goroutine at a time. Depends on nothing.
package polling

import "time"

// A change of the endpoint list is promised to be known MaxNotificationDelay after discovery had it, whatever became of the polls in
// between. What an unanswered watch missed is promised within MaxNotificationDelayAfterWatch of the end of its watch time, if that is
// later. After a change of discovery's address what the new service has is promised within MaxNotificationDelayAfterAddressChange.
const (
	MaxNotificationDelay                   = 6 * time.Second
	MaxNotificationDelayAfterWatch         = 2 * time.Second
	MaxNotificationDelayAfterAddressChange = 4 * time.Second
)

// MaxWatchTime leaves time, after a watch is found to be overdue, for a poll that waits its turn at a busy service.
const MaxWatchTime = MaxNotificationDelay / 2

// A watch counts as overdue, and a hedge goes out, so long after its watch time; it is given up after the second time.
const (
	watchHedgeDelay = 800 * time.Millisecond
	watchTimeout    = 2500 * time.Millisecond
)

// A busy service answers in turn: a poll that is given up loses its place and has cost the service its work all the same. So an
// unanswered poll stays out while a hedge goes out beside it. A service slower than pollHedgeDelay gets a second poll a broker.
const (
	pollHedgeDelay  = 1500 * time.Millisecond
	pollHedgeJitter = 400 * time.Millisecond // brokers may notice a silent service at the same moment
	pollTimeout     = 2500 * time.Millisecond
)

// Delays before a failed poll is made again; drawn at random, so that brokers don't poll in step.
const (
	maxRetryDelay      = 400 * time.Millisecond
	minPollSpacing     = 500 * time.Millisecond // from the start of a rejected poll to the next
	AgentRetryInterval = 200 * time.Millisecond // a local agent's retry; shorter than any drain
)

// Jitter draws a time of at least 0 and below a bound above 0.
type Jitter func(below time.Duration) time.Duration

// Timeouts say how long a request to discovery is waited for. HedgeDelay and Timeout count from its start.
type Timeouts struct {
	WatchTime  time.Duration // how long discovery may hold it for the next change; 0 for a poll
	HedgeDelay time.Duration
	Timeout    time.Duration
}

// WatchTimeouts returns the timeouts of a watch of at most maxWatchTime. The watch time is drawn from its upper half: watches that end
// together have all brokers poll together.
func (jitter Jitter) WatchTimeouts(maxWatchTime time.Duration) Timeouts {
	maxWatchTime = min(maxWatchTime, MaxWatchTime)
	watchTime := maxWatchTime - jitter(maxWatchTime/2+1)
	return Timeouts{
		WatchTime:  watchTime,
		HedgeDelay: watchTime + watchHedgeDelay,
		Timeout:    watchTime + watchTimeout,
	}
}

// PollTimeouts returns the timeouts of a poll, which does not wait for a change.
func (jitter Jitter) PollTimeouts() Timeouts {
	return Timeouts{HedgeDelay: pollHedgeDelay + jitter(pollHedgeJitter), Timeout: pollTimeout}
}

// Failure says how a request to discovery failed.
type Failure struct {
	ConnectionLost     bool          // its connection ended under it, and the request before it had not failed
	LocalAgent         bool          // a local agent was asked, not a service that all brokers share
	SinceAddressChange time.Duration // since the change to this address
	Duration           time.Duration // of the request
}

// RetryDelay returns whether a failed request is made again without being asked for, and after what delay.
func (jitter Jitter) RetryDelay(f Failure) (delay time.Duration, retry bool) {
	switch {
	case f.ConnectionLost:
		return jitter(maxRetryDelay), true
	case f.LocalAgent:
		return AgentRetryInterval/2 + jitter(AgentRetryInterval/2), true
	case f.SinceAddressChange < MaxNotificationDelayAfterAddressChange:
		return jitter(maxRetryDelay) + max(0, minPollSpacing-f.Duration), true
	}
	return 0, false
}

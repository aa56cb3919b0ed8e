// Package polling decides when discovery is polled: the timeouts of watches and polls, when a hedge is sent for one that is unanswered, and
// after what delay a failed request is retried.
//
// Nothing here does I/O, reads a clock or starts a goroutine. A value is used by one goroutine at a time. Depends on no other package.
package polling

import "time"

// A broker guarantees to learn of a change of the endpoint list within MaxNotificationDelay after discovery, even if polls fail in between.
// A change that an unanswered watch missed is learned within MaxNotificationDelayAfterWatch of the end of its watch time, if that is later.
// After a change of discovery's address, the list of the new service is learned within MaxNotificationDelayAfterAddressChange.
const (
	MaxNotificationDelay                   = 6 * time.Second
	MaxNotificationDelayAfterWatch         = 2 * time.Second
	MaxNotificationDelayAfterAddressChange = 4 * time.Second
)

// MaxWatchTime is the longest time that discovery may hold a watch. It leaves time for a poll that waits in the queue of a busy service
// after the watch has been found overdue.
const MaxWatchTime = MaxNotificationDelay / 2

// Delays of a watch, both counted from the end of its watch time.
const (
	watchHedgeDelay = 800 * time.Millisecond  // after it the watch is overdue, and a hedge is sent
	watchTimeout    = 2500 * time.Millisecond // after it the watch is abandoned
)

// A busy service answers polls in order. A poll that is abandoned loses its place in the queue, although the service still does its work.
// So an unanswered poll stays in flight when a hedge is sent. A service slower than pollHedgeDelay gets two polls from each broker.
const (
	pollHedgeDelay  = 1500 * time.Millisecond
	pollHedgeJitter = 400 * time.Millisecond // spreads the hedges of brokers whose polls began at the same time
	pollTimeout     = 2500 * time.Millisecond
)

// Delays before a failed poll is retried. They are random, so that brokers don't poll at the same time.
const (
	maxRetryDelay      = 400 * time.Millisecond
	minPollSpacing     = 500 * time.Millisecond // minimum time from the start of a rejected poll to the next poll
	AgentRetryInterval = 200 * time.Millisecond // longest delay before polling a local agent again; shorter than any drain
)

// Jitter returns a random duration of at least 0 and less than below, which must be positive.
type Jitter func(below time.Duration) time.Duration

// Timeouts are the timeouts of a request to discovery. HedgeDelay and Timeout count from its start.
type Timeouts struct {
	WatchTime  time.Duration // how long discovery may hold the request until the next change; 0 for a poll
	HedgeDelay time.Duration // when a hedge is sent
	Timeout    time.Duration // when the request is abandoned
}

// WatchTimeouts returns the timeouts of a watch of at most maxWatchTime. The watch time is random, between half of that and all of it, so
// that the watches of all brokers don't end, and their polls don't begin, at the same time.
func (jitter Jitter) WatchTimeouts(maxWatchTime time.Duration) Timeouts {
	maxWatchTime = min(maxWatchTime, MaxWatchTime)
	watchTime := maxWatchTime - jitter(maxWatchTime/2+1)
	return Timeouts{
		WatchTime:  watchTime,
		HedgeDelay: watchTime + watchHedgeDelay,
		Timeout:    watchTime + watchTimeout,
	}
}

// PollTimeouts returns the timeouts of a poll, which discovery answers without waiting for a change.
func (jitter Jitter) PollTimeouts() Timeouts {
	return Timeouts{HedgeDelay: pollHedgeDelay + jitter(pollHedgeJitter), Timeout: pollTimeout}
}

// Failure describes how a request to discovery failed.
type Failure struct {
	ConnectionLost     bool          // the connection was lost during the request, and the previous request had not failed
	LocalAgent         bool          // the request went to a local agent, not to a service that all brokers share
	SinceAddressChange time.Duration // time since discovery's address changed to the current one
	Duration           time.Duration // of the request
}

// RetryDelay returns whether a failed request is retried automatically, and after what delay.
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

package cachedlist

// This file owns when a call to discovery is hedged or given up, and how soon one that failed is made again where no pacer says so.
// It must never read a clock: draws and times come in.

import "time"

// A change of the list counts as told ToldAfter after discovery had it, whatever became of the calls in between; what a silent watch
// missed counts so long after it fell silent, or ToldAfterWait after its wait if that is later. After a move what the new service has
// counts CountsAfterMove later, whatever it answers until then.
const (
	MaxNotificationDelay           = 6 * time.Second
	MaxNotificationDelayAfterWatch = 2 * time.Second
	MaxNotificationDelayAfterMove  = 4 * time.Second
)

// A watch that is overdue has to be noticed, and made good by a request that may itself wait its turn at a busy service, so that no
// watch may take all of that time.
const (
	MaxWatchTime = MaxNotificationDelay / 2
	overdueAfter = 800 * time.Millisecond // a watch, after its wait
)

// Danger: a busy service answers in turn. A request that is given up loses its place, has cost the service work all the same, and
// the next one starts at the end of the queue, so that brokers that give up early keep it busy. A service that says nothing for
// other reasons has to be found out soon, though. So a request that is unanswered stays out while a hedge goes out beside it. It may
// hurt a service that is slower than hedgeAfter, by a second request a broker.
const (
	hedgeAfter = 1500 * time.Millisecond
	hedgeLot   = 400 * time.Millisecond  // drawn on top, as all brokers may find silence in the same moment
	heldFor    = 2500 * time.Millisecond // a request that does not wait for news; a watch so long after its wait
)

// A call is made again after a pause drawn from pauseMost, so that brokers do not come in step, and one that was refused no sooner
// than pauseLeast after it began.
const (
	pauseLeast         = 500 * time.Millisecond
	pauseMost          = 400 * time.Millisecond
	AgentRetryInterval = 200 * time.Millisecond // before an agent of this broker's own is asked again; less than any drain is given
)

// Jitter draws a time below a bound: brokers that do the same must not do it in step.
type Jitter func(below time.Duration) time.Duration

// Timeouts is how long a request is waited for.
type Timeouts struct {
	WatchTime  time.Duration // for news, that discovery is allowed
	HedgeDelay time.Duration // until a hedge goes out beside it
	Timeout    time.Duration // until it is given up
}

// WatchTimeouts is the patience with a watch that may wait so long. Danger: watches that began together fall silent together, and the requests
// that come of it jam discovery.
func (lot Jitter) WatchTimeouts(most time.Duration) Timeouts {
	most = min(most, MaxWatchTime)
	wait := most - lot(most/2+1)
	return Timeouts{wait, wait + overdueAfter, wait + heldFor}
}

// PollTimeouts is the patience with a request that does not wait for news.
func (lot Jitter) PollTimeouts() Timeouts { return Timeouts{0, hedgeAfter + lot(hedgeLot), heldFor} }

// PollFailure is how a call failed.
type PollFailure struct {
	ConnectionLost bool          // its connection ended under it, and it was the first to fail
	LocalAgent     bool          // an agent of this broker's own was asked
	SinceMove      time.Duration // since the move to the service
	Duration       time.Duration
}

// RetryDelay tells whether a failed call is made again with nobody asking, and after what pause.
func (lot Jitter) RetryDelay(f PollFailure) (pause time.Duration, again bool) {
	switch {
	case f.ConnectionLost:
		return lot(pauseMost), true
	case f.LocalAgent:
		return AgentRetryInterval/2 + lot(AgentRetryInterval/2), true
	case f.SinceMove < MaxNotificationDelayAfterMove:
		return lot(pauseMost) + max(0, pauseLeast-f.Duration), true
	}
	return 0, false
}

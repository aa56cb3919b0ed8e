package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// Backoff after a failed poll of the endpoint list.
const (
	initialPollBackoff = 500 * time.Millisecond
	maxPollBackoff     = time.Second
	minBackoffShare    = 0.5 // least wait, as a share of the backoff; up to one backoff is added at random
)

// subscribeIfDue asks the front end to poll or watch the endpoint list, unless a poll or watch is in progress, the backoff is not over, or
// discovery sends the list without a request.
func (w *listWatcher) subscribeIfDue() {
	r := w.router
	w.nextDueAt = never
	if !r.settings.PollList || w.subscribed {
		return
	}
	if r.now < w.pollAt {
		w.nextDueAt = w.pollAt
		return
	}
	w.subscribed = true
	r.act(decision.Action{Kind: decision.SubscribeList})
}

// scheduleNextPoll sets the time of the next poll after one has failed. The wait is random, as brokers that poll at the same time would
// keep an overloaded discovery overloaded.
func (w *listWatcher) scheduleNextPoll() {
	r := w.router
	w.pollAt = r.now + time.Duration((minBackoffShare+r.random.share())*float64(w.backoff))
	w.subscribed = false
	w.backoff = min(2*w.backoff, maxPollBackoff)
}

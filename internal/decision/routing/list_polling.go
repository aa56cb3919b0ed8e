package routing

import (
	"time"

	"flaxfront/internal/decision"
)

// Backoff between polls of the endpoint list that fail.
const (
	initialPollBackoff = 500 * time.Millisecond
	maxPollBackoff     = time.Second
	minBackoffShare    = 0.5 // a pause is this much of the backoff, and up to one backoff more
)

// subscribeIfDue asks for the endpoint list unless a poll or watch is out.
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

// scheduleNextPoll sets the pause before the next poll. It is random, as brokers that poll in step keep a jammed discovery jammed.
func (w *listWatcher) scheduleNextPoll() {
	r := w.router
	w.pollAt = r.now + time.Duration((minBackoffShare+r.random.share())*float64(w.backoff))
	w.subscribed = false
	w.backoff = min(2*w.backoff, maxPollBackoff)
}

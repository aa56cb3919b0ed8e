package polling

import (
	"math/rand/v2"
	"time"
)

const (
	minPollTimeout = time.Second
	maxPollTimeout = 4 * time.Second

	minBackoff = 250 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

// randomStream keeps the draws of a Backoff apart from others of the same seed.
const randomStream = 0x70616365

// BackoffSettings are what operators may set.
type BackoffSettings struct {
	ConnectInterval time.Duration // mean time between attempts to connect
	PollCost        time.Duration // what a poll of the full list costs discovery
	MaxPollDelay    time.Duration // bound of FirstPollDelay
	BrokerCount     int
}

// Backoff decides when to poll a discovery that has failed. It tells two faults apart. A service that accepts no connection is tried
// often, at a constant rate, as an attempt costs it nothing. One that accepts connections but does not answer in time is polled after
// delays that double, as each poll costs it work. One goroutine uses it.
type Backoff struct {
	settings    BackoffSettings
	random      *rand.Rand
	pollTimeout time.Duration
	backoff     time.Duration
}

// NewBackoff makes a Backoff; brokers need different seeds, or they poll in step.
func NewBackoff(settings BackoffSettings, seed uint64) *Backoff {
	b := &Backoff{settings: settings, random: rand.New(rand.NewPCG(seed, randomStream))}
	b.PollSucceeded()
	return b
}

// between draws a time evenly.
func (b *Backoff) between(from, to time.Duration) time.Duration {
	return from + time.Duration(b.random.Float64()*float64(to-from))
}

// ConnectDelay returns how long to wait before the next attempt to connect, after one that failed.
func (b *Backoff) ConnectDelay() time.Duration {
	return b.between(b.settings.ConnectInterval/2, b.settings.ConnectInterval*3/2)
}

// FirstPollDelay returns how long to wait with the poll once a connection is up. All brokers connect as soon as a service is back, and
// their polls of the full list would overload it if they came together.
func (b *Backoff) FirstPollDelay() time.Duration {
	spread := time.Duration(b.settings.BrokerCount) * b.settings.PollCost
	return b.between(0, min(b.settings.MaxPollDelay, spread))
}

// PollTimeout returns how long a poll may stay unanswered: short at first, as a service that hangs is found out by it, and doubled by
// each failure, so that a slow service is waited for in the end.
func (b *Backoff) PollTimeout() time.Duration { return b.pollTimeout }

// PollFailed records that a poll was not answered or was rejected, and returns how long to wait before the next.
func (b *Backoff) PollFailed() time.Duration {
	delay := b.between(b.backoff/2, b.backoff)
	b.pollTimeout = min(maxPollTimeout, 2*b.pollTimeout)
	b.backoff = min(maxBackoff, 2*b.backoff)
	return delay
}

// PollSucceeded records that discovery answered a poll: timeout and backoff start anew.
func (b *Backoff) PollSucceeded() {
	b.pollTimeout = minPollTimeout
	b.backoff = minBackoff
}

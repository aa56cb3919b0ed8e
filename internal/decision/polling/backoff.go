package polling

import (
	"math/rand/v2"
	"time"
)

const (
	minPollTimeout = time.Second // the first one; doubled by each failure
	maxPollTimeout = 4 * time.Second

	minBackoff = 250 * time.Millisecond // the first one; doubled by each failure
	maxBackoff = 1500 * time.Millisecond
)

// randomStream selects a random sequence that differs from those of other users of the same seed.
const randomStream = 0x70616365

// BackoffSettings holds the settings that operators may change.
type BackoffSettings struct {
	ConnectInterval time.Duration // mean time between attempts to connect
	PollCost        time.Duration // time that discovery needs to answer a poll of the full list
	MaxPollDelay    time.Duration // upper bound of FirstPollDelay
	BrokerCount     int
}

// Backoff decides when to poll a discovery service that has failed. It distinguishes two faults. A service that accepts no connections is
// tried often, at a constant rate, as an attempt costs it nothing. A service that accepts connections but does not answer in time is polled
// with exponential backoff, as each poll costs it work. A Backoff is used by one goroutine.
type Backoff struct {
	settings    BackoffSettings
	random      *rand.Rand
	pollTimeout time.Duration
	backoff     time.Duration
}

// NewBackoff returns a Backoff. Each broker needs a different seed, otherwise they all poll at the same time.
func NewBackoff(settings BackoffSettings, seed uint64) *Backoff {
	b := &Backoff{settings: settings, random: rand.New(rand.NewPCG(seed, randomStream))}
	b.PollSucceeded()
	return b
}

// between returns a random duration, uniformly distributed between from and to.
func (b *Backoff) between(from, to time.Duration) time.Duration {
	return from + time.Duration(b.random.Float64()*float64(to-from))
}

// ConnectDelay returns how long to wait after a failed attempt to connect before the next one.
func (b *Backoff) ConnectDelay() time.Duration {
	return b.between(b.settings.ConnectInterval/2, b.settings.ConnectInterval*3/2)
}

// FirstPollDelay returns how long to wait between connecting and the first poll. All brokers connect as soon as a service recovers, and
// would overload it if they all polled the full list at once.
func (b *Backoff) FirstPollDelay() time.Duration {
	spread := time.Duration(b.settings.BrokerCount) * b.settings.PollCost
	return b.between(0, min(b.settings.MaxPollDelay, spread))
}

// PollTimeout returns how long a poll may stay unanswered. The timeout is short at first, to detect a service that hangs, and doubles with
// each failure, so that a slow service can answer in the end.
func (b *Backoff) PollTimeout() time.Duration { return b.pollTimeout }

// PollFailed records that a poll was not answered or was rejected, and returns how long to wait before the next.
func (b *Backoff) PollFailed() time.Duration {
	delay := b.between(b.backoff/2, b.backoff)
	b.pollTimeout = min(maxPollTimeout, 2*b.pollTimeout)
	b.backoff = min(maxBackoff, 2*b.backoff)
	return delay
}

// PollSucceeded records that discovery answered a poll. It resets the timeout and the backoff.
func (b *Backoff) PollSucceeded() {
	b.pollTimeout = minPollTimeout
	b.backoff = minBackoff
}

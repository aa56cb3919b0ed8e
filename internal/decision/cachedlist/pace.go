package cachedlist

// This file owns when discovery is asked again after it could not be. Two things are told apart: a service that takes no
// connection, which is knocked at often, as that costs it nothing, and one that takes connections but does not answer in
// time, which is left alone ever longer, as each call costs it work that others wait for.

import (
	"math/rand/v2"
	"time"
)

const (
	limitFirst, limitMost = time.Second, 4 * time.Second                    // for an answer
	jamFirst, jamMost     = 250 * time.Millisecond, 1500 * time.Millisecond // between calls that were not answered
)

// BackoffSettings holds what operators may set.
type BackoffSettings struct {
	ConnectInterval time.Duration
	PollCost        time.Duration // what a call is taken to cost discovery
	MaxPollDelay    time.Duration
	BrokerCount     int
}

// Backoff tells when to ask. It is used by one goroutine.
type Backoff struct {
	pace  BackoffSettings
	rnd   *rand.Rand
	limit time.Duration
	jam   time.Duration
}

// NewBackoff makes a pacer; brokers that start together need different seeds.
func NewBackoff(p BackoffSettings, seed uint64) *Backoff {
	pc := &Backoff{pace: p, rnd: rand.New(rand.NewPCG(seed, 0x70616365))}
	pc.PollSucceeded()
	return pc
}

// between draws a time evenly.
func (p *Backoff) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.rnd.Float64()*float64(to-from))
}

// ConnectDelay is how long to wait before the next attempt to connect, after one was refused or did not come up.
func (p *Backoff) ConnectDelay() time.Duration {
	return p.between(p.pace.ConnectInterval/2, p.pace.ConnectInterval*3/2)
}

// FirstPollDelay is how long to wait with the call once a connection is up. Danger: all brokers have knocked for the same moment,
// and their calls, each for the whole list, would jam the service that has just come back.
func (p *Backoff) FirstPollDelay() time.Duration {
	return p.between(0, min(p.pace.MaxPollDelay, time.Duration(p.pace.BrokerCount)*p.pace.PollCost))
}

// PollTimeout is how long a call may go unanswered. It is short at first, as a service that accepts and says nothing is found
// out by that alone, and grows, so that one that is merely slow is heard in the end.
func (p *Backoff) PollTimeout() time.Duration { return p.limit }

// PollFailed takes it that a call was not answered, or refused for want of time, and tells how long to leave discovery alone.
func (p *Backoff) PollFailed() time.Duration {
	wait := p.between(p.jam/2, p.jam)
	p.limit, p.jam = min(limitMost, 2*p.limit), min(jamMost, 2*p.jam)
	return wait
}

// PollSucceeded takes it that discovery has answered.
func (p *Backoff) PollSucceeded() { p.limit, p.jam = limitFirst, jamFirst }

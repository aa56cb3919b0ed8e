package server

// This file owns the measure of how late this process gets to run. It must never sit on the way of a search.

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	delayInterval = 20 * time.Millisecond
	delaySamples  = 8 // the average reaches back over about so many
)

// delayMeter is a goroutine that is due each so often and sees how late it comes. Danger: an answer that stands ready in the kernel waits
// for a core before anybody can tell when it came, and that wait looks like the store's. Whatever keeps the pulse waiting keeps the
// readers waiting as well; what it can't tell is for which answer.
type delayMeter struct{ average atomic.Int64 }

// Average is how late this process comes round on average.
func (p *delayMeter) Average() time.Duration { return time.Duration(p.average.Load()) }

// run beats until ctx ends.
func (p *delayMeter) run(ctx context.Context) error {
	timer := time.NewTimer(delayInterval)
	defer timer.Stop()
	for due := time.Now().Add(delayInterval); ; due = time.Now().Add(delayInterval) {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		late := int64(max(0, time.Since(due)))
		p.average.Add((late - p.average.Load()) / delaySamples)
		timer.Reset(delayInterval)
	}
}

package server

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	delaySampleInterval  = 20 * time.Millisecond
	averagedDelaySamples = 8 // the average reaches back over about so many
)

// delayMeter measures how late this process gets to run, by a timer. An answer that lies ready in the kernel waits for a core before anybody
// can tell when it came, and that wait looks like the store's; what keeps the meter waiting keeps the readers of answers waiting as well. For
// which answer, the meter can't tell.
type delayMeter struct{ average atomic.Int64 }

// Average is how late this process runs on average. It may be called from any goroutine.
func (m *delayMeter) Average() time.Duration { return time.Duration(m.average.Load()) }

// run measures until ctx ends.
func (m *delayMeter) run(ctx context.Context) error {
	timer := time.NewTimer(delaySampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(delaySampleInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		late := int64(max(0, time.Since(due)))
		m.average.Add((late - m.average.Load()) / averagedDelaySamples)
		timer.Reset(delaySampleInterval)
	}
}

package server

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	delaySampleInterval  = 20 * time.Millisecond
	averagedDelaySamples = 8 // the moving average covers about this many samples
)

// delayMeter measures, by how late a timer fires, how long this process waits for a core. An answer that is ready in the kernel also waits
// for a core before its arrival can be timed, and that wait would look like a delay of the store. What delays the meter delays the readers of
// answers as well, but the meter can't tell which answers were delayed.
type delayMeter struct{ average atomic.Int64 }

// Average returns the moving average of the delay. It may be called from any goroutine.
func (m *delayMeter) Average() time.Duration { return time.Duration(m.average.Load()) }

// run takes a sample every delaySampleInterval until ctx ends.
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

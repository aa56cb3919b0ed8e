package server

// This file owns the measure of how late this process gets to run. It must never sit on the way of a search.

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	beat      = 20 * time.Millisecond
	beatsKept = 8 // the average reaches back over about so many
)

// pulse is a goroutine that is due each so often and sees how late it comes. Danger: an answer that stands ready in the kernel waits
// for a core before anybody can tell when it came, and that wait looks like the store's. Whatever keeps the pulse waiting keeps the
// readers waiting as well; what it can't tell is for which answer.
type pulse struct{ late atomic.Int64 }

// Late is how late this process comes round on average.
func (p *pulse) Late() time.Duration { return time.Duration(p.late.Load()) }

// run beats until ctx ends.
func (p *pulse) run(ctx context.Context) error {
	timer := time.NewTimer(beat)
	defer timer.Stop()
	for due := time.Now().Add(beat); ; due = time.Now().Add(beat) {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		late := int64(max(0, time.Since(due)))
		p.late.Add((late - p.late.Load()) / beatsKept)
		timer.Reset(beat)
	}
}

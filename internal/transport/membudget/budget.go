// Package membudget holds memory budgets that many connections share. Who receives bytes from outside reserves them from a budget before it keeps
// them, so that what all connections keep together is bounded, however many they are.
//
// It depends on no package of this module. Concurrency: all methods of a Budget may be called from any goroutine.
package membudget

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Budget is a number of bytes that accounts reserve parts of. A nil budget is unlimited.
type Budget struct {
	name      string
	size      int64
	free      *semaphore.Weighted
	used      atomic.Int64
	refused   atomic.Uint64 // reservations that failed
	exhausted atomic.Bool   // one has failed, and since then more than half has been in use
}

// Counters describe a budget.
type Counters struct {
	Size    int64  // bytes
	Used    int64  // bytes reserved now
	Refused uint64 // reservations that failed, since the start
}

// New returns a budget of a number of bytes. The name stands in log lines.
func New(name string, size int64) *Budget {
	return &Budget{name: name, size: size, free: semaphore.NewWeighted(size)}
}

// Counters returns the budget's counters.
func (b *Budget) Counters() Counters {
	return Counters{Size: b.size, Used: b.used.Load(), Refused: b.refused.Load()}
}

// tryReserve reserves bytes if they are free.
func (b *Budget) tryReserve(bytes int64) bool {
	if !b.free.TryAcquire(bytes) {
		b.refuse(bytes)
		return false
	}
	b.used.Add(bytes)
	return true
}

// reserve reserves bytes. If they are not free, it waits for them until the time that until returns.
func (b *Budget) reserve(bytes int64, until func() time.Time) bool {
	if b.free.TryAcquire(bytes) {
		b.used.Add(bytes)
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), until())
	defer cancel()
	if b.free.Acquire(ctx, bytes) != nil {
		b.refuse(bytes)
		return false
	}
	b.used.Add(bytes)
	return true
}

func (b *Budget) release(bytes int64) {
	used := b.used.Add(-bytes)
	b.free.Release(bytes)
	if used <= b.size/2 && b.exhausted.CompareAndSwap(true, false) {
		slog.Info("memory budget available again", "component", "memory", "budget", b.name, "used", used, "size", b.size, "refused", b.refused.Load())
	}
}

func (b *Budget) refuse(bytes int64) {
	b.refused.Add(1)
	if b.exhausted.CompareAndSwap(false, true) {
		slog.Warn("memory budget exhausted", "component", "memory", "budget", b.name, "wanted", bytes, "used", b.used.Load(), "size", b.size,
			"remedy", "look which clients send large requests or leave answers unread, or raise limits.memory_mb")
	}
}

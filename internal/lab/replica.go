package lab

// This file owns nodes as replicas of one writer's log, on sockets. It must never report more than the replica had applied at the
// moment at which it read.

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Writer is a log to which something is written, and acknowledged, at every microsecond: its position is the time.
type Writer struct{ startedAt time.Time }

// NewWriter begins a log. It is a minute old from the start, so that replicas may be behind.
func NewWriter() *Writer { return &Writer{time.Now().Add(-time.Minute)} }

// PositionAt is the position up to which all was acknowledged at a moment.
func (w *Writer) PositionAt(t time.Time) uint64 {
	return uint64(max(0, t.Sub(w.startedAt).Microseconds()))
}

// Replica applies a writer's log, somewhat later.
type Replica struct {
	writer    *Writer
	mu        sync.Mutex
	lag       time.Duration
	stalledAt time.Time // it has applied nothing since; zero: it applies
}

// MakeReplica has a node be a replica. What it makes of a part is the position that it had.
func (n *Node) MakeReplica(writer *Writer, lag time.Duration) *Replica {
	r := &Replica{writer: writer, lag: lag}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = r
	return r
}

// SetLag sets how far behind the replica is; what it had applied beyond that is lost, as after a restart from an older state.
func (r *Replica) SetLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag, r.stalledAt = lag, time.Time{}
}

// Stall has the replica apply nothing more until Behind.
func (r *Replica) Stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalledAt = time.Now()
}

// read is what the replica has at this moment, with its report.
func (r *Replica) read() (report, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	has := now.Add(-r.lag)
	if !r.stalledAt.IsZero() {
		has = r.stalledAt.Add(-r.lag)
	}
	age := (now.Sub(has) + time.Millisecond - 1) / time.Millisecond
	value = strconv.FormatUint(r.writer.PositionAt(has), 10)
	return fmt.Sprintf("p=%s;h=%d", value, age), value
}

package lab

// This file simulates replicas of one writer's log, on sockets. A replica must never report more than it had applied when it
// read.

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Writer is a log that gets an acknowledged write every microsecond: its position is the time.
type Writer struct{ startedAt time.Time }

// NewWriter returns a log that is already a minute old, so that replicas can lag behind it.
func NewWriter() *Writer { return &Writer{time.Now().Add(-time.Minute)} }

// PositionAt returns the position up to which writes were acknowledged at a time.
func (w *Writer) PositionAt(t time.Time) uint64 {
	return uint64(max(0, t.Sub(w.startedAt).Microseconds()))
}

// Replica applies a writer's log with a lag.
type Replica struct {
	writer    *Writer
	mu        sync.Mutex
	lag       time.Duration
	stalledAt time.Time // since when it has applied nothing; zero: it is not stalled
}

// MakeReplica makes the node a replica. Its value for a shard request is its position.
func (n *Node) MakeReplica(writer *Writer, lag time.Duration) *Replica {
	r := &Replica{writer: writer, lag: lag}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = r
	return r
}

// SetLag sets the replica's lag and ends a stall. Positions that it had applied beyond the lag are lost, as after a restart from
// an older state.
func (r *Replica) SetLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag, r.stalledAt = lag, time.Time{}
}

// Stall stops the replica from applying writes until SetLag.
func (r *Replica) Stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalledAt = time.Now()
}

// read returns the replica's position at this moment, with its load report.
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

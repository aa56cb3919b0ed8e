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
type Writer struct{ began time.Time }

// NewWriter begins a log. It is a minute old from the start, so that replicas may be behind.
func NewWriter() *Writer { return &Writer{time.Now().Add(-time.Minute)} }

// At is the position up to which all was acknowledged at a moment.
func (w *Writer) At(t time.Time) uint64 { return uint64(max(0, t.Sub(w.began).Microseconds())) }

// Replica applies a writer's log, somewhat later.
type Replica struct {
	w     *Writer
	mu    sync.Mutex
	lag   time.Duration
	stuck time.Time // it has applied nothing since; zero: it applies
}

// Replicate has a node be a replica. What it makes of a part is the position that it had.
func (n *Node) Replicate(w *Writer, lag time.Duration) *Replica {
	r := &Replica{w: w, lag: lag}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = r
	return r
}

// Behind sets how far behind the replica is; what it had applied beyond that is lost, as after a restart from an older state.
func (r *Replica) Behind(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag, r.stuck = lag, time.Time{}
}

// Stick has the replica apply nothing more until Behind.
func (r *Replica) Stick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stuck = time.Now()
}

// read is what the replica has at this moment, with its report.
func (r *Replica) read() (report, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	has := now.Add(-r.lag)
	if !r.stuck.IsZero() {
		has = r.stuck.Add(-r.lag)
	}
	age := (now.Sub(has) + time.Millisecond - 1) / time.Millisecond
	value = strconv.FormatUint(r.w.At(has), 10)
	return fmt.Sprintf("p=%s;h=%d", value, age), value
}

package clientconn

import (
	"sync"
	"time"

	"flaxfront/internal/decision/pacing"
	"flaxfront/internal/decision/reclaim"
)

// Limits are the limits of a set.
type Limits struct {
	Connections int           // open at once; up to Overflow more may be open for a moment
	Used        int           // open at once on which a request has arrived
	ReadGrace   time.Duration // for a request that has begun to arrive, and for a new connection: neither is reclaimed within it
}

// Overflow is how many connections may be open beyond the limit for a moment: those about to be closed, and those whose request is shed.
const Overflow = 8

// Info describes a connection at one moment.
type Info struct {
	State  reclaim.State
	Used   bool   // a whole request has arrived on it
	Ending Reason // why the broker ends it; StillOpen: it doesn't
}

// Set holds all connections of a front. Their number is limited by the file descriptors, even if many clients connect at once, open connections
// and send nothing, or send requests that never arrive whole. At the limit an idle or slow connection is closed for a new one. Where none can be,
// the new one is admitted beyond the limit and its request must be shed, up to Overflow connections; more wait in the kernel's queue. Clients
// that open connections long before they use them may find these closed.
type Set struct {
	limits        Limits
	capacity      chan struct{}
	displacements *pacing.Displacements

	mu      sync.Mutex
	open    map[*Conn]bool
	states  [reclaim.StateCount]int // open connections by state
	order   reclaim.Order
	ending  int       // open connections that the broker has decided to end
	paused  time.Time // until when no further connection should be accepted
	closing bool      // idle connections are closed at once
}

// NewSet returns an empty set.
func NewSet(limits Limits) *Set {
	return &Set{
		limits:        limits,
		capacity:      make(chan struct{}, 1),
		displacements: pacing.NewDisplacements(),
		open:          map[*Conn]bool{},
	}
}

// Capacity is signalled when a connection ends or becomes idle.
func (s *Set) Capacity() <-chan struct{} { return s.capacity }

// Admit adds a connection. It reports false if there is no capacity, not even beyond the limit. At the limit another connection is ended, unless
// enough are ending already.
func (s *Set) Admit(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	atLimit := len(s.open)-s.ending >= s.limits.Connections
	c.overLimit = atLimit && !s.reclaim()
	if len(s.open) >= s.limits.Connections+Overflow {
		return false
	}
	if len(s.open) >= s.limits.Connections {
		s.pauseAccepting()
	}
	s.open[c] = true
	s.states[reclaim.Idle]++
	s.order.Enter(&c.state, reclaim.Idle, time.Now())
	return true
}

// pauseAccepting records that a new connection has ended another. The caller holds the lock.
func (s *Set) pauseAccepting() {
	now := time.Now()
	s.paused = now.Add(s.displacements.Displaced(now))
}

// AcceptPause returns how long a front should wait before it accepts the next connection.
func (s *Set) AcceptPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.paused)
}

// BecomeIdle records that a connection waits for a request. It returns why the broker ends the connection, or StillOpen.
func (s *Set) BecomeIdle(c *Conn) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing && c.endReason == StillOpen {
		s.markEnding(c, Drained)
	}
	s.enter(c, reclaim.Idle)
	s.signalCapacity()
	return c.endReason
}

// StartReading records that a request has begun to arrive. It returns why the broker ends the connection, or StillOpen.
func (s *Set) StartReading(c *Conn) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(c, reclaim.Reading)
	return c.endReason
}

// StartAnswering records that a whole request has arrived. It returns why the broker ends the connection, or StillOpen.
func (s *Set) StartAnswering(c *Conn) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !c.state.Used()
	s.enter(c, reclaim.Busy)
	if first && s.end(s.order.OverUsed(s.limits.Used), Reclaimed) {
		s.pauseAccepting()
	}
	return c.endReason
}

// enter records that an open connection enters a state. The caller holds the lock.
func (s *Set) enter(c *Conn, state reclaim.State) {
	if s.open[c] {
		s.states[c.state.State()]--
		s.states[state]++
	}
	s.order.Enter(&c.state, state, time.Now())
}

// Count returns how many connections are open in a state.
func (s *Set) Count(state reclaim.State) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[state]
}

// State returns a connection's state.
func (s *Set) State(c *Conn) reclaim.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.state.State()
}

// EndReason returns why the broker ends a connection, or StillOpen.
func (s *Set) EndReason(c *Conn) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.endReason
}

// Remove removes a connection that has ended.
func (s *Set) Remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[c] {
		s.states[c.state.State()]--
		if c.endReason != StillOpen {
			s.ending--
		}
	}
	delete(s.open, c)
	s.order.Remove(&c.state)
	s.signalCapacity()
}

// CloseIdle ends all idle connections, and from now on each connection that becomes idle.
func (s *Set) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.open {
		if c.state.State() == reclaim.Idle && c.endReason == StillOpen {
			s.end(&c.state, Drained)
		}
	}
}

// Reclaim ends one connection to free its descriptor, an idle one first, and reports whether there was one to end.
func (s *Set) Reclaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reclaim()
}

func (s *Set) reclaim() bool {
	return s.end(s.order.ForNew(time.Now(), s.limits.ReadGrace), Reclaimed)
}

// end makes a connection end, and wakes its reader. It reports whether there is one. The caller holds the lock.
func (s *Set) end(state *reclaim.Connection, reason Reason) bool {
	if state == nil {
		return false
	}
	c := state.Owner.(*Conn)
	s.markEnding(c, reason)
	c.interrupt()
	return true
}

// markEnding records that the broker has decided to end a connection that it has not decided to end before. The caller holds the lock.
func (s *Set) markEnding(c *Conn, reason Reason) {
	c.endReason = reason
	s.ending++
	s.order.MarkEnding(&c.state)
}

func (s *Set) signalCapacity() {
	select {
	case s.capacity <- struct{}{}:
	default:
	}
}

// Snapshot returns the open connections, in no particular order.
func (s *Set) Snapshot() (all []Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		all = append(all, Info{State: c.state.State(), Used: c.state.Used(), Ending: c.endReason})
	}
	return all
}

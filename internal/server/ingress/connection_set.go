package ingress

import (
	"sync"
	"time"
)

// connectionSet holds all client connections and their states. Their number is limited by the file descriptors, even if many clients
// connect at once, open connections and send nothing, or send requests that never arrive whole. At the limit an idle or slow connection
// is closed for a new one (reclaim). Where none can be, the new one is admitted beyond the limit and its query is shed, up to Overflow
// connections; more wait in the kernel's queue. Clients that open connections long before they use them may find these closed.
type connectionSet struct {
	limits   Limits
	capacity chan struct{} // signalled when a connection ends or becomes idle

	mu       sync.Mutex
	open     map[*connection]bool
	closing  bool // idle connections are closed at once
	logLimit logLimit
}

func newConnectionSet(limits Limits) connectionSet {
	return connectionSet{
		limits:   limits,
		capacity: make(chan struct{}, 1),
		open:     map[*connection]bool{},
	}
}

// admit adds a connection. It reports false if there is no capacity, not even beyond the limit.
func (s *connectionSet) admit(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setState(StateIdle)
	if excess := len(s.open) - s.limits.Connections; excess >= 0 {
		freed := s.reclaim()
		if excess >= Overflow {
			return false
		}
		c.overLimit = !freed
	}
	s.open[c] = true
	return true
}

// becomeIdle records that a connection waits for a request. It returns why the broker ends the connection, or stillOpen.
func (s *connectionSet) becomeIdle(c *connection) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setState(StateIdle)
	if s.closing && c.endReason == stillOpen {
		c.endReason = Drained
	}
	s.signalCapacity()
	return c.endReason
}

// startReading records that a request has begun to arrive. It returns why the broker ends the connection, or stillOpen.
func (s *connectionSet) startReading(c *connection) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setState(StateReading)
	return c.endReason
}

// startAnswering records that a whole request has arrived. It returns why the broker ends the connection, or stillOpen.
func (s *connectionSet) startAnswering(c *connection) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setState(StateBusy)
	if !c.used {
		c.used = true
		s.enforceUsedLimit()
	}
	return c.endReason
}

// endReasonOf returns why the broker ends a connection, or stillOpen.
func (s *connectionSet) endReasonOf(c *connection) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.endReason
}

// remove removes a connection that has ended, and decides whether its end is logged.
func (s *connectionSet) remove(c *connection) logDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.signalCapacity()
	if c.hadQuery {
		return logDecision{write: true}
	}
	return s.logLimit.allow(time.Now())
}

// closeIdle ends all idle connections, and from now on each connection that becomes idle.
func (s *connectionSet) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.open {
		if c.state == StateIdle && c.endReason == stillOpen {
			c.end(Drained)
		}
	}
}

func (s *connectionSet) signalCapacity() {
	select {
	case s.capacity <- struct{}{}:
	default:
	}
}

func (s *connectionSet) snapshot() (all []ConnectionInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		all = append(all, ConnectionInfo{State: c.state, Used: c.used, Ending: c.endReason})
	}
	return all
}

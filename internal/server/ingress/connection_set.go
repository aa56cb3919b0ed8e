package ingress

import (
	"sync"
	"time"
)

// connectionSet is all client connections and their states. Their number is bounded by the descriptors, whether clients crowd in, open
// connections and say nothing, or send requests that never arrive whole. At the limit a connection that can be spared is closed for a
// new one. Where none can, the new one is admitted beyond the limit, to be told to come back; beyond Overflow new ones wait in the
// kernel. Clients that open connections long before they use them may find these closed.
type connectionSet struct {
	limits   Limits
	capacity chan struct{} // signalled when a connection ends or falls idle

	mu       sync.Mutex
	open     map[*connection]bool
	closing  bool // idle ones are closed at once
	logLimit logLimit
}

func newConnectionSet(limits Limits) connectionSet {
	return connectionSet{
		limits:   limits,
		capacity: make(chan struct{}, 1),
		open:     map[*connection]bool{},
	}
}

// admit adds a connection; false: there is no capacity.
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

// becomeIdle notes that a connection waits for a request, and returns why this side ends it, if it does.
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

// startReading notes that a request has begun, and returns why this side ends the connection, if it does.
func (s *connectionSet) startReading(c *connection) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setState(StateReading)
	return c.endReason
}

// startAnswering notes that a request has come whole, and returns why this side ends the connection, if it does.
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

// endReasonOf returns why this side ends a connection, if it does.
func (s *connectionSet) endReasonOf(c *connection) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.endReason
}

// remove drops a connection that has ended.
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

// closeIdle ends the idle connections, now and whenever one falls idle.
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

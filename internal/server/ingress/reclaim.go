package ingress

import "time"

// reclaim ends the connection that has been idle for longest, or where none is idle the one whose request has been arriving for longest,
// and tells whether there was one. A new connection, and a request that arrives, have the read grace. The caller holds mu.
func (s *connectionSet) reclaim() bool {
	return s.endLongest(func(c *connection) bool {
		idle := c.state == StateIdle && c.used
		overdue := c.state != StateBusy && time.Since(c.stateSince) > s.limits.ReadGrace
		return idle || overdue
	})
}

// enforceUsedLimit ends the connection that has been idle for longest where too many have brought a request. The protocol lets clients hold a
// third of the descriptors for requests: with idle connections that they don't use again they would run out of them while this side
// still has capacity, and their next requests would never leave. Clients that come back seldom pay with a new connection each time.
// The caller holds mu.
func (s *connectionSet) enforceUsedLimit() {
	used := 0
	for c := range s.open {
		if c.used && c.endReason == stillOpen {
			used++
		}
	}
	if used > s.limits.Used {
		s.endLongest(func(c *connection) bool { return c.state == StateIdle && c.used })
	}
}

// endLongest ends, of the connections that qualify, the one in the first of the states, and for longest in it; false: there is none. The
// caller holds mu.
func (s *connectionSet) endLongest(qualifies func(*connection) bool) bool {
	var first *connection
	for c := range s.open {
		if c.endReason == stillOpen && qualifies(c) && (first == nil || c.reclaimedBefore(first)) {
			first = c
		}
	}
	if first == nil {
		return false
	}
	first.end(Reclaimed)
	return true
}

// reclaimedBefore orders connections by how well their descriptors can be spared.
func (c *connection) reclaimedBefore(o *connection) bool {
	if c.state != o.state {
		return c.state < o.state
	}
	return c.stateSince.Before(o.stateSince)
}

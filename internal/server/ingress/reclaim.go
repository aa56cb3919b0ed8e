package ingress

import "time"

// reclaim ends the connection that has been idle for longest or, if none is idle, the one whose request has been arriving for longest. It
// reports whether there was one. New connections and arriving requests are exempt for the read grace. The caller holds mu.
func (s *connectionSet) reclaim() bool {
	return s.endLongest(func(c *connection) bool {
		idle := c.state == StateIdle && c.used
		overdue := c.state != StateBusy && time.Since(c.stateSince) > s.limits.ReadGrace
		return idle || overdue
	})
}

// enforceUsedLimit ends the connection that has been idle for longest if a request has arrived on more than Limits.Used connections. The
// protocol lets clients use a third of their descriptors for requests: idle connections that they don't use again would take these up
// while the broker still has capacity, and their next requests would never be sent. Clients that send requests seldom pay with a new
// connection for each. The caller holds mu.
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

// endLongest ends one of the connections that qualify: of those in the lowest state, the one that has been in it for longest. It reports
// false if none qualifies. The caller holds mu.
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

// reclaimedBefore reports whether c is reclaimed before o: the lower state first, then the one longer in its state.
func (c *connection) reclaimedBefore(o *connection) bool {
	if c.state != o.state {
		return c.state < o.state
	}
	return c.stateSince.Before(o.stateSince)
}

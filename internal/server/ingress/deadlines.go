package ingress

import "time"

// requestTimeout is the time in which a request must be whole: the first one of a connection from when that was accepted, a later one
// from its first byte. The protocol owes a client that sends none an error or a close 3 s after connecting.
const requestTimeout = 2500 * time.Millisecond

// firstByteDeadline is when the next request of a connection must have begun.
func (in *Ingress) firstByteDeadline(c *connection) time.Time {
	if c.requests == 0 {
		return c.opened.Add(requestTimeout)
	}
	return time.Now().Add(in.broker.Settings().Idle)
}

// requestDeadline is when a request whose first byte is there must have come whole, however slowly its bytes go on coming.
func (in *Ingress) requestDeadline(c *connection) time.Time {
	grace := in.options.ReadGrace
	switch {
	case c.overLimit:
		return time.Now().Add(grace)
	case c.requests == 0:
		late := time.Since(c.opened) + grace // a request that began late has the grace
		return c.opened.Add(max(requestTimeout, late))
	default:
		return time.Now().Add(min(in.broker.Settings().LongestTimeout(), requestTimeout))
	}
}

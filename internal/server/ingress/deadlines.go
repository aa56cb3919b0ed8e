package ingress

import "time"

// requestTimeout is how long a whole request may take to arrive: the first one of a connection from when the connection was accepted, a
// later one from its first byte. By the protocol a client that sends no request gets an error or a close within 3 s of connecting.
const requestTimeout = 2500 * time.Millisecond

// firstByteDeadline returns when the first byte of a connection's next request must have arrived.
func (in *Ingress) firstByteDeadline(c *connection) time.Time {
	if c.requests == 0 {
		return c.opened.Add(requestTimeout)
	}
	return time.Now().Add(in.broker.Settings().Idle)
}

// requestDeadline returns when a request whose first byte has arrived must be whole, however slowly its bytes arrive.
func (in *Ingress) requestDeadline(c *connection) time.Time {
	grace := in.options.ReadGrace
	switch {
	case c.state.OverLimit():
		return time.Now().Add(grace)
	case c.requests == 0:
		late := time.Since(c.opened) + grace // a request that began late still has the read grace
		return c.opened.Add(max(requestTimeout, late))
	default:
		return time.Now().Add(min(in.broker.Settings().LongestTimeout(), requestTimeout))
	}
}

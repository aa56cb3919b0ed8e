package reclaim

// queue is a list of connections, sorted by the time at which they entered their state, the earliest first. The links are in the connections, so
// that a change of state allocates nothing.
type queue struct{ first, last *Connection }

// append adds a connection that is in no queue.
func (q *queue) append(c *Connection) {
	c.queue = q
	c.previous = q.last
	if q.last != nil {
		q.last.next = c
	} else {
		q.first = c
	}
	q.last = c
}

// leave removes the connection from its queue, if it is in one.
func (c *Connection) leave() {
	q := c.queue
	if q == nil {
		return
	}
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		q.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		q.last = c.previous
	}
	c.queue = nil
	c.previous = nil
	c.next = nil
}

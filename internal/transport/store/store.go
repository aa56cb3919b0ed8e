// Package store sends attempts of shard requests to the nodes. It manages the connections: it dials, assigns attempts to connections,
// closes idle ones, and reports how each attempt ended. The event loop's goroutine calls every method of Pool; one goroutine per connection
// dials and reads, and only posts events. The package must never choose a node, delay an attempt or send one twice, and it never blocks on a
// socket: a connection whose node does not take a frame at once is closed.
//
// Depends on decision, transport/membudget.
package store

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/transport/membudget"
)

// Subrequest is one attempt of a shard request. The loop passes it to the pool, which reports its end exactly once.
type Subrequest struct {
	ID       string // of the shard request, as sent to the node
	Shard    int
	Text     string
	Deadline time.Duration // when it times out
	Sent     time.Duration // when the loop sent it

	Subrequest uint64 // the router's id of the shard request
	Attempt    uint16
	Node       decision.NodeID
	Exclusive  bool          // its call shares a connection with no other while the limit allows a new one
	Tenant     int           // index; with a Budget, it uses only this tenant's and shared connections
	ReadPin    uint64        // used by the loop only
	Earlier    []*Subrequest // the shard request's earlier attempts; it never shares a connection with one that was written
	Report     string        // the load report that came with the answer, after KeepReports
	// Memory holds the bytes of the answer's value until Close; nil: it is small. attemptEnded has to close it.
	Memory *membudget.Account

	conn     *conn
	position int // its index in conn.inFlight.attempts
	written  bool
	ended    bool
}

// Limits are the limits and timeouts of connections.
type Limits struct {
	Streams int           // attempts in flight on one connection
	Idle    time.Duration // idle time after which nodes close a connection
	Dial    time.Duration // within which a connection must be established, and a frame that has begun must be complete
	Silent  time.Duration // time without any answer to what was sent, after which an idle connection counts as dead
	Conns   int           // open connections to all nodes together
}

// Counts count what was sent and received over the connections: Calls are the frames that carried attempts, Parts the attempts in them.
// Operators read its fields as JSON under these names.
type Counts struct {
	Dials, Ended, Calls, Parts, Cancels uint64
	Served, Broke, Skipped              uint64
	Late                                uint64 // answers to attempts that were cancelled or timed out
	Bad                                 uint64 // malformed and incomplete frames, and answers to attempts that are not in flight
}

// Pool manages the connections to all nodes.
type Pool struct {
	Counts         Counts
	ProbeEnded     func(id decision.NodeID, how decision.Outcome, took time.Duration) // called with the outcome of each probe
	ctx            context.Context
	limits         Limits
	dialer         Dialer
	since          func() time.Duration
	startGoroutine func(func() error)
	post           func(Event)
	attemptEnded   func(p *Subrequest, how decision.Outcome, at time.Duration, value string)
	nodes          map[decision.NodeID]*node
	nodeOrder      []*node // in the order in which they were first set
	conns          int
	buf            []byte
	carrier        Carrier       // nil: the dialer is used
	nextSweep      time.Duration // Sweep has nothing to do earlier

	keepReports  bool              // load reports of answers are kept
	budget       Budget            // nil: only limits apply
	answerBudget *membudget.Budget // for large values of answers; nil: unlimited
}

type node struct {
	id        decision.NodeID
	name      string
	unlisted  bool // removed from the endpoint list; it is deleted with its last connection
	addr      netip.AddrPort
	startedAt time.Duration
	conns     []*conn
}

// NewPool returns a pool. startGoroutine starts its goroutines, which end with ctx. post posts an event to the loop, which passes it to
// HandleEvent. attemptEnded is called in the loop when an attempt has ended.
func NewPool(ctx context.Context, limits Limits, dialer Dialer, since func() time.Duration, startGoroutine func(func() error),
	post func(Event), attemptEnded func(*Subrequest, decision.Outcome, time.Duration, string)) *Pool {
	return &Pool{ctx: ctx, limits: limits, dialer: dialer, since: since, startGoroutine: startGoroutine, post: post, attemptEnded: attemptEnded,
		nodes: map[decision.NodeID]*node{}}
}

// KeepReports makes the pool keep nodes' load reports in Subrequest.Report. It must be called before anything is sent.
func (p *Pool) KeepReports() { p.keepReports = true }

// SetAnswerBudget sets the memory that large values of answers share. It must be called before anything is sent.
func (p *Pool) SetAnswerBudget(b *membudget.Budget) { p.answerBudget = b }

// SetNode sets a node's address and start time. Connections to an earlier start are closed, and so are idle ones to another address.
// Attempts that wait for a connection to an earlier start end as never sent.
func (p *Pool) SetNode(id decision.NodeID, name string, addr netip.AddrPort, startedAt time.Duration) {
	n := p.nodes[id]
	if n == nil {
		n = &node{id: id, name: name, addr: addr, startedAt: startedAt}
		p.nodes[id] = n
		p.nodeOrder = append(p.nodeOrder, n)
	}
	n.unlisted = false
	n.addr = addr // connections to the old one keep their attempts in flight, and get no new ones
	p.closeWhere(n, "moved", func(c *conn) bool { return c.addr != addr && c.inFlight.len() == 0 })
	if startedAt > n.startedAt {
		n.startedAt = startedAt
		p.closeWhere(n, "restarted", func(c *conn) bool { return c.up != nil && c.dialed < startedAt })
		p.endQueued(n)
	}
}

// UpdateLimits replaces the limits, except that on the number of connections.
func (p *Pool) UpdateLimits(streams int, idle, dial, silent time.Duration) {
	p.limits.Streams, p.limits.Idle, p.limits.Dial, p.limits.Silent = streams, idle, dial, silent
	p.nextSweep = 0
}

// Probe checks whether a node is reachable, and calls ProbeEnded with the outcome. The protocol has no frame for it, so the check succeeds
// if a connection is up or can be established. If none may be opened, ProbeEnded is called at once with decision.OK, which proves nothing.
func (p *Pool) Probe(id decision.NodeID) {
	n := p.nodes[id]
	if n == nil {
		p.ProbeEnded(id, decision.ConnectFailed, 0)
		return
	}
	var connecting *conn
	for _, c := range n.conns {
		switch {
		case c.addr != n.addr || c.retired:
		case c.up != nil:
			p.ProbeEnded(id, decision.OK, 0)
			return
		default:
			connecting = c
		}
	}
	if connecting == nil && p.conns >= p.limits.Conns {
		p.ProbeEnded(id, decision.OK, 0)
		return
	}
	if connecting == nil {
		openDecision := p.openDecision(n, 0)
		if openDecision == Denied {
			p.ProbeEnded(id, decision.OK, 0)
			return
		}
		connecting = p.dial(n, 0, openDecision == OpenShared)
	}
	connecting.probePending = true
}

// RemoveNode removes a node that is no longer listed. Attempts in flight continue; after the last one the node is deleted.
func (p *Pool) RemoveNode(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		n.unlisted, p.nextSweep = true, 0
		p.endQueued(n)
		p.CloseIdle(id, "gone")
	}
}

// Send sends attempts to a node as one call, which is one frame. The pool keeps the slice.
func (p *Pool) Send(id decision.NodeID, attempts []*Subrequest) {
	n := p.nodes[id]
	if n == nil {
		p.end(attempts, decision.NeverSent)
		return
	}
	for {
		c := p.selectConn(n, attempts)
		if c == nil && p.budget != nil {
			p.end(attempts, decision.NeverSent) // not the node's fault: the budget allows no connection
			return
		}
		if c == nil {
			p.end(attempts, decision.ConnectFailed)
			return
		}
		for _, attempt := range attempts {
			attempt.conn = c
			c.inFlight.add(attempt)
			p.nextSweep = min(p.nextSweep, attempt.Deadline)
		}
		if c.up == nil {
			c.queue = append(c.queue, attempts)
			return
		}
		if err := p.writeCall(c, attempts); err == nil || errors.Is(err, errWriteBlocked) {
			return
		}
		// The node had closed the connection before a byte was written: the attempts are sent over another one.
	}
}

// Nodes returns the number of nodes, including removed ones that still have a connection.
func (p *Pool) Nodes() int { return len(p.nodes) }

// InFlight returns the number of attempts in flight, including those that wait for a connection.
func (p *Pool) InFlight() (n int) {
	for _, node := range p.nodeOrder {
		for _, c := range node.conns {
			n += c.inFlight.len()
		}
	}
	return n
}

// OpenConnections returns the number of connections, including those being established.
func (p *Pool) OpenConnections() int { return p.conns }

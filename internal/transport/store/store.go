// Package store carries sub-requests to the nodes. It owns the connections: dialling, which parts are out on which
// one, the end of those that idle, and how each part ended. One goroutine, the loop's, calls every method of Pool;
// a goroutine a connection dials and reads, and only delivers. It must never choose a node, hold a part back or send
// one twice, and it never waits for a socket: a node that does not take a frame at once loses the connection.
//
// Depends on decision.
package store

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"flaxfront/internal/decision"
)

// Subrequest is one sub-request. The loop hands it over and gets it back, ended, exactly once.
type Subrequest struct {
	ID       string // as the node is told it
	Shard    int
	Text     string
	Deadline time.Duration // nobody waits beyond this
	Sent     time.Duration // when it was handed over

	Subrequest uint64 // what the module calls it
	Attempt    uint16
	Node       decision.NodeID
	Exclusive  bool   // its call shares a connection with no other while there are descriptors
	Tenant     int    // whose connections it may use, where they are divided
	ReadPin    uint64 // the loop's own
	Report     string // what the node said beside the answer, where reports are kept

	conn     *conn
	position int // its place among those that are out there
	written  bool
	ended    bool
}

// Limits bound the connections.
type Limits struct {
	Streams int           // parts a connection carries at once
	Idle    time.Duration // nodes close a connection that idled so long
	Dial    time.Duration // a connection that is not up by then has failed, and so has a frame that is not whole
	Silent  time.Duration // a connection that owed answers so long and said nothing is taken for dead
	Conns   int           // over all nodes
}

// Counts tell what went over the connections.
type Counts struct {
	Dials, Ended, Calls, Parts, Cancels uint64
	Served, Broke, Skipped              uint64
	Late                                uint64 // answers to parts that were called off
	Bad                                 uint64 // frames that made no sense or were never whole
}

// Pool holds the connections to all nodes.
type Pool struct {
	Counts         Counts
	ProbeEnded     func(id decision.NodeID, how decision.Outcome, took time.Duration) // takes the end of each probe
	ctx            context.Context
	limits         Limits
	dialer         Dialer
	since          func() time.Duration
	startGoroutine func(func() error)
	post           func(Event)
	attemptEnded   func(p *Subrequest, how decision.Outcome, at time.Duration, value string)
	nodes          map[decision.NodeID]*node
	nodeOrder      []*node // as first listed
	conns          int
	buf            []byte
	carrier        Carrier       // nil: sockets
	nextSweep      time.Duration // nothing is due before

	keepReports bool   // of answers are kept
	budget      Budget // nil: Limits alone bound
}

type node struct {
	id        decision.NodeID
	name      string
	unlisted  bool // the list ended it; forgotten with its last connection
	addr      netip.AddrPort
	startedAt time.Duration
	conns     []*conn
}

// NewPool makes a pool. Goroutines run under start and end with ctx; post delivers to the loop, ended tells it.
func NewPool(ctx context.Context, limits Limits, dialer Dialer, since func() time.Duration, startGoroutine func(func() error),
	post func(Event), attemptEnded func(*Subrequest, decision.Outcome, time.Duration, string)) *Pool {
	return &Pool{ctx: ctx, limits: limits, dialer: dialer, since: since, startGoroutine: startGoroutine, post: post, attemptEnded: attemptEnded,
		nodes: map[decision.NodeID]*node{}}
}

// KeepReports has parts come back with what nodes report beside the answer. It is called before anything is sent.
func (p *Pool) KeepReports() { p.keepReports = true }

// SetNode tells where a node listens and when it started. What was opened to an older start or elsewhere is closed.
func (p *Pool) SetNode(id decision.NodeID, name string, addr netip.AddrPort, startedAt time.Duration) {
	n := p.nodes[id]
	if n == nil {
		n = &node{id: id, name: name, addr: addr, startedAt: startedAt}
		p.nodes[id] = n
		p.nodeOrder = append(p.nodeOrder, n)
	}
	n.unlisted = false
	n.addr = addr // what goes to an older one carries on with what it has, and gets nothing new
	p.closeWhere(n, "moved", func(c *conn) bool { return c.addr != addr && c.inFlight.len() == 0 })
	if startedAt > n.startedAt {
		n.startedAt = startedAt
		p.closeWhere(n, "restarted", func(c *conn) bool { return c.up != nil && c.dialed < startedAt })
		p.endQueued(n)
	}
}

// UpdateLimits has the pool go on under other times and streams; how many connections it may hold stays.
func (p *Pool) UpdateLimits(streams int, idle, dial, silent time.Duration) {
	p.limits.Streams, p.limits.Idle, p.limits.Dial, p.limits.Silent = streams, idle, dial, silent
	p.nextSweep = 0
}

// Probe asks a node for a sign of life, and Probed tells what came. The protocol has no word for it: a connection that is up,
// or that comes up, is the sign. Where none may be opened the answer comes at once and tells nothing.
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

// RemoveNode takes a node out that the list ended. What is out carries on; then it is forgotten.
func (p *Pool) RemoveNode(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		n.unlisted, p.nextSweep = true, 0
		p.endQueued(n)
		p.CloseIdle(id, "gone")
	}
}

// Send writes the parts to a node as one call. The slice is the pool's from here on.
func (p *Pool) Send(id decision.NodeID, attempts []*Subrequest) {
	n := p.nodes[id]
	if n == nil {
		p.end(attempts, decision.NeverSent)
		return
	}
	for {
		c := p.selectConn(n, attempts)
		if c == nil && p.budget != nil {
			p.end(attempts, decision.NeverSent) // the node is not to blame
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
		// The node had ended the connection before a byte was written: the parts go over another.
	}
}

// Nodes tells how many nodes are known, those included that only their last parts keep.
func (p *Pool) Nodes() int { return len(p.nodes) }

// InFlight tells how many parts are out.
func (p *Pool) InFlight() (n int) {
	for _, node := range p.nodeOrder {
		for _, c := range node.conns {
			n += c.inFlight.len()
		}
	}
	return n
}

// OpenConnections tells how many connections there are.
func (p *Pool) OpenConnections() int { return p.conns }

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

// Part is one sub-request. The loop hands it over and gets it back, ended, exactly once.
type Part struct {
	ID       string // as the node is told it
	Shard    int
	Text     string
	Deadline time.Duration // nobody waits beyond this
	Sent     time.Duration // when it was handed over

	Part    uint64 // what the module calls it
	Attempt uint16
	Node    decision.NodeID
	Alone   bool   // its call shares a connection with no other while there are descriptors
	Tenant  int    // whose connections it may use, where they are divided
	Tag     uint64 // the loop's own
	Report  string // what the node said beside the answer, where reports are kept

	conn    *conn
	at      int // its place among those that are out there
	written bool
	over    bool
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
	Counts Counts
	Probed func(id decision.NodeID, how decision.Outcome, took time.Duration) // takes the end of each probe
	ctx    context.Context
	limits Limits
	open   Dialer
	since  func() time.Duration
	start  func(func() error)
	post   func(Event)
	ended  func(p *Part, how decision.Outcome, at time.Duration, value string)
	nodes  map[decision.NodeID]*node
	order  []*node // as first listed
	conns  int
	buf    []byte
	carry  Carrier       // nil: sockets
	due    time.Duration // nothing is due before

	reports bool   // of answers are kept
	budget  Budget // nil: Limits alone bound
}

type node struct {
	id    decision.NodeID
	name  string
	gone  bool // the list ended it; forgotten with its last connection
	addr  netip.AddrPort
	boot  time.Duration
	conns []*conn
}

// NewPool makes a pool. Goroutines run under start and end with ctx; post delivers to the loop, ended tells it.
func NewPool(ctx context.Context, limits Limits, open Dialer, since func() time.Duration, start func(func() error),
	post func(Event), ended func(*Part, decision.Outcome, time.Duration, string)) *Pool {
	return &Pool{ctx: ctx, limits: limits, open: open, since: since, start: start, post: post, ended: ended,
		nodes: map[decision.NodeID]*node{}}
}

// KeepReports has parts come back with what nodes report beside the answer. It is called before anything is sent.
func (p *Pool) KeepReports() { p.reports = true }

// Point tells where a node listens and when it started. What was opened to an older start or elsewhere is closed.
func (p *Pool) Point(id decision.NodeID, name string, addr netip.AddrPort, boot time.Duration) {
	n := p.nodes[id]
	if n == nil {
		n = &node{id: id, name: name, addr: addr, boot: boot}
		p.nodes[id] = n
		p.order = append(p.order, n)
	}
	n.gone = false
	n.addr = addr // what goes to an older one carries on with what it has, and gets nothing new
	p.closeWhere(n, "moved", func(c *conn) bool { return c.addr != addr && c.out.len() == 0 })
	if boot > n.boot {
		n.boot = boot
		p.closeWhere(n, "restarted", func(c *conn) bool { return c.up != nil && c.dialed < boot })
		p.withhold(n)
	}
}

// Retune has the pool go on under other times and streams; how many connections it may hold stays.
func (p *Pool) Retune(streams int, idle, dial, silent time.Duration) {
	p.limits.Streams, p.limits.Idle, p.limits.Dial, p.limits.Silent = streams, idle, dial, silent
	p.due = 0
}

// Probe asks a node for a sign of life, and Probed tells what came. The protocol has no word for it: a connection that is up,
// or that comes up, is the sign. Where none may be opened the answer comes at once and tells nothing.
func (p *Pool) Probe(id decision.NodeID) {
	n := p.nodes[id]
	if n == nil {
		p.Probed(id, decision.ConnectFailed, 0)
		return
	}
	var rising *conn
	for _, c := range n.conns {
		switch {
		case c.addr != n.addr || c.retired:
		case c.up != nil:
			p.Probed(id, decision.OK, 0)
			return
		default:
			rising = c
		}
	}
	if rising == nil && p.conns >= p.limits.Conns {
		p.Probed(id, decision.OK, 0)
		return
	}
	if rising == nil {
		leave := p.leave(n, 0)
		if leave == No {
			p.Probed(id, decision.OK, 0)
			return
		}
		rising = p.dial(n, 0, leave == Floor)
	}
	rising.probed = true
}

// Drop takes a node out that the list ended. What is out carries on; then it is forgotten.
func (p *Pool) Drop(id decision.NodeID) {
	if n := p.nodes[id]; n != nil {
		n.gone, p.due = true, 0
		p.withhold(n)
		p.CloseIdle(id, "gone")
	}
}

// Send writes the parts to a node as one call. The slice is the pool's from here on.
func (p *Pool) Send(id decision.NodeID, parts []*Part) {
	n := p.nodes[id]
	if n == nil {
		p.end(parts, decision.NeverSent)
		return
	}
	for {
		c := p.choose(n, parts)
		if c == nil && p.budget != nil {
			p.end(parts, decision.NeverSent) // the node is not to blame
			return
		}
		if c == nil {
			p.end(parts, decision.ConnectFailed)
			return
		}
		for _, part := range parts {
			part.conn = c
			c.out.add(part)
			p.due = min(p.due, part.Deadline)
		}
		if c.up == nil {
			c.queue = append(c.queue, parts)
			return
		}
		if err := p.call(c, parts); err == nil || errors.Is(err, errStuck) {
			return
		}
		// The node had ended the connection before a byte was written: the parts go over another.
	}
}

// Nodes tells how many nodes are known, those included that only their last parts keep.
func (p *Pool) Nodes() int { return len(p.nodes) }

// Out tells how many parts are out.
func (p *Pool) Out() (n int) {
	for _, node := range p.order {
		for _, c := range node.conns {
			n += c.out.len()
		}
	}
	return n
}

// Open tells how many connections there are.
func (p *Pool) Open() int { return p.conns }

// Package store carries sub-requests to the nodes. It owns the connections: dialling, which parts are out on which
// one, the end of those that idle, and how each part ended. One goroutine, the loop's, calls every method of Pool;
// a goroutine a connection dials and reads, and only delivers. It must never choose a node, hold a part back or send
// one twice, and it never waits for a socket: a node that does not take a frame at once loses the connection.
package store

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"flaxfront/broker"
)

var (
	errFrame = errors.New("bad frame")
	errStuck = errors.New("takes no more bytes")
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
	Node    broker.NodeID
	Alone   bool // its call shares a connection with no other while there are descriptors

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

// Conn is a connection to a node. TryWrite hands over what it takes at once and returns how much that is.
type Conn interface {
	io.ReadCloser
	SetReadDeadline(t time.Time) error
	TryWrite(b []byte) (int, error)
}

// Dialer opens a connection.
type Dialer func(ctx context.Context, addr string, within time.Duration) (Conn, error)

// Counts tell what went over the connections.
type Counts struct {
	Dials, Ended, Calls, Parts, Cancels uint64
	Served, Broke, Skipped              uint64
	Late                                uint64 // answers to parts that were called off
	Bad                                 uint64 // frames that made no sense or were never whole
}

// Event is what a connection's goroutine delivers to the loop.
type Event struct {
	conn   *conn
	kind   eventKind
	at     time.Duration
	up     Conn
	answer Answer
	err    error
}

type eventKind uint8

const (
	up eventKind = iota
	answered
	down
)

// Pool holds the connections to all nodes.
type Pool struct {
	Counts Counts
	Probed func(id broker.NodeID, how broker.Outcome, took time.Duration) // takes the end of each probe
	ctx    context.Context
	limits Limits
	open   Dialer
	since  func() time.Duration
	start  func(func() error)
	post   func(Event)
	ended  func(p *Part, how broker.Outcome, at time.Duration, value string)
	nodes  map[broker.NodeID]*node
	order  []*node // as first listed
	conns  int
	buf    []byte
	carry  Carrier       // nil: sockets
	due    time.Duration // nothing is due before
}

type node struct {
	id    broker.NodeID
	name  string
	gone  bool // the list ended it; forgotten with its last connection
	addr  netip.AddrPort
	boot  time.Duration
	conns []*conn
}

type conn struct {
	node   *node
	addr   netip.AddrPort
	up     Conn // nil until it is up
	cancel context.CancelFunc
	dialed time.Duration
	last   time.Duration // when something last passed
	owes   time.Duration // since when it was sent calls and said nothing; 0: it owes none
	out    outs
	off    []string // ids of parts given up, that may still be answered; the last offMost of them
	offs   int
	queue  [][]*Part // calls that wait for the connection to come up; no more parts than streams
	served int
	reason string // why the loop closed it
	closed bool

	retired bool // it gets nothing more
	probed  bool // a probe waits for it to come up
}

// offMost bounds the ids of parts given up that a connection remembers. Of older ones the node has heard long ago.
const offMost = 256

// giveUp keeps the id of a part that the node may still answer.
func (c *conn) giveUp(id string) {
	if len(c.off) < offMost {
		c.off = append(c.off, id)
	} else {
		c.off[c.offs%offMost] = id
	}
	c.offs++
}

// gaveUp tells whether a part of that id was given up; it is answered once at the most.
func (c *conn) gaveUp(id string) bool {
	at := slices.Index(c.off, id)
	if at >= 0 {
		c.off[at] = ""
	}
	return at >= 0
}

// NewPool makes a pool. Goroutines run under start and end with ctx; post delivers to the loop, ended tells it.
func NewPool(ctx context.Context, limits Limits, open Dialer, since func() time.Duration, start func(func() error),
	post func(Event), ended func(*Part, broker.Outcome, time.Duration, string)) *Pool {
	return &Pool{ctx: ctx, limits: limits, open: open, since: since, start: start, post: post, ended: ended,
		nodes: map[broker.NodeID]*node{}}
}

// Point tells where a node listens and when it started. What was opened to an older start or elsewhere is closed.
func (p *Pool) Point(id broker.NodeID, name string, addr netip.AddrPort, boot time.Duration) {
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
	}
}

// Retune has the pool go on under other times and streams; how many connections it may hold stays.
func (p *Pool) Retune(streams int, idle, dial, silent time.Duration) {
	p.limits.Streams, p.limits.Idle, p.limits.Dial, p.limits.Silent = streams, idle, dial, silent
	p.due = 0
}

// Probe asks a node for a sign of life, and Probed tells what came. The protocol has no word for it: a connection that is up,
// or that comes up, is the sign. Where none may be opened the answer comes at once and tells nothing.
func (p *Pool) Probe(id broker.NodeID) {
	n := p.nodes[id]
	if n == nil {
		p.Probed(id, broker.ConnectFailed, 0)
		return
	}
	var rising *conn
	for _, c := range n.conns {
		switch {
		case c.addr != n.addr || c.retired:
		case c.up != nil:
			p.Probed(id, broker.OK, 0)
			return
		default:
			rising = c
		}
	}
	if rising == nil && p.conns >= p.limits.Conns {
		p.Probed(id, broker.OK, 0)
		return
	}
	if rising == nil {
		rising = p.dial(n)
	}
	rising.probed = true
}

// shown ends a probe that waits for the connection.
func (p *Pool) shown(c *conn, how broker.Outcome, at time.Duration) {
	if c.probed {
		c.probed = false
		p.Probed(c.node.id, how, at-c.dialed)
	}
}

// Drop takes a node out that the list ended. What is out carries on; then it is forgotten.
func (p *Pool) Drop(id broker.NodeID) {
	if n := p.nodes[id]; n != nil {
		n.gone, p.due = true, 0
		p.CloseIdle(id, "gone")
	}
}

// Send writes the parts to a node as one call. The slice is the pool's from here on.
func (p *Pool) Send(id broker.NodeID, parts []*Part) {
	n := p.nodes[id]
	if n == nil {
		p.end(parts, broker.NeverSent)
		return
	}
	for {
		c := p.choose(n, parts)
		if c == nil {
			p.end(parts, broker.ConnectFailed)
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

// choose finds a connection with room, one that is up if possible, or opens one. Danger: a machine that vanished
// and came back may leave an old connection silent for ever, and each trial over it would tell nothing. One that
// said nothing for as long as any client waits gives way to a new one; a node that only hangs costs handshakes so.
func (p *Pool) choose(n *node, parts []*Part) *conn {
	var best *conn
	now := p.since()
	p.closeWhere(n, "silent", func(c *conn) bool {
		return c.out.len() == 0 && c.owes > 0 && now-c.owes > p.limits.Silent
	})
	room := p.limits.Streams - len(parts)
	if parts[0].Alone {
		room = 0
	}
	for _, c := range n.conns {
		if c.addr == n.addr && !c.retired && c.out.len() <= room && (best == nil || best.up == nil && c.up != nil) {
			best = c
		}
	}
	if best != nil {
		return best
	}
	if p.conns >= p.limits.Conns {
		p.spare()
	}
	if p.conns < p.limits.Conns {
		return p.dial(n)
	}
	for _, c := range n.conns { // its further parts wait unread at the node
		if c.up != nil && c.addr == n.addr && (best == nil || c.out.len() < best.out.len()) {
			best = c
		}
	}
	return best
}

// spare closes the connection that has idled longest.
func (p *Pool) spare() {
	var oldest *conn
	for _, n := range p.order {
		for _, c := range n.conns {
			if c.out.len() == 0 && (oldest == nil || c.last < oldest.last) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.close(oldest, "spare")
	}
}

func (p *Pool) dial(n *node) *conn {
	ctx, cancel := context.WithCancel(p.ctx)
	c := &conn{node: n, addr: n.addr, cancel: cancel, dialed: p.since()}
	c.last = c.dialed
	n.conns = append(n.conns, c)
	p.conns++
	p.Counts.Dials++
	if p.carry != nil {
		c.cancel = p.carry(n.name, n.addr, Handle{c})
		return c
	}
	within := p.limits.Dial
	p.start(func() error {
		defer cancel()
		p.read(ctx, c, within)
		return nil
	})
	return c
}

// read is a connection's goroutine: it dials, then delivers every answer and at last the end.
func (p *Pool) read(ctx context.Context, c *conn, within time.Duration) {
	nc, err := p.open(ctx, c.addr.String(), within)
	if err != nil {
		p.post(Event{conn: c, kind: down, at: p.since(), err: err})
		return
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	p.post(Event{conn: c, kind: up, at: p.since(), up: nc})
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		var letter byte
		var rest []byte
		if _, err = r.Peek(1); err == nil {
			// Danger: a length that never fills swallows what else comes, and all that is out waits in vain.
			nc.SetReadDeadline(time.Now().Add(within))
			letter, rest, err = readFrame(r)
			nc.SetReadDeadline(time.Time{})
		}
		at := p.since()
		if err == nil && letter == 'a' {
			var a Answer
			if a, err = parseAnswer(rest); err == nil {
				p.post(Event{conn: c, kind: answered, at: at, answer: a})
				continue
			}
		} else if err == nil && letter == 'e' {
			err = &refusal{string(rest[:min(len(rest), 120)])}
		} else if err == nil {
			err = errFrame
		}
		p.post(Event{conn: c, kind: down, at: at, err: err})
		return
	}
}

// refusal is a node's word that it could not use a frame.
type refusal struct{ words string }

func (r *refusal) Error() string { return "node: " + r.words }

// Handle takes what a connection's goroutine delivered.
func (p *Pool) Handle(e Event) {
	c := e.conn
	switch e.kind {
	case up:
		if c.closed {
			return
		}
		c.up, c.last = e.up, e.at
		p.shown(c, broker.OK, e.at)
		queue := c.queue
		c.queue = nil
		for _, parts := range queue {
			parts = slices.DeleteFunc(parts, func(part *Part) bool { return part.over })
			if len(parts) > 0 && !c.closed {
				p.call(c, parts)
			}
		}
	case answered:
		c.owes = 0
		part := c.out.find(e.answer.ID)
		if part == nil && (c.closed || c.gaveUp(e.answer.ID)) {
			p.Counts.Late++
			return
		}
		if part == nil {
			// Danger: an answer to nothing that was asked. Whose it was can't be told, and nothing that follows
			// it can be trusted either; the parts that are out would wait for their time.
			p.Counts.Bad++
			p.close(c, "unknown_answer")
			return
		}
		c.last = e.at
		c.served++
		how := broker.OK
		switch e.answer.End {
		case Served:
			p.Counts.Served++
		case Broke:
			p.Counts.Broke++
			how = broker.Errored
		case Skipped:
			p.Counts.Skipped++
			how = broker.Refused
		}
		p.finish(part, how, e.at, e.answer.Value)
	case down:
		reason := c.reason
		if !c.closed {
			reason = why(e.err, c.up != nil)
			if reason == "bad_frame" || reason == "slow_frame" {
				p.Counts.Bad++
			}
			p.drop(c, e.at)
		}
		p.Counts.Ended++
		slog.Info("node connection ended", "node", c.node.name, "reason", reason, "answers", c.served,
			"lasted", (e.at - c.dialed).Round(time.Millisecond))
	}
}

// why gives the reason code of an end that the loop did not ask for.
func why(err error, wasUp bool) string {
	var refused *refusal
	var timeout net.Error
	switch {
	case errors.Is(err, errFrame):
		return "bad_frame"
	case errors.As(err, &refused):
		return "node_error"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case !wasUp && errors.As(err, &timeout) && timeout.Timeout():
		return "dial_timeout"
	case !wasUp:
		return "dial_failed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "slow_frame"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	default:
		return "closed_by_node"
	}
}

// call writes one frame at once, or ends the connection.
func (p *Pool) call(c *conn, parts []*Part) error {
	now := p.since()
	p.buf = appendCall(p.buf[:0], parts, now)
	err := c.write(p.buf)
	if err == nil {
		c.last = now
		if c.owes == 0 {
			c.owes = now
		}
		p.Counts.Calls++
		p.Counts.Parts += uint64(len(parts))
		for _, part := range parts {
			part.written = true
		}
		return nil
	}
	if !errors.Is(err, errStuck) {
		for _, part := range parts {
			c.out.remove(part)
		}
		p.close(c, "write_failed")
		return err
	}
	p.close(c, "stuck")
	return err
}

// write hands a frame to the socket without waiting; a part of it is as good as none.
func (c *conn) write(frame []byte) error {
	n, err := c.up.TryWrite(frame)
	if err == nil && n < len(frame) {
		return errStuck
	}
	return err
}

// Cancel gives a part up and tells its node; nothing of it is written from then on.
func (p *Pool) Cancel(part *Part) {
	if part.over {
		return
	}
	c, told := part.conn, part.written
	p.finish(part, broker.Cancelled, p.since(), "")
	if told && !c.closed {
		p.Counts.Cancels++
		p.buf = appendCancel(p.buf[:0], part.ID)
		if err := c.write(p.buf); err != nil {
			p.close(c, "write_failed")
		}
	}
}

// Retire ends the connections to a node as soon as they carry nothing, and sends nothing more over them.
func (p *Pool) Retire(id broker.NodeID) {
	if n := p.nodes[id]; n != nil {
		for _, c := range n.conns {
			c.retired = true
		}
		p.due = 0
		p.CloseIdle(id, "unused")
	}
}

// CloseIdle ends the connections to a node that carry nothing.
func (p *Pool) CloseIdle(id broker.NodeID, reason string) {
	if n := p.nodes[id]; n != nil {
		p.closeWhere(n, reason, func(c *conn) bool { return c.out.len() == 0 })
	}
}

// Sweep ends what is due: parts nobody waits for any more and connections that idled. It tells when to come again.
// Connections are looked at only when something can be due, not with each turn.
func (p *Pool) Sweep(now time.Duration) (next time.Duration) {
	if now < p.due {
		return p.due
	}
	next = now + p.limits.Idle
	for _, n := range p.order {
		for i := len(n.conns) - 1; i >= 0; i-- { // from the end, as some are taken out
			c := n.conns[i]
			for j := c.out.len() - 1; j >= 0; j-- {
				if part := c.out.parts[j]; part.Deadline <= now {
					p.finish(part, broker.TimedOut, now, "")
				} else {
					next = min(next, part.Deadline)
				}
			}
			// Before the node does it: a part that crosses the node's close would be lost.
			if end := c.last + p.limits.Idle - p.limits.Dial; c.out.len() > 0 {
				continue
			} else if n.gone {
				p.close(c, "gone")
			} else if c.retired {
				p.close(c, "unused")
			} else if end <= now {
				p.close(c, "idle")
			} else {
				next = min(next, end)
			}
		}
	}
	p.order = slices.DeleteFunc(p.order, func(n *node) bool {
		forget := n.gone && len(n.conns) == 0
		if forget {
			delete(p.nodes, n.id)
		}
		return forget
	})
	p.due = next
	return next
}

func (p *Pool) closeWhere(n *node, reason string, which func(*conn) bool) {
	for i := len(n.conns) - 1; i >= 0; i-- {
		if c := n.conns[i]; which(c) {
			p.close(c, reason)
		}
	}
}

// close ends a connection for the loop's own reasons.
func (p *Pool) close(c *conn, reason string) {
	if !c.closed {
		c.reason = reason
		p.drop(c, p.since())
		c.cancel()
	}
}

// drop takes a connection off the books; its parts end as the protocol says.
func (p *Pool) drop(c *conn, at time.Duration) {
	c.closed = true
	p.shown(c, broker.ConnectFailed, at)
	p.conns--
	c.node.conns = slices.DeleteFunc(c.node.conns, func(o *conn) bool { return o == c })
	for c.out.len() > 0 {
		part := c.out.last()
		if part.written {
			p.finish(part, broker.Reset, at, "")
		} else {
			p.finish(part, broker.ConnectFailed, at, "")
		}
	}
}

// end gives parts back that were never on a connection.
func (p *Pool) end(parts []*Part, how broker.Outcome) {
	for _, part := range parts {
		p.finish(part, how, p.since(), "")
	}
}

func (p *Pool) finish(part *Part, how broker.Outcome, at time.Duration, value string) {
	part.over = true
	if part.conn != nil && part.conn.out.remove(part) {
		c := part.conn
		if part.written && (how == broker.Cancelled || how == broker.TimedOut) {
			c.giveUp(part.ID)
		}
		if c.out.len() == 0 { // from now on it idles, or was only waited for
			if p.due = min(p.due, c.last+p.limits.Idle-p.limits.Dial); c.retired || c.node.gone {
				p.due = 0
			}
		}
	}
	p.ended(part, how, at, value)
}

// Over tells whether a part has ended.
func (part *Part) Over() bool { return part.over }

// Written tells whether a part's last byte has left for its node.
func (part *Part) Written() bool { return part.written }

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

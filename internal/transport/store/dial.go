package store

// This file selects the connection for a call, dials new connections, and reads from them. It must never block the loop.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

var (
	errFrame        = errors.New("bad frame")
	errWriteBlocked = errors.New("connection does not take the whole frame at once")
)

// Conn is a connection to a node. TryWrite writes as much as is possible without blocking, and returns the number of bytes written.
type Conn interface {
	io.ReadCloser
	SetReadDeadline(t time.Time) error
	TryWrite(b []byte) (int, error)
}

// Dialer opens a connection, or fails if that takes longer than within.
type Dialer func(ctx context.Context, addr string, within time.Duration) (Conn, error)

// selectConn returns a connection with free streams that carried no earlier attempt of the same shard requests, preferably an established one,
// or opens a new one. nil: there is none.
// After a machine has crashed and come back, an old connection may stay silent for ever, and trial attempts over it would prove nothing. So
// an idle connection over which nothing was answered for Limits.Silent, which is as long as any client waits, is closed. A node that only
// hangs costs additional handshakes this way.
func (p *Pool) selectConn(n *node, attempts []*Subrequest) *conn {
	var best *conn
	now := p.since()
	p.closeWhere(n, "silent", func(c *conn) bool {
		return c.inFlight.len() == 0 && c.unansweredSince > 0 && now-c.unansweredSince > p.limits.Silent
	})
	room := p.limits.Streams - len(attempts)
	if attempts[0].Exclusive {
		room = 0
	}
	for _, c := range n.conns {
		if !p.mayUse(c, attempts[0].Tenant) || c.carriedEarlier(attempts) {
			continue
		}
		if c.addr == n.addr && !c.retired && c.inFlight.len() <= room && (best == nil || best.up == nil && c.up != nil) {
			best = c
		}
	}
	if best != nil {
		return best
	}
	if p.conns >= p.limits.Conns {
		p.closeLongestIdle()
	}
	if p.conns < p.limits.Conns {
		if openDecision := p.openDecision(n, attempts[0].Tenant); openDecision != Denied {
			return p.dial(n, attempts[0].Tenant, openDecision == OpenShared)
		}
	}
	for _, c := range n.conns { // no free stream and no new connection: further attempts wait in the node's receive buffer
		if p.budget != nil && (c.retired || !p.mayUse(c, attempts[0].Tenant)) || c.carriedEarlier(attempts) {
			continue
		}
		if c.up != nil && c.addr == n.addr && (best == nil || c.inFlight.len() < best.inFlight.len()) {
			best = c
		}
	}
	return best
}

// carriedEarlier reports whether an earlier attempt of one of the shard requests was written to the connection. A node's answers name the shard
// request, not the attempt. So an answer that comes twice or late would be taken for that to the next attempt over the same connection.
func (c *conn) carriedEarlier(attempts []*Subrequest) bool {
	for _, attempt := range attempts {
		for _, earlier := range attempt.Earlier {
			if earlier.conn == c && earlier.written {
				return true
			}
		}
	}
	return false
}

// closeLongestIdle closes the connection that has been idle for longest, if one is idle.
func (p *Pool) closeLongestIdle() {
	var oldest *conn
	for _, n := range p.nodeOrder {
		for _, c := range n.conns {
			if c.inFlight.len() == 0 && (oldest == nil || c.lastActive < oldest.lastActive) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.close(oldest, "spare")
	}
}

func (p *Pool) dial(n *node, tenant int, shared bool) *conn {
	ctx, cancel := context.WithCancel(p.ctx)
	c := &conn{node: n, addr: n.addr, cancel: cancel, dialed: p.since(), tenant: tenant, shared: shared}
	c.lastActive = c.dialed
	n.conns = append(n.conns, c)
	p.conns++
	p.Counts.Dials++
	if p.carrier != nil {
		c.cancel = p.carrier(n.name, n.addr, Handle{c})
		return c
	}
	timeout := p.limits.Dial
	p.startGoroutine(func() error {
		defer cancel()
		p.runConn(ctx, c, timeout)
		return nil
	})
	return c
}

// runConn is a connection's goroutine: it dials, then posts every answer, and finally the end.
func (p *Pool) runConn(ctx context.Context, c *conn, timeout time.Duration) {
	nc, err := p.dialer(ctx, c.addr.String(), timeout)
	if err != nil {
		p.post(Event{conn: c, kind: down, at: p.since(), err: err})
		return
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	p.post(Event{conn: c, kind: up, at: p.since(), up: nc})
	r := bufio.NewReaderSize(nc, smallFrame)
	for {
		answer, err := p.readAnswer(nc, r, timeout)
		at := p.since()
		if err != nil {
			p.post(Event{conn: c, kind: down, at: at, err: err})
			return
		}
		p.post(Event{conn: c, kind: answered, at: at, answer: answer})
	}
}

// readAnswer reads the next answer. Once its frame has begun it must be complete within the timeout: a frame that never becomes complete would
// swallow all later ones, and the attempts in flight would time out.
func (p *Pool) readAnswer(nc Conn, r *bufio.Reader, timeout time.Duration) (Answer, error) {
	if _, err := r.Peek(1); err != nil {
		return Answer{}, err
	}
	nc.SetReadDeadline(time.Now().Add(timeout))
	f, err := readFrame(r, p.answerBudget)
	nc.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return Answer{}, err
	case f.kind == 'a' && f.skipped:
		return parseDropped(f.body)
	case f.kind == 'a':
		return p.decodeAnswer(f)
	}
	f.memory.Close()
	if f.kind == 'e' {
		return Answer{}, &nodeError{string(f.body[:min(len(f.body), maxNodeError)])}
	}
	return Answer{}, errFrame
}

// maxNodeError is how many bytes of a node's error are kept.
const maxNodeError = 120

// decodeAnswer decodes an answer frame. The answer keeps the memory of its value.
func (p *Pool) decodeAnswer(f nodeFrame) (Answer, error) {
	a, err := parseAnswer(f.body, p.keepReports)
	if err != nil {
		f.memory.Close()
		return a, err
	}
	if f.memory != nil {
		f.memory.ShrinkTo(len(a.Value))
		a.Memory = f.memory
	}
	return a, nil
}

// nodeError is an error frame: the node could not use a frame of this side.
type nodeError struct{ text string }

func (r *nodeError) Error() string { return "node: " + r.text }

// endReason returns the reason code of an end that was not requested by the loop.
func endReason(err error, wasConnected bool) string {
	var refused *nodeError
	var timeout net.Error
	switch {
	case errors.Is(err, errFrame):
		return "bad_frame"
	case errors.As(err, &refused):
		return "node_error"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case !wasConnected && errors.As(err, &timeout) && timeout.Timeout():
		return "dial_timeout"
	case !wasConnected:
		return "dial_failed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "slow_frame"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	default:
		return "closed_by_node"
	}
}

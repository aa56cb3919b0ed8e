package store

// This file owns how a connection comes up: which one a call takes, when another is dialled, and who reads it. It must never wait
// for one in the loop.

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
	errWriteBlocked = errors.New("takes no more bytes")
)

// Conn is a connection to a node. TryWrite hands over what it takes at once and returns how much that is.
type Conn interface {
	io.ReadCloser
	SetReadDeadline(t time.Time) error
	TryWrite(b []byte) (int, error)
}

// Dialer opens a connection.
type Dialer func(ctx context.Context, addr string, within time.Duration) (Conn, error)

// selectConn finds a connection with room, one that is up if possible, or opens one. Danger: a machine that vanished
// and came back may leave an old connection silent for ever, and each trial over it would tell nothing. One that
// said nothing for as long as any client waits gives way to a new one; a node that only hangs costs handshakes so.
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
		if !p.mayUse(c, attempts[0].Tenant) {
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
	for _, c := range n.conns { // its further parts wait unread at the node
		if p.budget != nil && (c.retired || !p.mayUse(c, attempts[0].Tenant)) {
			continue
		}
		if c.up != nil && c.addr == n.addr && (best == nil || c.inFlight.len() < best.inFlight.len()) {
			best = c
		}
	}
	return best
}

// closeLongestIdle closes the connection that has idled longest.
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

// runConn is a connection's goroutine: it dials, then delivers every answer and at last the end.
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
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		var frameType byte
		var body []byte
		if _, err = r.Peek(1); err == nil {
			// Danger: a length that never fills swallows what else comes, and all that is out waits in vain.
			nc.SetReadDeadline(time.Now().Add(timeout))
			frameType, body, err = readFrame(r)
			nc.SetReadDeadline(time.Time{})
		}
		at := p.since()
		if err == nil && frameType == 'a' {
			var a Answer
			if a, err = parseAnswer(body, p.keepReports); err == nil {
				p.post(Event{conn: c, kind: answered, at: at, answer: a})
				continue
			}
		} else if err == nil && frameType == 'e' {
			err = &nodeError{string(body[:min(len(body), 120)])}
		} else if err == nil {
			err = errFrame
		}
		p.post(Event{conn: c, kind: down, at: at, err: err})
		return
	}
}

// nodeError is a node's word that it could not use a frame.
type nodeError struct{ text string }

func (r *nodeError) Error() string { return "node: " + r.text }

// endReason gives the reason code of an end that the loop did not ask for.
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

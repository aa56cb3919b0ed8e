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
	errFrame = errors.New("bad frame")
	errStuck = errors.New("takes no more bytes")
)

// Conn is a connection to a node. TryWrite hands over what it takes at once and returns how much that is.
type Conn interface {
	io.ReadCloser
	SetReadDeadline(t time.Time) error
	TryWrite(b []byte) (int, error)
}

// Dialer opens a connection.
type Dialer func(ctx context.Context, addr string, within time.Duration) (Conn, error)

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
		if !p.mine(c, parts[0].Tenant) {
			continue
		}
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
		if leave := p.leave(n, parts[0].Tenant); leave != No {
			return p.dial(n, parts[0].Tenant, leave == Floor)
		}
	}
	for _, c := range n.conns { // its further parts wait unread at the node
		if p.budget != nil && (c.retired || !p.mine(c, parts[0].Tenant)) {
			continue
		}
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

func (p *Pool) dial(n *node, tenant int, floor bool) *conn {
	ctx, cancel := context.WithCancel(p.ctx)
	c := &conn{node: n, addr: n.addr, cancel: cancel, dialed: p.since(), tenant: tenant, floor: floor}
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
			if a, err = parseAnswer(rest, p.reports); err == nil {
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

package discovery

// This file owns the requests of one call, each in a goroutine and on a connection of its own. It must never leave a connection open
// that nobody holds.

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// dialWithin bounds a connection that does not come up, so that another is tried while the news that it would bring still count.
const dialWithin = 2 * time.Second

// dialer opens a connection to discovery.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// connection is one to discovery, with how many calls it carried.
type connection struct {
	net.Conn
	in    *bufio.Reader
	calls int
}

// end closes a connection, if there is one.
func (c *connection) end(reason string) {
	if c != nil {
		c.Close()
		slog.Info("discovery connection ended", "reason", reason, "calls", c.calls)
	}
}

// interrupt ends whatever waits on a connection. It may run after the connection was given up.
func (c *connection) interrupt() { c.Close() }

// outcome is how a request ended: by an answer or an error, on a connection that is whoever's takes the outcome.
type outcome struct {
	conn   *connection // nil: none came up
	answer *httpwire.Message
	err    error
}

// race is the requests of one call. One goroutine uses it.
type race struct {
	ctx      context.Context
	cancel   context.CancelFunc
	addr     string
	dial     dialer
	outcomes chan outcome
	out      int // requests without an outcome
}

func newRace(ctx context.Context, addr string, dial dialer) *race {
	r := &race{addr: addr, dial: dial, outcomes: make(chan outcome)}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// start puts a request on a connection that idles, or on a new one (nil).
func (r *race) start(idle *connection, q request) {
	r.out++
	go func() {
		o := r.exchange(idle, q)
		select {
		case r.outcomes <- o:
		case <-r.ctx.Done():
			o.conn.end("overtaken")
		}
	}()
}

// end gives up what is still out.
func (r *race) end() { r.cancel() }

// exchange puts one request and reads its answer.
func (r *race) exchange(conn *connection, q request) outcome {
	ctx, cancel := context.WithTimeoutCause(r.ctx, q.Timeout, errSilent)
	defer cancel()
	began := time.Now()
	if conn == nil {
		var err error
		if conn, err = connect(ctx, r.addr, r.dial); err != nil {
			return outcome{err: err}
		}
	}
	conn.calls++
	stop := context.AfterFunc(ctx, conn.interrupt)
	answer, err := conn.put(q.target, r.addr)
	switch late := !stop(); {
	case err != nil && context.Cause(ctx) == errSilent:
		err = &SilentError{r.addr, time.Since(began)}
	case err == nil && late: // closed just when its answer was there
		conn.end("overtaken")
		conn = nil
	}
	return outcome{conn, answer, err}
}

func connect(ctx context.Context, addr string, dial dialer) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWithin)
	defer cancel()
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, &UnreachableError{addr, err}
	}
	return &connection{Conn: conn, in: httpwire.NewReader(conn)}, nil
}

func (c *connection) put(target, host string) (*httpwire.Message, error) {
	if _, err := c.Write(httpwire.AppendRequest(nil, "GET", target, host)); err != nil {
		return nil, err
	}
	return httpwire.ReadResponse(c.in)
}

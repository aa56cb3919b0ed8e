package discovery

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// connectTimeout leaves time for another attempt while the news that it brings are still in time.
const connectTimeout = 2 * time.Second

// dialer opens a connection to discovery.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// connection is one to discovery, with the number of requests that it has carried.
type connection struct {
	net.Conn
	in       *bufio.Reader
	requests int
}

func connect(ctx context.Context, address string, dial dialer) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, &UnreachableError{address, err}
	}
	return &connection{Conn: conn, in: httpwire.NewReader(conn)}, nil
}

// end closes a connection, if there is one.
func (c *connection) end(reason string) {
	if c == nil {
		return
	}
	c.Close()
	slog.Info("connection ended", "component", "discovery", "reason", reason, "requests", c.requests)
}

// interrupt ends whatever waits on a connection. It may run after the connection was given up.
func (c *connection) interrupt() { c.Close() }

func (c *connection) get(target, host string) (*httpwire.Message, error) {
	if _, err := c.Write(httpwire.AppendRequest(nil, "GET", target, host)); err != nil {
		return nil, err
	}
	return httpwire.ReadResponse(c.in)
}

// outcome is how an attempt ended: by an answer or an error. Whoever takes it closes or keeps the connection.
type outcome struct {
	conn   *connection // nil: none came up
	answer *httpwire.Message
	err    error
}

// race is the attempts of one request, each in a goroutine and on a connection of its own. One goroutine uses it.
type race struct {
	ctx      context.Context // ends the attempts
	cancel   context.CancelFunc
	address  string
	dial     dialer
	outcomes chan outcome
	inFlight int // attempts without an outcome
}

func newRace(ctx context.Context, address string, dial dialer) *race {
	r := &race{address: address, dial: dial, outcomes: make(chan outcome)}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// start makes an attempt on an idle connection, or on a new one (nil).
func (r *race) start(idle *connection, a attempt) {
	r.inFlight++
	go func() {
		o := r.exchange(idle, a)
		select {
		case r.outcomes <- o:
		case <-r.ctx.Done():
			o.conn.end("overtaken")
		}
	}()
}

// end abandons the attempts in flight.
func (r *race) end() { r.cancel() }

// exchange sends one request and reads its answer.
func (r *race) exchange(conn *connection, a attempt) outcome {
	ctx, cancel := context.WithTimeoutCause(r.ctx, a.Timeout, errSilent)
	defer cancel()
	startedAt := time.Now()
	if conn == nil {
		var err error
		conn, err = connect(ctx, r.address, r.dial)
		if err != nil {
			return outcome{err: err}
		}
	}
	conn.requests++
	stop := context.AfterFunc(ctx, conn.interrupt)
	answer, err := conn.get(a.target, r.address)
	interrupted := !stop()
	switch {
	case err != nil && context.Cause(ctx) == errSilent:
		err = &SilentError{r.address, time.Since(startedAt)}
	case err == nil && interrupted: // closed just when its answer was there
		conn.end("overtaken")
		conn = nil
	}
	return outcome{conn, answer, err}
}

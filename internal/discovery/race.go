package discovery

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// connectTimeout leaves enough time for another attempt to bring the list within the delays that package polling states.
const connectTimeout = 2 * time.Second

// dialer opens a connection to discovery.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// connection is a connection to discovery.
type connection struct {
	net.Conn
	in       *bufio.Reader
	requests int // sent on it so far
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

// end closes the connection and logs why; on nil it does nothing.
func (c *connection) end(reason string) {
	if c == nil {
		return
	}
	c.Close()
	slog.Info("connection ended", "component", "discovery", "reason", reason, "requests", c.requests)
}

// interrupt closes the connection to end a read or write that blocks. It may run after the connection was abandoned.
func (c *connection) interrupt() { c.Close() }

func (c *connection) get(target, host string) (*httpwire.Message, error) {
	if _, err := c.Write(httpwire.AppendRequest(nil, "GET", target, host)); err != nil {
		return nil, err
	}
	return httpwire.ReadResponse(c.in)
}

// outcome is the result of an attempt: an answer or an error. Its receiver must close or reuse the connection.
type outcome struct {
	conn   *connection // nil: none was established, or it is closed already
	answer *httpwire.Message
	err    error
}

// race runs the attempts of one request concurrently, each in its own goroutine and on its own connection. Its methods are called by one
// goroutine.
type race struct {
	ctx      context.Context // cancels the attempts
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

// start starts an attempt on an idle connection, or on a new one if idle is nil.
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

// exchange sends one request and reads its answer, within the attempt's timeout.
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
	case err == nil && interrupted: // interrupt closed the connection just as its answer was read
		conn.end("overtaken")
		conn = nil
	}
	return outcome{conn, answer, err}
}

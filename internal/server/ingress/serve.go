package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// request is one request of a connection, come whole.
type request struct {
	*httpwire.Message
	arrival time.Duration // since the broker's start: when its last byte had come
	last    bool          // its answer is the connection's last
}

// ServeConnection serves a connection that was accepted elsewhere until its end, whether or not there is capacity for it.
func (in *Ingress) ServeConnection(ctx context.Context, conn net.Conn) Reason {
	c := newConnection(conn, in.broker.Uptime)
	in.connections.admit(c)
	return in.serve(ctx, c)
}

// serve serves a connection until its end, which leaves one log line.
func (in *Ingress) serve(ctx context.Context, c *connection) Reason {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	reason := in.serveRequests(ctx, c)
	if reason == LastAnswer {
		in.linger(c)
	}
	stop()
	c.Close()
	line := in.connections.remove(c)
	in.Counters.Closed.Add(1)
	if line.write {
		slog.Info("client connection ended", "component", "ingress", "address", c.RemoteAddr(), "reason", string(reason),
			"requests", c.requests, "lines_suppressed", line.suppressed)
	}
	return reason
}

// serveRequests answers one request after the other until the connection ends.
func (in *Ingress) serveRequests(ctx context.Context, c *connection) Reason {
	for {
		if reason := in.awaitRequest(c); reason != stillOpen {
			return reason
		}
		m, reason := in.readRequest(c)
		if reason != stillOpen {
			return reason
		}
		r := request{Message: m, arrival: c.ahead.Came(c.in.Buffered())}
		endReason := in.connections.startAnswering(c)
		r.last = endReason != stillOpen || m.Close || c.overLimit
		// A request that came while another was being answered, or before the connection was accepted, may be of a client that has left.
		if c.ahead.Look() {
			return ClientDeparted
		}
		c.requests++
		if reason := in.answer(ctx, c, r); reason != stillOpen {
			return reason
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (in *Ingress) awaitRequest(c *connection) Reason {
	c.SetReadDeadline(in.firstByteDeadline(c))
	if endReason := in.connections.becomeIdle(c); endReason != stillOpen && !c.hasUnread() {
		return endReason
	}
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
		c.SetReadDeadline(in.requestDeadline(c))
		_, err = c.in.Peek(1)
	}
	endReason := in.connections.startReading(c)
	c.SetReadDeadline(in.requestDeadline(c)) // after startReading: whoever ended it as idle just before must not cut the request short
	switch {
	case err == nil:
		return stillOpen
	case errors.Is(err, os.ErrDeadlineExceeded) && endReason != stillOpen:
		return endReason
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Idle
	case errors.Is(err, io.EOF):
		return ClientClosed
	default:
		return ClientReset
	}
}

// readRequest reads a request whole.
func (in *Ingress) readRequest(c *connection) (*httpwire.Message, Reason) {
	m, err := httpwire.ReadRequest(c.in)
	if err != nil {
		return nil, in.readFailed(c, err)
	}
	return m, stillOpen
}

// readFailed returns why a connection ends whose request could not be read. The client is told if it is at fault.
func (in *Ingress) readFailed(c *connection, err error) Reason {
	var fault *httpwire.Fault
	switch {
	case errors.As(err, &fault):
		return in.rejectRequest(c, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		if endReason := in.connections.endReasonOf(c); endReason != stillOpen {
			return endReason
		}
		in.writeError(c, requestError(statusRequestTimeout, "the request did not come whole"))
		return SlowRequest
	default:
		return CutShort
	}
}

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

// request is a whole request that has arrived on a connection.
type request struct {
	*httpwire.Message
	arrival time.Duration // when its last byte had arrived, since the broker's start
	last    bool          // its answer is the connection's last
}

// ServeConnection serves a connection that the caller accepted, even if there is no capacity for it. It returns why the connection ended.
func (in *Ingress) ServeConnection(ctx context.Context, conn net.Conn) Reason {
	c := in.newConnection(conn)
	in.connections.Admit(c.state)
	return in.serve(ctx, c)
}

// serve serves a connection until its end, writes one log line about it, and returns the reason.
func (in *Ingress) serve(ctx context.Context, c *connection) Reason {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	reason := in.serveRequests(ctx, c)
	c.releaseRequest()
	if reason == LastAnswer {
		in.linger(c)
	}
	stop()
	c.Close()
	c.release()
	in.connections.Remove(c.state)
	line := logDecision{write: true}
	if !c.hadQuery {
		line = in.logLimit.allow(time.Now())
	}
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
		r := request{Message: m, arrival: in.arrivalTime(c)}
		endReason := in.connections.StartAnswering(c.state)
		r.last = endReason != stillOpen || m.Close || c.state.OverLimit()
		// The client may already have left if its request arrived during the previous answer or before the connection was accepted.
		if c.ahead.ReadAvailable() {
			return ClientDeparted
		}
		c.requests++
		answer := in.answer(ctx, c, r)
		if answer.end != stillOpen {
			return answer.end
		}
		c.releaseRequest()
		if !answer.byNodes {
			in.pause(c)
		}
	}
}

// arrivalTime returns when the last byte of a whole request had arrived. Of one that had to wait for memory it is not known, so that it counts as
// having arrived before the wait.
func (in *Ingress) arrivalTime(c *connection) time.Duration {
	arrival := c.ahead.ArrivalTime(c.in.Buffered())
	if c.waited {
		return min(arrival, c.waitedSince)
	}
	return arrival
}

// pause waits until the connection may have its next request read, after one that the broker has answered by itself. Meanwhile bytes are read
// ahead, so that the time of their arrival and the end of the connection are known.
func (in *Ingress) pause(c *connection) {
	if wait := in.pacing.Answered(&c.pace, time.Now()); wait > 0 {
		in.Counters.Paced.Add(1)
		c.ahead.WatchFor(wait)
	}
}

// awaitRequest waits for the first byte of a request. It returns why the connection ends instead, or stillOpen.
func (in *Ingress) awaitRequest(c *connection) Reason {
	c.SetReadDeadline(in.firstByteDeadline(c))
	if endReason := in.connections.BecomeIdle(c.state); endReason != stillOpen && !c.hasUnread() {
		return endReason
	}
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
		c.SetReadDeadline(in.requestDeadline(c))
		_, err = c.in.Peek(1)
	}
	endReason := in.connections.StartReading(c.state)
	c.SetReadDeadline(in.requestDeadline(c)) // after startReading: if the connection was ended as idle just before, the request is still read
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

// readRequest reads a whole request.
func (in *Ingress) readRequest(c *connection) (*httpwire.Message, Reason) {
	m, err := httpwire.ReadRequestWithin(c.in, c.reserve)
	if err != nil {
		return nil, in.readFailed(c, err)
	}
	return m, stillOpen
}

// readFailed returns why a connection ends whose request could not be read. If the client is at fault, it gets an error answer.
func (in *Ingress) readFailed(c *connection, err error) Reason {
	var fault *httpwire.MessageError
	switch {
	case errors.As(err, &fault):
		return in.rejectRequest(c, err)
	case errors.Is(err, httpwire.ErrNoMemory):
		return in.refuseForMemory(c)
	case errors.Is(err, os.ErrDeadlineExceeded):
		if endReason := in.connections.EndReason(c.state); endReason != stillOpen {
			return endReason
		}
		in.writeError(c, requestError(statusRequestTimeout, "the request did not come whole"))
		return SlowRequest
	default:
		return CutShort
	}
}

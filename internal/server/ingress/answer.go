package ingress

import (
	"context"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// The HTTP statuses of the client protocol.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusRequestTimeout     = 408
	statusConflict           = 409
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// Buffers of a connection, in bytes: one for answers that is kept for the next, and one for what is discarded after the last.
const (
	maxKeptAnswer = 1 << 10
	lingerBuffer  = 1 << 10
)

const contentTypeJSON = "Content-Type: application/json"

// answered is what became of a request.
type answered struct {
	end     Reason // why the connection ends, or stillOpen
	byNodes bool   // nodes have answered it
}

// answer answers one request.
func (in *Ingress) answer(ctx context.Context, c *connection, r request) answered {
	r.last = r.last || in.broker.Draining()
	switch r.Path {
	case "/alive":
		return in.writeOwnAnswer(c, statusOK, r.last, nil)
	case "/up":
		status := statusOK
		if in.broker.Draining() {
			status = statusServiceUnavailable // so that load balancers send no new requests
		}
		return in.writeOwnAnswer(c, status, r.last, nil)
	case "/counters":
		text := append([]byte(in.broker.CountersJSON()), '\n')
		return in.writeOwnAnswer(c, statusOK, r.last, text, contentTypeJSON)
	default:
		return in.answerQuery(ctx, c, r)
	}
}

// writeOwnAnswer writes an answer about the broker itself.
func (in *Ingress) writeOwnAnswer(c *connection, status int, last bool, body []byte, fields ...string) answered {
	return answered{end: in.writeAnswer(c, response{head: httpwire.AppendResponse(c.out[:0], status, last, body, fields...)}, last)}
}

// rejectRequest answers that a request is bad and ends the connection, as it is not certain where the next request begins.
func (in *Ingress) rejectRequest(c *connection, err error) Reason {
	in.Counters.BadRequests.Add(1)
	in.writeError(c, asRequestError(err))
	return BadRequest
}

// refuseForMemory refuses a request that there is no memory to read, and ends the connection, as the rest of the request is not read. Nothing of it
// has been forwarded, so that its client may repeat it.
func (in *Ingress) refuseForMemory(c *connection) Reason {
	in.Counters.NoMemory.Add(1)
	in.writeError(c, requestError(statusServiceUnavailable, "%v", httpwire.ErrNoMemory), retryAfter(in.broker.Settings().Module.MaxRetryAfter)...)
	return NoMemory
}

// writeError writes an error as the connection's last answer.
func (in *Ingress) writeError(c *connection, err *RequestError, fields ...string) {
	c.releaseRequest()
	text := httpwire.AppendResponse(c.out[:0], err.Status, true, []byte(err.Detail+"\n"), fields...)
	if in.write(c, response{head: text}) == nil {
		in.linger(c)
	}
}

// writeAnswer writes an answer, and returns why the connection ends, or stillOpen.
func (in *Ingress) writeAnswer(c *connection, r response, last bool) Reason {
	if err := in.write(c, r); err != nil {
		return WriteFailed
	}
	if last {
		return LastAnswer
	}
	return stillOpen
}

// write writes a whole response; the write deadline is the longest timeout of any query type.
func (in *Ingress) write(c *connection, r response) error {
	c.out = nil
	if cap(r.head) <= maxKeptAnswer {
		c.out = r.head[:0]
	}
	c.SetWriteDeadline(time.Now().Add(in.broker.Settings().LongestTimeout()))
	_, err := c.Write(r.head)
	if err == nil && len(r.body) > 0 {
		_, err = c.Write(r.body)
	}
	return err
}

// linger closes the sending side after a last answer, and then discards what the client still sends, for the dial timeout at most. A
// close with unread bytes would reset the connection, and the client could lose the answer that was just written. A client that does
// not close its side holds a descriptor for that long.
func (in *Ingress) linger(c *connection) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.ahead.Ended() || halfCloser.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(in.broker.Settings().Dial))
	discarded := make([]byte, lingerBuffer)
	for left := httpwire.MaxBody; left > 0; {
		n, err := c.Read(discarded)
		if err != nil {
			return
		}
		left -= n
	}
}

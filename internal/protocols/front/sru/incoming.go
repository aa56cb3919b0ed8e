package sru

// This file bounds what a request takes while net/http reads it, which bounds the bytes of a head, but not the number of its fields, nor the memory of
// all connections together. It also lets net/http read one request at a time, and none that could end in two places.

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"flaxfront/internal/decision/reclaim"
	"flaxfront/internal/transport/httpwire"
	"flaxfront/internal/transport/membudget"
)

// copiesOfBytes is the number of copies of each byte of a request: in buffers, in the decoded request and in its query.
const copiesOfBytes = 4

// errRefused is returned by reads of a connection whose request is refused. It looks like a failed read, upon which net/http closes the connection
// without an answer of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request is refused")}

// refusal is why a request is not read.
type refusal struct {
	status int
	text   string
}

var noMemory = &refusal{http.StatusServiceUnavailable, "no memory for the request; send it again later, or a smaller one"}

// incoming is what has been read of a connection's present request. net/http may read in another goroutine than that which changes states.
type incoming struct {
	mu       sync.Mutex
	memory   membudget.Account
	splitter httpwire.Splitter
	refused  *refusal // nil: it is read
}

// add records bytes that have been read. It returns how many of them belong to the present request, and why that is refused, or nil. Where it ends by
// our own reading, net/http gets no further byte: it would find another end for some requests, and run what is concealed in their bodies.
func (r *incoming) add(b []byte) (own int, why *refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, err := r.splitter.Next(b)
	var invalid *httpwire.MessageError
	switch {
	case errors.As(err, &invalid):
		r.refused = &refusal{invalid.Status, invalid.Reason}
	case len(b) <= 1: // net/http looks for the end of the connection by it while a request is answered
	case !r.memory.TryGrow(own * copiesOfBytes):
		r.refused = noMemory
	}
	return own, r.refused
}

// refuseForMemory records that nothing more is read, for want of memory.
func (r *incoming) refuseForMemory() *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = noMemory
	return r.refused
}

// isRefused reports whether nothing more is read.
func (r *incoming) isRefused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused != nil
}

// end records that the request is over, and gives its memory back.
func (r *incoming) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Close()
}

// account records bytes that net/http has asked for, and returns how many of them it gets now. A request that takes too much or has an ambiguous end
// is refused.
func (c *clientConn) account(b []byte) (n int, err error) {
	n, why := c.request.add(b)
	if why == nil && !c.ahead.PushBack(b[n:]) {
		why = c.request.refuseForMemory()
	}
	if why == nil {
		return n, nil
	}
	if c.set.State(c.state) == reclaim.Reading { // else the handler answers
		c.refuse(why)
	}
	return 0, errRefused
}

// refuse tells the client why its request is not read, and discards what it still sends for a while, as a close over unread bytes could reset the
// connection before the client has read the answer.
func (c *clientConn) refuse(why *refusal) {
	c.Conn.SetDeadline(time.Now().Add(readGrace))
	_, err := c.Conn.Write(httpwire.AppendResponse(nil, why.status, true, []byte(why.text+"\n")))
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if err == nil && ok && half.CloseWrite() == nil {
		io.CopyN(io.Discard, c.Conn, maxHeaderBytes)
	}
}

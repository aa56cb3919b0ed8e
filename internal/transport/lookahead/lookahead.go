// Package lookahead reads a client's connection ahead of whoever parses it, so that the connection's end is noticed behind bytes that
// nobody has asked for yet, and the time at which those bytes came is known. It depends on the standard library and poll(2) alone. A
// Reader is used by one goroutine; Watch alone may run in another, while the first one reads nothing. It must never make a byte up,
// drop one of a connection that stands, or hold more than its bound.
package lookahead

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readSize           = 512                   // bytes read ahead at once
	maxParserBuffer    = 8 << 10               // bytes that a parser may have been given and not used
	coalesceInterval   = 10 * time.Millisecond // bytes that come within it count as come together
	hangUpPollInterval = 50 * time.Millisecond // between looks for the end of a connection of which no more is read
)

// Reader reads a connection.
type Reader struct {
	conn     net.Conn
	raw      syscall.RawConn // nil: what has come can't be asked without waiting
	now      func() time.Duration
	maxAhead int // bytes kept ahead

	ahead    []byte    // come, and not given out
	consumed uint64    // bytes given out so far
	arrivals []arrival // when bytes came that may still be asked about
	err      error     // the end, once it was seen

	scratch     [readSize]byte
	receive     func(fd uintptr) // reads into scratch without waiting; made once, as it is called with each request
	receiveSize int              // of scratch, for take
	received    int
	receiveErr  error
}

// arrival tells when the bytes before an offset had come. Danger: a time before a client sent its request would have it count as asked
// earlier than it was, so that bytes that come together have the time of the last.
type arrival struct {
	endOffset uint64
	first, at time.Duration // of those that count as come together
}

// New makes a reader of a connection that keeps bound bytes ahead at the most.
func New(conn net.Conn, now func() time.Duration, maxAhead int) *Reader {
	r := &Reader{conn: conn, now: now, maxAhead: maxAhead}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	r.receive = func(fd uintptr) {
		r.received, _, r.receiveErr = syscall.Recvfrom(int(fd), r.scratch[:r.receiveSize], syscall.MSG_DONTWAIT)
	}
	return r
}

// Read gives out what has come, and then waits for more.
func (r *Reader) Read(p []byte) (int, error) {
	if len(r.ahead) > 0 {
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		r.consumed += uint64(n)
		if len(r.ahead) == 0 {
			r.ahead = nil
		}
		return n, nil
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.conn.Read(p)
	if n > 0 {
		r.consumed += uint64(n)
		r.recordArrival(r.consumed)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}

// Watch reads ahead until the connection ends, and returns its end, or until a read deadline or stop: nil. Danger: a client that sends
// without end would fill the memory. Beyond the bound its bytes stay in the kernel, and only the end is looked for.
func (r *Reader) Watch(stop <-chan struct{}) error {
	for r.err == nil {
		room := min(readSize, r.maxAhead-len(r.ahead))
		if room <= 0 {
			if r.hungUp() {
				r.err = io.EOF
				break
			}
			select {
			case <-stop:
				return nil
			case <-time.After(hangUpPollInterval):
			}
			continue
		}
		n, err := r.conn.Read(r.scratch[:room])
		r.buffer(r.scratch[:n])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		r.err = err
	}
	return r.err
}

// hungUp tells whether the other side has closed or reset the connection, behind whatever lies unread.
func (r *Reader) hungUp() (gone bool) {
	if r.raw == nil {
		return false
	}
	r.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		gone = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone
}

// ReadAvailable takes what has come without waiting, and tells whether the connection has ended.
func (r *Reader) ReadAvailable() (ended bool) {
	for r.err == nil && r.raw != nil && len(r.ahead) < r.maxAhead {
		r.receiveSize = min(readSize, r.maxAhead-len(r.ahead))
		if err := r.raw.Control(r.receive); err != nil {
			r.err = err
			break
		}
		switch {
		case errors.Is(r.receiveErr, syscall.EINTR):
		case errors.Is(r.receiveErr, syscall.EAGAIN):
			return false
		case r.receiveErr != nil:
			r.err = r.receiveErr
		case r.received == 0:
			r.err = io.EOF
		default:
			r.buffer(r.scratch[:r.received])
		}
	}
	return r.err != nil
}

// buffer adds bytes to those that have come.
func (r *Reader) buffer(b []byte) {
	if len(b) > 0 {
		r.ahead = append(r.ahead, b...)
		r.recordArrival(r.consumed + uint64(len(r.ahead)))
	}
}

// recordArrival notes that the bytes before an offset have come by now.
func (r *Reader) recordArrival(endOffset uint64) {
	at := r.now()
	if last := len(r.arrivals) - 1; last >= 0 && at-r.arrivals[last].first < coalesceInterval {
		r.arrivals[last].endOffset, r.arrivals[last].at = endOffset, at
		return
	}
	expired := 0
	for expired < len(r.arrivals) && r.arrivals[expired].endOffset+maxParserBuffer < r.consumed {
		expired++
	}
	r.arrivals = append(r.arrivals[:copy(r.arrivals, r.arrivals[expired:])], arrival{endOffset, at, at})
}

// Unread tells how many bytes have come that were not given out.
func (r *Reader) Unread() int { return len(r.ahead) }

// Ended tells whether the connection's end was seen, whatever came before it.
func (r *Reader) Ended() bool { return r.err != nil }

// ArrivalTime tells when the last byte had come of those given out, but for the last held ones, which a parser has not used yet.
func (r *Reader) ArrivalTime(unused int) time.Duration {
	end := r.consumed - uint64(unused)
	for _, m := range r.arrivals {
		if m.endOffset >= end {
			return m.at
		}
	}
	return r.now()
}

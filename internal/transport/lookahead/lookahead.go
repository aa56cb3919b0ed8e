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
	chunk      = 512                   // bytes read ahead at once
	parserMost = 8 << 10               // bytes that a parser may have been given and not used
	sameTime   = 10 * time.Millisecond // bytes that come within it count as come together
	fullPause  = 50 * time.Millisecond // between looks for the end of a connection of which no more is read
)

// Reader reads a connection.
type Reader struct {
	conn  net.Conn
	raw   syscall.RawConn // nil: what has come can't be asked without waiting
	now   func() time.Duration
	bound int // bytes kept ahead

	ahead []byte // come, and not given out
	given uint64 // bytes given out so far
	marks []mark // when bytes came that may still be asked about
	err   error  // the end, once it was seen

	scratch [chunk]byte
	take    func(fd uintptr) // reads into scratch without waiting; made once, as it is called with each request
	room    int              // of scratch, for take
	took    int
	failed  error
}

// mark tells when the bytes before an offset had come. Danger: a time before a client sent its request would have it count as asked
// earlier than it was, so that bytes that come together have the time of the last.
type mark struct {
	until     uint64
	first, at time.Duration // of those that count as come together
}

// New makes a reader of a connection that keeps bound bytes ahead at the most.
func New(conn net.Conn, now func() time.Duration, bound int) *Reader {
	r := &Reader{conn: conn, now: now, bound: bound}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	r.take = func(fd uintptr) {
		r.took, _, r.failed = syscall.Recvfrom(int(fd), r.scratch[:r.room], syscall.MSG_DONTWAIT)
	}
	return r
}

// Read gives out what has come, and then waits for more.
func (r *Reader) Read(p []byte) (int, error) {
	if len(r.ahead) > 0 {
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		r.given += uint64(n)
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
		r.given += uint64(n)
		r.came(r.given)
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
		room := min(chunk, r.bound-len(r.ahead))
		if room <= 0 {
			if r.hungUp() {
				r.err = io.EOF
				break
			}
			select {
			case <-stop:
				return nil
			case <-time.After(fullPause):
			}
			continue
		}
		n, err := r.conn.Read(r.scratch[:room])
		r.keep(r.scratch[:n])
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
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(ask, 0)
		gone = err == nil && n > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone
}

// Look takes what has come without waiting, and tells whether the connection has ended.
func (r *Reader) Look() (ended bool) {
	for r.err == nil && r.raw != nil && len(r.ahead) < r.bound {
		r.room = min(chunk, r.bound-len(r.ahead))
		if err := r.raw.Control(r.take); err != nil {
			r.err = err
			break
		}
		switch {
		case errors.Is(r.failed, syscall.EINTR):
		case errors.Is(r.failed, syscall.EAGAIN):
			return false
		case r.failed != nil:
			r.err = r.failed
		case r.took == 0:
			r.err = io.EOF
		default:
			r.keep(r.scratch[:r.took])
		}
	}
	return r.err != nil
}

// keep adds bytes to those that have come.
func (r *Reader) keep(b []byte) {
	if len(b) > 0 {
		r.ahead = append(r.ahead, b...)
		r.came(r.given + uint64(len(r.ahead)))
	}
}

// came notes that the bytes before an offset have come by now.
func (r *Reader) came(until uint64) {
	at := r.now()
	if last := len(r.marks) - 1; last >= 0 && at-r.marks[last].first < sameTime {
		r.marks[last].until, r.marks[last].at = until, at
		return
	}
	old := 0
	for old < len(r.marks) && r.marks[old].until+parserMost < r.given {
		old++
	}
	r.marks = append(r.marks[:copy(r.marks, r.marks[old:])], mark{until, at, at})
}

// Ahead tells how many bytes have come that were not given out.
func (r *Reader) Ahead() int { return len(r.ahead) }

// Ended tells whether the connection's end was seen, whatever came before it.
func (r *Reader) Ended() bool { return r.err != nil }

// Came tells when the last byte had come of those given out, but for the last held ones, which a parser has not used yet.
func (r *Reader) Came(held int) time.Duration {
	end := r.given - uint64(held)
	for _, m := range r.marks {
		if m.until >= end {
			return m.at
		}
	}
	return r.now()
}

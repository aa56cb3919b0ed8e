// Package lookahead reads a client's connection ahead of its parser, so that the end of the connection is noticed even behind bytes that the
// parser has not read yet, and the time at which those bytes arrived is known. It depends only on transport/membudget and poll(2). A Reader
// is used by one goroutine; Watch may run in another one while the first does not read, and HungUp at any time. The package must never add a byte, lose one of
// an open connection, or keep more bytes than its limit or the memory budget of all connections allows.
package lookahead

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flaxfront/internal/transport/membudget"
)

const (
	readSize         = 512                   // bytes read ahead by one call
	maxParserBuffer  = 8 << 10               // bytes that a parser may have read and not used yet
	coalesceInterval = 10 * time.Millisecond // bytes that arrive within it count as having arrived together
)

// HangUpPollInterval is the time between checks for the end of a connection whose bytes are not read at present.
const HangUpPollInterval = 50 * time.Millisecond

// Reader reads a connection and can read ahead of its caller.
type Reader struct {
	conn     net.Conn
	raw      syscall.RawConn // nil: the connection can't be read without blocking
	now      func() time.Duration
	maxAhead int // limit of the bytes read ahead

	memory   membudget.Account // for the capacity of ahead
	ahead    []byte            // read ahead, and not returned by Read yet
	consumed uint64            // bytes that Read has returned so far
	arrivals []arrival         // when the bytes arrived that ArrivalTime may be asked about
	err      error             // the end of the connection, once noticed

	scratch     [readSize]byte
	receive     func(fd uintptr) // reads into scratch without blocking; created once, as it is called for each request
	receiveSize int              // bytes of scratch that receive may use
	received    int
	receiveErr  error
}

// New returns a reader of a connection that reads at most maxAhead bytes ahead, and only what the budget has memory for; nil: the budget is
// unlimited. Release gives the memory back.
func New(conn net.Conn, now func() time.Duration, maxAhead int, budget *membudget.Budget) *Reader {
	r := &Reader{conn: conn, now: now, maxAhead: maxAhead}
	r.memory.Open(budget, readSize)
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

// Read returns bytes that were read ahead, if any; otherwise it reads from the connection.
func (r *Reader) Read(p []byte) (int, error) {
	if len(r.ahead) > 0 {
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		r.consumed += uint64(n)
		if len(r.ahead) == 0 {
			r.ahead = nil
			r.memory.ShrinkTo(0)
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

// PushBack takes back the last bytes that Read has returned, and reports false if there is no memory for them. The next Read returns them.
func (r *Reader) PushBack(b []byte) bool {
	if len(b) == 0 {
		return true
	}
	capacity := len(b) + len(r.ahead)
	if more := capacity - r.memory.Held(); more > 0 && !r.memory.TryGrow(more) {
		return false
	}
	r.ahead = append(append(make([]byte, 0, capacity), b...), r.ahead...)
	r.consumed -= uint64(len(b))
	return true
}

// Watch reads ahead until the connection ends, and returns the error of its end. It returns nil at a read deadline, or when stop is
// closed while the limit is reached. Since a client that keeps sending would use up memory, bytes beyond the limit stay in the kernel, and
// Watch only checks for the end of the connection.
func (r *Reader) Watch(stop <-chan struct{}) error {
	for r.err == nil {
		room := r.room()
		if room <= 0 {
			if r.HungUp() {
				r.err = io.EOF
				break
			}
			select {
			case <-stop:
				return nil
			case <-time.After(HangUpPollInterval):
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

// WatchFor reads ahead for a time, or until the connection ends. It sets the read deadline.
func (r *Reader) WatchFor(wait time.Duration) {
	over := make(chan struct{})
	timer := time.AfterFunc(wait, func() { close(over) })
	defer timer.Stop()
	r.conn.SetReadDeadline(time.Now().Add(wait))
	r.Watch(over)
}

// HungUp reports whether the other side has closed or reset the connection, even if bytes are still unread. It may be called beside all other
// methods.
func (r *Reader) HungUp() (gone bool) {
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

// ReadAvailable reads ahead what can be read without blocking, and reports whether the connection has ended. At the limit of bytes read ahead
// it notices the end behind bytes that are left in the kernel.
func (r *Reader) ReadAvailable() (ended bool) {
	for r.err == nil && r.raw != nil {
		if r.receiveSize = r.room(); r.receiveSize <= 0 {
			break
		}
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
	if r.err == nil && r.HungUp() {
		r.err = io.EOF
	}
	return r.err != nil
}

// room returns how many bytes may be read ahead now. The memory for them is reserved.
func (r *Reader) room() int {
	room := min(readSize, r.maxAhead-len(r.ahead))
	if room <= 0 {
		return 0
	}
	if more := r.capacityFor(room) - r.memory.Held(); more > 0 && !r.memory.TryGrow(more) {
		return 0
	}
	return room
}

// capacityFor returns the capacity that the bytes read ahead need to be followed by n more.
func (r *Reader) capacityFor(n int) int {
	if needed := len(r.ahead) + n; needed > cap(r.ahead) {
		return max(needed, min(2*cap(r.ahead), r.maxAhead))
	}
	return cap(r.ahead)
}

// buffer appends bytes to those read ahead, for which there is room.
func (r *Reader) buffer(b []byte) {
	if len(b) == 0 {
		return
	}
	if capacity := r.capacityFor(len(b)); capacity > cap(r.ahead) {
		r.ahead = append(make([]byte, 0, capacity), r.ahead...)
	}
	r.ahead = append(r.ahead, b...)
	r.recordArrival(r.consumed + uint64(len(r.ahead)))
}

// Release gives back the memory of what was read ahead. The reader must not be used any longer.
func (r *Reader) Release() { r.memory.Close() }

// Unread returns the number of bytes read ahead that Read has not returned yet.
func (r *Reader) Unread() int { return len(r.ahead) }

// Ended reports whether the end of the connection has been noticed, even if bytes before it are unread.
func (r *Reader) Ended() bool { return r.err != nil }

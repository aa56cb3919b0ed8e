package lookahead

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/transport/membudget"
)

// fakeClock is a clock that the test sets.
type fakeClock struct{ at time.Duration }

func (c *fakeClock) now() time.Duration { return c.at }

func connPair(t *testing.T) (near *net.TCPConn, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	there, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { there.Close() })
	return there.(*net.TCPConn), conn.(*net.TCPConn)
}

// readUntilBuffered reads ahead until n bytes are unread.
func readUntilBuffered(r *Reader, n int) {
	for r.Unread() < n {
		r.ReadAvailable()
	}
}

// The end of a connection, by a close or a reset, is noticed behind unread bytes, both within the limit and beyond it. After a close, the
// bytes read ahead can still be read.
func TestEndIsSeenBehindBytes(t *testing.T) {
	for _, size := range []int{0, 1, readSize, 5000, 100000} {
		for _, reset := range []bool{false, true} {
			near, far := connPair(t)
			r := New(near, new(fakeClock).now, 4096, nil)
			text := strings.Repeat("x", size)
			go func() {
				io.WriteString(far, text)
				if reset {
					far.SetLinger(0)
				}
				far.Close()
			}()
			if err := r.Watch(make(chan struct{})); err == nil || !r.Ended() {
				t.Errorf("%d bytes, reset %v: the end was not noticed: %v", size, reset, err)
			}
			if ahead := r.Unread(); ahead > 4096 || !reset && ahead != min(size, 4096) {
				t.Errorf("%d bytes, reset %v: %d bytes read ahead", size, reset, ahead)
			}
			if reset {
				continue
			}
			if got, err := io.ReadAll(r); string(got) != text[:min(size, 4096)] || err != nil {
				t.Errorf("%d bytes: read %d, %v", size, len(got), err)
			}
		}
	}
}

// Stopping Watch loses no bytes, whether it waits for bytes or has reached its limit.
func TestWatchStops(t *testing.T) {
	for _, size := range []int{10, 100000} {
		near, far := connPair(t)
		r := New(near, new(fakeClock).now, 4096, nil)
		text := bytes.Repeat([]byte("0123456789"), size/10)
		go far.Write(text)
		stop, watched := make(chan struct{}), make(chan error, 1)
		go func() { watched <- r.Watch(stop) }()
		time.AfterFunc(20*time.Millisecond, func() {
			close(stop)
			near.SetReadDeadline(time.Unix(1, 0))
		})
		if err := <-watched; err != nil {
			t.Errorf("%d bytes: %v", size, err)
		}
		near.SetReadDeadline(time.Time{})
		got := make([]byte, size)
		if _, err := io.ReadFull(r, got); err != nil || !bytes.Equal(got, text) {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
}

// Bytes read ahead have the time at which they arrived, not that at which they are returned.
func TestWhenBytesCame(t *testing.T) {
	near, far := connPair(t)
	c := &fakeClock{}
	r := New(near, c.now, 4096, nil)
	for i := range 3 {
		c.at = time.Duration(1+i) * time.Second
		io.WriteString(far, "12345")
		readUntilBuffered(r, 5*(i+1))
	}
	c.at = time.Minute
	got := make([]byte, 15)
	io.ReadFull(r, got)
	for held, want := range map[int]time.Duration{0: 3, 4: 3, 5: 2, 9: 2, 10: 1, 14: 1} {
		if at := r.ArrivalTime(held); at != want*time.Second {
			t.Errorf("arrival time with %d unused bytes: %v", held, at)
		}
	}
	io.WriteString(far, "later")
	if _, err := io.ReadFull(r, got[:5]); err != nil || r.ArrivalTime(0) != time.Minute {
		t.Errorf("error %v, arrival time %v", err, r.ArrivalTime(0))
	}
}

// Bytes that arrive within coalesceInterval have the time of the last of them. A slow stream of bytes never has the time of much earlier ones.
func TestBytesThatCameTogether(t *testing.T) {
	near, far := connPair(t)
	c := &fakeClock{at: time.Second}
	r := New(near, c.now, 4096, nil)
	for i := range 30 {
		io.WriteString(far, "x")
		readUntilBuffered(r, i+1)
		c.at += coalesceInterval / 4
	}
	got := make([]byte, 30)
	io.ReadFull(r, got)
	for i := range 30 {
		came := time.Second + time.Duration(i)*coalesceInterval/4
		if at := r.ArrivalTime(29 - i); at < came || at > came+coalesceInterval {
			t.Errorf("byte %d has arrival time %[3]v, arrived at %[2]v", i, came, at)
		}
	}
}

// ReadAvailable reads what is there and never blocks, even after the read deadline.
func TestReadAvailableNeverWaits(t *testing.T) {
	near, far := connPair(t)
	r := New(near, new(fakeClock).now, 4096, nil)
	near.SetReadDeadline(time.Unix(1, 0))
	if r.ReadAvailable() || r.Unread() != 0 {
		t.Error("bytes or an end read from an idle connection")
	}
	io.WriteString(far, "abc")
	readUntilBuffered(r, 3)
	far.Close()
	for !r.ReadAvailable() {
	}
	if got, err := io.ReadAll(r); string(got) != "abc" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	piped, _ := net.Pipe()
	if New(piped, new(fakeClock).now, 10, nil).ReadAvailable() {
		t.Error("the end of a pipe was reported, which can't be read without blocking")
	}
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// Reading request after request allocates nothing.
func TestReadAvailableAllocatesNothing(t *testing.T) {
	near, far := connPair(t)
	r := New(near, new(fakeClock).now, 4096, nil)
	buf, text := make([]byte, 8), []byte("12345678")
	n := testing.AllocsPerRun(100, func() {
		far.Write(text)
		io.ReadFull(r, buf)
		r.ArrivalTime(0)
		r.ReadAvailable()
	})
	if n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// The end of a connection is noticed without waiting even if the limit of bytes read ahead is reached.
func TestEndBehindFullLookaheadIsSeenAtOnce(t *testing.T) {
	const limit = 4096
	near, far := connPair(t)
	r := New(near, new(fakeClock).now, limit, nil)
	io.WriteString(far, strings.Repeat("x", 2*limit))
	readUntilBuffered(r, limit)
	if r.ReadAvailable() {
		t.Fatal("the end of an open connection was reported")
	}
	far.Close()
	for deadline := time.Now().Add(time.Second); !r.ReadAvailable(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the close behind unread bytes was not noticed")
		}
	}
}

// Bytes that are pushed back are read again before those behind them, and are refused where there is no memory for them.
func TestPushBack(t *testing.T) {
	near, far := connPair(t)
	r := New(near, new(fakeClock).now, 4096, membudget.New("test", 1))
	io.WriteString(far, "first second")
	p := make([]byte, 64)
	n, err := io.ReadAtLeast(r, p, len("first second"))
	if err != nil || !r.PushBack(p[len("first"):n]) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	io.WriteString(far, " third")
	far.CloseWrite()
	if rest, err := io.ReadAll(r); string(rest) != " second third" {
		t.Errorf("read %q, %v", rest, err)
	}
	if r.PushBack(make([]byte, 2*readSize)) {
		t.Error("bytes were taken back without memory")
	}
}

package server

// Tests of requests that arrive while idle connections are closed, and helpers that serve a connection with a hook.

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"flaxfront/internal/server/ingress"
	"flaxfront/internal/transport/httpwire"
)

// deadlineHook is a client connection that calls onDeadline just after the nth read deadline was set.
type deadlineHook struct {
	net.Conn
	onDeadline func(n int)
	deadlines  int
}

func (c *deadlineHook) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	if at.IsZero() || time.Since(at) < time.Hour { // other deadlines only wake the reader
		c.deadlines++
		c.onDeadline(c.deadlines)
	}
	return err
}

// serveConnection serves a connection, and returns when the ingress lists it or it has ended.
func serveConnection(s *Server, in *ingress.Ingress, conn net.Conn) <-chan ingress.Reason {
	ended := make(chan ingress.Reason, 1)
	go func() { ended <- in.ServeConnection(s.ctx, withoutLinger{conn, conn.(syscall.Conn)}) }()
	for len(in.Connections()) == 0 && len(ended) == 0 {
		time.Sleep(50 * time.Microsecond)
	}
	return ended
}

// withoutLinger is a connection without CloseWrite, so that it is closed at once after its last answer.
type withoutLinger struct {
	net.Conn
	raw syscall.Conn
}

func (c withoutLinger) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// After SIGTERM clients send for as long as a connection stays open. A request that arrives before the close is answered, even if reading from
// its connection had not started when idle connections were closed, or if only a part of it had arrived.
func TestRequestCrossesClosingOfIdleConnections(t *testing.T) {
	text := post("a", body)
	for what, at := range map[string]struct {
		set  int // number of the deadline at which idle connections are closed
		sent int // bytes sent before the close; the others are sent after it
	}{
		"not read yet":  {1, len(text)},
		"come in part":  {2, 20},
		"a byte of it":  {2, 1},
		"whole in time": {2, len(text)},
	} {
		s, _ := runServer(t, 1024)
		waitUntil(s, func(Counters) bool { return true })
		near, far := tcpPair(t)
		rest := make(chan struct{})
		conn := &deadlineHook{Conn: near}
		conn.onDeadline = func(n int) {
			if n == at.set {
				s.draining.Store(true)
				s.ingress.CloseIdle()
				close(rest)
			}
		}
		io.WriteString(far, text[:at.sent])
		ended := serveConnection(s, s.ingress, hookedConn{conn, near})
		go func() {
			<-rest
			io.WriteString(far, text[at.sent:])
		}()
		m, err := httpwire.ReadResponse(httpwire.NewReader(far))
		if err != nil || m.Status != 200 || !m.Close {
			t.Errorf("%s: %v, %+v", what, err, m)
		}
		if reason := <-ended; reason != ingress.LastAnswer {
			t.Errorf("%s: the connection ended with reason %s", what, reason)
		}
	}
}

// hookedConn is a deadlineHook that also gives access to the TCP connection, so that unread bytes on it can be seen.
type hookedConn struct {
	*deadlineHook
	*net.TCPConn
}

func (p hookedConn) Read(b []byte) (int, error)          { return p.deadlineHook.Read(b) }
func (p hookedConn) Write(b []byte) (int, error)         { return p.deadlineHook.Write(b) }
func (p hookedConn) Close() error                        { return p.deadlineHook.Close() }
func (p hookedConn) LocalAddr() net.Addr                 { return p.deadlineHook.LocalAddr() }
func (p hookedConn) RemoteAddr() net.Addr                { return p.deadlineHook.RemoteAddr() }
func (p hookedConn) SetDeadline(at time.Time) error      { return p.deadlineHook.SetDeadline(at) }
func (p hookedConn) SetReadDeadline(at time.Time) error  { return p.deadlineHook.SetReadDeadline(at) }
func (p hookedConn) SetWriteDeadline(at time.Time) error { return p.deadlineHook.SetWriteDeadline(at) }

func tcpPair(t *testing.T) (near *net.TCPConn, far net.Conn) {
	ln := listen(t)
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn), far
}

package server

// Tests of requests that cross the closing of idle connections, and the means to serve a connection with a hook in it.

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"flaxfront/internal/server/ingress"
	"flaxfront/internal/transport/httpwire"
)

// deadlineHook is a client's connection at which something happens just after a deadline was set.
type deadlineHook struct {
	net.Conn
	onDeadline func(n int)
	deadlines  int
}

func (c *deadlineHook) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	if at.IsZero() || time.Since(at) < time.Hour { // others only wake the reader
		c.deadlines++
		c.onDeadline(c.deadlines)
	}
	return err
}

// serveConnection serves a connection, which stands in the set of connections when it returns or has ended.
func serveConnection(s *Server, in *ingress.Ingress, conn net.Conn) <-chan ingress.Reason {
	ended := make(chan ingress.Reason, 1)
	go func() { ended <- in.ServeConnection(s.ctx, withoutLinger{conn, conn.(syscall.Conn)}) }()
	for len(in.Connections()) == 0 && len(ended) == 0 {
		time.Sleep(50 * time.Microsecond)
	}
	return ended
}

// withoutLinger is a connection whose sending side can't be closed alone, so that it ends at once after its last answer.
type withoutLinger struct {
	net.Conn
	raw syscall.Conn
}

func (c withoutLinger) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Clients send after SIGTERM for as long as a connection stays open. What came before the close is answered, also on a
// connection that nobody had begun to read when the idle ones were closed, and a request that had come in part.
func TestRequestCrossesClosingOfIdleConnections(t *testing.T) {
	text := post("a", body)
	for what, at := range map[string]struct {
		set  int // at which setting of its deadline the idle connections are closed
		sent int // bytes that have come by then; the others come after
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
			t.Errorf("%s: ended as %s", what, reason)
		}
	}
}

// hookedConn shows what has come on the connection beneath.
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

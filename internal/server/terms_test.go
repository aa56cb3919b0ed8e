package server

// This file holds the standing test's terms against the broker on loopback sockets: docs/assumptions.md has the table.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
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
	if time.Since(at) < time.Hour { // others only wake the reader
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
func TestRequestCrossesTheClose(t *testing.T) {
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

// A broker that starts on a listed configuration may owe a drain: it asks for what is new with no client's help, and once told
// sends the node nothing.
func TestDrainOwedAtTheStart(t *testing.T) {
	asks := listen(t)
	start := startConfiguration(t, "127.0.0.1:0", 1024)
	start.Discovery = asks.Addr().(*net.TCPAddr).AddrPort()
	s, _ := runConfigured(t, start, operator.Default())
	asks.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)) // else it is never asked
	conn, err := asks.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	m, err := httpwire.ReadRequest(httpwire.NewReader(conn))
	if err != nil || !strings.HasPrefix(m.Query, "index=1&wait=") {
		t.Fatalf("asked %+v, %v", m, err)
	}
	owed := fmt.Sprintf(`{"generation":2,"reset":false,"instances":[{"instanceId":"s-0","hostPort":%q,"zone":"a","cell":0,`+
		`"lifecycle":"terminating"}]}`, "127.0.0.1:9")
	conn.Write(httpwire.AppendResponse(nil, 200, false, []byte(owed)))
	waitUntil(s, func(c Counters) bool { return c.Queries.ListsReceived == 2 }) // the configuration's, and this
	if m := dial(t, s).roundTrip(post("a", body)); strings.Contains(string(m.Body), `"tablet":0`) {
		t.Errorf("served through a draining node: %d %s", m.Status, m.Body)
	}
}

package server

// Tests of clients that leave, and what lies unread on their connections, in the orders that go wrong: docs/acceptance.md.

import (
	"errors"
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

// waitUpToASecond waits for a state that must come soon, and well before any deadline of the test's queries.
func waitUpToASecond(t *testing.T, s *Server, what string, reached func(Counters) bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); !reached(s.Counters()); {
		if time.Now().After(end) {
			t.Fatalf("%s: not within a second: %+v", what, s.Counters().Queries)
		}
	}
}

// A client that has sent more while its query is in flight, and then leaves, is noticed at once, however much it has sent: the query
// is left, what was sent behind it is never begun, and a connection that comes up later carries nothing of it.
func TestDepartureBehindUnreadBytesIsNoticed(t *testing.T) {
	s, _ := runServer(t, 1024)
	n := uint64(0)
	for what, behind := range map[string]string{
		"a stray byte":      "x",
		"another query":     postUnanswered("b", "1900"),
		"many queries":      strings.Repeat(postUnanswered("b", "1900"), 20),
		"more than is kept": strings.Repeat("x", 4*ingress.MaxLookahead),
	} {
		for _, reset := range []bool{false, true} {
			n++
			c := dial(t, s)
			io.WriteString(c, postUnanswered("a", "1900"))
			waitUpToASecond(t, s, what, func(c Counters) bool { return c.Queries.InFlight == 1 })
			go func() {
				io.WriteString(c, behind)
				if reset {
					c.Conn.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
			}()
			waitUpToASecond(t, s, what, func(c Counters) bool { return c.Queries.Abandoned == n && c.Queries.InFlight == 0 })
			waitUpToASecond(t, s, what, func(c Counters) bool { return c.Clients.Closed == n })
			if got := s.Counters().Queries; got.Received != n || got.Store.Parts > 2*n {
				t.Errorf("%s, reset %v: %d taken of %d, %d parts sent", what, reset, got.Received, n, got.Store.Parts)
			}
		}
	}
}

// A client that has left before its request is read is not worked for: its connection waited to be accepted, or the process stood
// still meanwhile.
func TestRequestOfDepartedClientIsNotStarted(t *testing.T) {
	s, _ := runServer(t, 1024)
	waitUntil(s, func(Counters) bool { return true })
	near, far := tcpPair(t)
	io.WriteString(far, post("a", body))
	far.Close()
	if reason := <-serveConnection(s, s.ingress, near); reason != ingress.ClientDeparted {
		t.Errorf("ended as %s", reason)
	}
	if n := s.Counters().Queries; n.Received != 0 || n.Store.Parts != 0 {
		t.Errorf("%d taken, %d parts sent", n.Received, n.Store.Parts)
	}
}

// A request that was sent ahead counts from when it came: its nodes are told what is left to its client, not its whole time.
func TestTimeoutCountsFromArrival(t *testing.T) {
	s, _ := runServer(t, 1024)
	c := dial(t, s)
	io.WriteString(c, postUnanswered("a", "900"))
	waitUpToASecond(t, s, "first", func(c Counters) bool { return c.Queries.InFlight == 1 })
	begun := time.Now()
	io.WriteString(c, postUnanswered("b", "1000"))
	for _, id := range []string{"a", "b"} {
		if m := c.readResponse(); m.Status != 504 && m.Status != 503 {
			t.Errorf("%s: %d", id, m.Status)
		}
	}
	if took := time.Since(begun); took > 1500*time.Millisecond {
		t.Errorf("the second was answered %v after it came, with a time of 1 s", took)
	}
}

// The last answer of a connection reaches a client that has sent more by then: the connection is not reset under it.
func TestLastAnswerIsNotReset(t *testing.T) {
	for what, text := range map[string]string{
		"asked to close": strings.Replace(post("a", body), "\r\n", "\r\nConnection: close\r\n", 1),
		"bad request":    strings.Replace(post("a", body), "acme", "nobody", 1),
	} {
		s, _ := runServer(t, 1024)
		c := dial(t, s)
		io.WriteString(c, text+strings.Repeat("x", 3*ingress.MaxLookahead))
		if m := c.readResponse(); !m.Close {
			t.Errorf("%s: %d, and the connection goes on", what, m.Status)
		}
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("%s: after the last answer: %v (reset: %v)", what, err, errors.Is(err, syscall.ECONNRESET))
		}
	}
}

// stalledListener accepts one connection and stands still with it in its hands until it is released.
type stalledListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	<-l.released
	return conn, err
}

// Connections that wait in the kernel when a stop closes the listener are accepted first, and their requests answered.
func TestStopAcceptsQueuedConnections(t *testing.T) {
	s := openServer(t, startConfiguration(t, "127.0.0.1:0", 1024), operator.Default())
	stalled := &stalledListener{TCPListener: s.listener.(*net.TCPListener), released: make(chan struct{})}
	s.listener = stalled
	s.openIngress()
	stopWaiting := make(chan time.Time)
	s.timeAfter = func(time.Duration) <-chan time.Time { return stopWaiting }
	end := serveUntilEnd(t, s)
	waitUntil(s, func(Counters) bool { return true })
	var waiting []*testClient
	for i := range 5 {
		c := dial(t, s)
		io.WriteString(c, post(fmt.Sprint("a", i), body))
		waiting = append(waiting, c)
	}
	done := make(chan error, 1)
	go func() { done <- end() }()
	for !s.draining.Load() {
	}
	stopWaiting <- time.Time{}
	closed := false
	for begun := time.Now(); time.Since(begun) < 10*ingress.QueueQuietPeriod && !closed; {
		conn, err := net.DialTimeout("tcp", s.listener.Addr().String(), ingress.QueueQuietPeriod)
		if closed = err != nil; !closed {
			conn.Close()
		}
	}
	close(stalled.released)
	for i, c := range waiting {
		if m, err := httpwire.ReadResponse(c.in); err != nil || m.Status != 200 {
			t.Errorf("connection %d: %v, %+v", i, err, m)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// What comes after SIGTERM has its answer before the kill, whatever time its client gives it; what came before keeps its time.
func TestAnswerComesBeforeTheKill(t *testing.T) {
	s, _ := runServer(t, 1024)
	longest := s.Settings().LongestTimeout()
	if by := s.answerDeadline(time.Second, longest); by != time.Second+longest {
		t.Errorf("while it serves: by %v", by)
	}
	s.stopRequested.Store(int64(time.Second))
	s.draining.Store(true)
	kill := time.Second + min(longest, maxKillWait) + answerWithin
	for _, c := range []struct{ arrived, timeout, by time.Duration }{
		{1500 * time.Millisecond, time.Second, 2500 * time.Millisecond},
		{1500 * time.Millisecond, time.Minute, kill - killMargin},
		{kill, time.Minute, kill + minAnswerTime},
	} {
		if by := s.answerDeadline(c.arrived, c.timeout); by != c.by {
			t.Errorf("%+v: by %v", c, by)
		}
	}
}

// A stop ends in time though clients go on connecting: what comes without end is no queue.
func TestStopEndsWhileClientsKeepConnecting(t *testing.T) {
	s, end := runServer(t, 1024)
	s.timeAfter = func(time.Duration) <-chan time.Time { return time.After(0) }
	waitUntil(s, func(Counters) bool { return true })
	at, stop := s.listener.Addr().String(), make(chan struct{})
	defer close(stop)
	for range 4 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if conn, err := net.Dial("tcp", at); err == nil {
					conn.Close()
				}
			}
		}()
	}
	begun := time.Now()
	end()
	if took := time.Since(begun); took > 5*stopAcceptingAfter {
		t.Errorf("it took %v", took)
	}
}

package server

// Tests of client connections: kept open, closed for lack of descriptors, closed by clients, and during a shutdown.

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// Clients that keep a connection open for each request must not exhaust the descriptors: the connections that have been idle longest are
// closed well before clients hold the third of the descriptors that they may (incident r9fe40b).
func TestKeptConnections(t *testing.T) {
	s, _ := runServer(t, 96)
	var held []*testClient
	for i := range 80 {
		c := dial(t, s)
		if m := c.roundTrip(post(fmt.Sprint("a", i), body)); m.Status != 200 || m.Close {
			t.Fatalf("request %d: status %d, or the connection is closed", i, m.Status)
		}
		held = append(held, c)
		n := 0
		for _, c := range s.ingress.Connections() {
			if c.Used && c.Ending == "" {
				n++
			}
		}
		if n > 96/3*3/4 {
			t.Fatalf("%d connections kept open after request %d", n, i)
		}
	}
	for _, c := range held[:20] {
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("one of the connections idle longest is still open: %v", err)
		}
	}
	if m := held[79].roundTrip(post("z", body)); m.Status != 200 {
		t.Errorf("the newest connection: status %d", m.Status)
	}
}

// A client that closes its connection must free its slots at once, without effect on other clients.
func TestDepartedClientFreesItsPlace(t *testing.T) {
	s, _ := runServer(t, 1024)
	gone, stays := dial(t, s), dial(t, s)
	io.WriteString(gone, postUnanswered("a", "1900"))
	waitUntil(s, func(c Counters) bool { return c.Queries.InFlight == 1 })
	gone.Close()
	waitUntil(s, func(c Counters) bool { return c.Queries.Abandoned == 1 && c.Queries.InFlight == 0 })
	if m := stays.roundTrip(post("b", body)); m.Status != 200 {
		t.Errorf("other client: status %d", m.Status)
	}
}

// At a graceful shutdown queries in flight are answered, and new ones served until the listener closes; Run then returns no error.
func TestStop(t *testing.T) {
	s, end := runServer(t, 1024)
	enough := make(chan time.Time)
	s.timeAfter = func(time.Duration) <-chan time.Time { return enough }
	busy, idle, again := dial(t, s), dial(t, s), dial(t, s)
	idle.roundTrip(post("a", body))
	again.roundTrip(post("a2", body))
	io.WriteString(busy, postUnanswered("b", "900"))
	waitUntil(s, func(c Counters) bool { return c.Queries.InFlight == 1 })
	done := make(chan error, 1)
	go func() { done <- end() }()
	for !s.draining.Load() {
	}
	if m := dial(t, s).roundTrip(post("c", body)); m.Status != 200 || !m.Close {
		t.Errorf("new connection during the shutdown: status %d, close %v", m.Status, m.Close)
	}
	if m := dial(t, s).roundTrip("GET /up HTTP/1.1\r\nHost: b\r\n\r\n"); m.Status != 503 {
		t.Errorf("/up: status %d", m.Status)
	}
	if m := again.roundTrip(post("d", body)); m.Status != 200 || !m.Close {
		t.Errorf("kept connection during the shutdown: status %d, close %v", m.Status, m.Close)
	}
	close(enough)
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	if m := busy.readResponse(); m.Status != 504 || !m.Close {
		t.Errorf("query in flight: status %d, close %v", m.Status, m.Close)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// When descriptors run short, a connection that is idle or whose request does not arrive must be closed, never one with a query in
// flight.
func TestIdleConnectionsGiveWay(t *testing.T) {
	s, _ := runServer(t, spareSockets+6) // two for nodes, four for clients
	busy := dial(t, s)
	io.WriteString(busy, postUnanswered("a", "900"))
	waitUntil(s, func(c Counters) bool { return c.Queries.InFlight == 1 })
	for range 3 { // requests that never become complete must not keep their connections
		io.WriteString(dial(t, s), post("x", body)[:50])
	}
	for n := 0; dial(t, s).roundTrip(post(fmt.Sprint("c", n), body)).Status != 200; n++ { // until the incomplete requests' grace has passed
	}
	for i := range 9 {
		if m := dial(t, s).roundTrip(post(fmt.Sprint("b", i), body)); m.Status != 200 {
			t.Fatalf("request %d: status %d", i, m.Status)
		}
	}
	if m := busy.readResponse(); m.Status != 504 {
		t.Errorf("query in flight: status %d", m.Status)
	}
}

// Every query on an accepted connection must be answered, however many come at once. Guards against closing a new connection in favour of
// the next one before its request was read, and against new connections waiting until their clients give up while all others are busy.
func TestManyClientsAtOnce(t *testing.T) {
	s, _ := runServer(t, spareSockets+6)
	statuses := make(chan int, 60)
	for i := range cap(statuses) {
		c := dial(t, s)
		go func() {
			io.WriteString(c, postUnanswered(fmt.Sprint("a", i), "900"))
			m, err := httpwire.ReadResponse(c.in)
			if err != nil {
				m = &httpwire.Message{}
			}
			statuses <- m.Status
			c.Close()
		}()
	}
	count := map[int]int{}
	for range cap(statuses) {
		count[<-statuses]++
	}
	if count[503] == 0 || count[503]+count[504] != cap(statuses) {
		t.Errorf("responses by status: %v", count)
	}
}

package server

// Tests of what becomes of client connections: kept, useless, gone, crowded, and at a stop.

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// Clients that hold a connection for each request they ever made leave room for the next: those that idled longest are
// closed, well before the third of the descriptors that clients may hold (incident r9fe40b).
func TestKeptConnections(t *testing.T) {
	s, _ := runServer(t, 96)
	var held []*testClient
	for i := range 80 {
		c := dial(t, s)
		if m := c.roundTrip(post(fmt.Sprint("a", i), body)); m.Status != 200 || m.Close {
			t.Fatalf("request %d: %d", i, m.Status)
		}
		held = append(held, c)
		n := 0
		for _, c := range s.ingress.Connections() {
			if c.Used && c.Ending == "" {
				n++
			}
		}
		if n > 96/3*3/4 {
			t.Fatalf("%d kept after request %d", n, i)
		}
	}
	for _, c := range held[:20] {
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("one of those that idled longest: %v", err)
		}
	}
	if m := held[79].roundTrip(post("z", body)); m.Status != 200 {
		t.Errorf("the last: %d", m.Status)
	}
}

// A client that goes away frees its place at once; its neighbours feel nothing.
func TestDepartedClientFreesItsPlace(t *testing.T) {
	s, _ := runServer(t, 1024)
	gone, stays := dial(t, s), dial(t, s)
	io.WriteString(gone, postUnanswered("a", "1900"))
	waitUntil(s, func(c Counters) bool { return c.Queries.InFlight == 1 })
	gone.Close()
	waitUntil(s, func(c Counters) bool { return c.Queries.Abandoned == 1 && c.Queries.InFlight == 0 })
	if m := stays.roundTrip(post("b", body)); m.Status != 200 {
		t.Errorf("%d", m.Status)
	}
}

// SIGTERM: what is in flight is answered, who still comes is served, and then it ends without a fault.
func TestStop(t *testing.T) {
	s, end := runServer(t, 1024)
	enough := make(chan time.Time)
	s.after = func(time.Duration) <-chan time.Time { return enough }
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
		t.Errorf("who comes late: %d, closed %v", m.Status, m.Close)
	}
	if m := dial(t, s).roundTrip("GET /up HTTP/1.1\r\nHost: b\r\n\r\n"); m.Status != 503 {
		t.Errorf("/up: %d", m.Status)
	}
	if m := again.roundTrip(post("d", body)); m.Status != 200 || !m.Close {
		t.Errorf("who asks again: %d, closed %v", m.Status, m.Close)
	}
	close(enough)
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	if m := busy.readResponse(); m.Status != 504 || !m.Close {
		t.Errorf("in flight: %d, closed %v", m.Status, m.Close)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("it still listens")
	}
}

// Where descriptors run short an idle connection gives way, or one whose request does not come, never one with a
// query in flight.
func TestIdleConnectionsGiveWay(t *testing.T) {
	s, _ := runServer(t, spareSockets+6) // two for nodes, four for clients
	busy := dial(t, s)
	io.WriteString(busy, postUnanswered("a", "900"))
	waitUntil(s, func(c Counters) bool { return c.Queries.InFlight == 1 })
	for range 3 { // requests that never come whole hold no place for ever
		io.WriteString(dial(t, s), post("x", body)[:50])
	}
	for n := 0; dial(t, s).roundTrip(post(fmt.Sprint("c", n), body)).Status != 200; n++ { // while they are given a moment
	}
	for i := range 9 {
		if m := dial(t, s).roundTrip(post(fmt.Sprint("b", i), body)); m.Status != 200 {
			t.Fatalf("%d: %d", i, m.Status)
		}
	}
	if m := busy.readResponse(); m.Status != 504 {
		t.Errorf("the busy one: %d", m.Status)
	}
}

// Every query whose connection was taken gets its answer, however many come at once: a new connection was closed
// for the next before its request was read, and with all busy new ones waited until their clients gave up.
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
		t.Errorf("answers by status: %v", count)
	}
}

package sru

// This file tests which connection gives way when the front may hold no more of them.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/lab/archive"
)

const testClients = 3

// startSmallFront starts a front that may hold testClients connections.
func startSmallFront(t *testing.T, b *archive.Broker) *Front {
	t.Helper()
	o := operator.Default().SRU
	o.Listen, o.Clients = "127.0.0.1:0", testClients
	return serveFront(t, b, o)
}

// rawClient is a client that holds its connection.
type rawClient struct {
	net.Conn
	in *bufio.Reader
}

func dialRaw(t *testing.T, f *Front) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	return &rawClient{conn, bufio.NewReader(conn)}
}

func (c *rawClient) send() { fmt.Fprint(c, "GET /?query=cat HTTP/1.1\r\nHost: x\r\n\r\n") }

// receive returns the status of the answer, and whether it is the connection's last; status 0: there is none.
func (c *rawClient) receive() (status int, last bool) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, true
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// Guards against a query that gets neither an answer nor a close while idle clients hold all connections.
func TestIdleConnectionGivesWay(t *testing.T) {
	f := startSmallFront(t, archive.New(archive.DublinCoreRecord))
	var idle []*rawClient
	for range testClients {
		c := dialRaw(t, f)
		c.send()
		if status, last := c.receive(); status != 200 || last {
			t.Fatalf("first query: status %d, last %v", status, last)
		}
		idle = append(idle, c)
	}
	for range 5 {
		c := dialRaw(t, f)
		c.send()
		if status, _ := c.receive(); status != 200 {
			t.Errorf("a query on a new connection while others idle: status %d", status)
		}
	}
	if _, err := idle[0].in.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the longest idle connection was not closed: %v", err)
	}
}

// While all connections are busy, the request on a further one is shed at once, on its own connection, and those in flight are answered.
func TestNewRequestIsShedWhileAllAreBusy(t *testing.T) {
	b := archive.New(archive.DublinCoreRecord)
	f := startSmallFront(t, b)
	hold := make(chan struct{})
	b.Update(func(b *archive.Broker) { b.Gate = hold })
	var busy []*rawClient
	for i := range testClients {
		c := dialRaw(t, f)
		c.send()
		for b.Queries() <= i {
			time.Sleep(time.Millisecond)
		}
		busy = append(busy, c)
	}
	further := dialRaw(t, f)
	further.send()
	if status, last := further.receive(); status != 503 || !last {
		t.Errorf("status %d, last %v, want a last 503", status, last)
	}
	close(hold)
	for _, c := range busy {
		if status, _ := c.receive(); status != 200 {
			t.Errorf("a query in flight: status %d", status)
		}
	}
}

// A request whose bytes arrive in the moment in which its connection gives way is answered, or its connection is closed unread: it never waits.
func TestRequestThatCrossesTheEndOfItsConnection(t *testing.T) {
	f := startSmallFront(t, archive.New(archive.DublinCoreRecord))
	answered := 0
	for range 200 {
		first := dialRaw(t, f)
		first.send()
		first.receive()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range testClients {
				if conn, err := net.Dial("tcp", f.Addr().String()); err == nil {
					(&rawClient{Conn: conn}).send()
					defer conn.Close()
				}
			}
		}()
		first.send()
		began := time.Now()
		if status, _ := first.receive(); status == 200 {
			answered++
		}
		if time.Since(began) > time.Second {
			t.Fatal("neither an answer nor a close within a second")
		}
		<-done
	}
	if answered == 0 {
		t.Error("no request was answered")
	}
}

// A new client that begins late and sends slowly gets an error or a close within 3 s of connecting, also while connections are needed.
func TestSlowNewClientEndsInTime(t *testing.T) {
	f := startSmallFront(t, archive.New(archive.DublinCoreRecord))
	began := time.Now()
	c := dialRaw(t, f)
	c.SetDeadline(began.Add(4 * time.Second))
	go func() {
		time.Sleep(2 * time.Second)
		for _, b := range []byte("GET /?query=cat HTTP/1.1\r\nHost: x\r\n") {
			c.Write([]byte{b})
			time.Sleep(100 * time.Millisecond)
		}
	}()
	c.receive()
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the connection ended after %v", took)
	}
}

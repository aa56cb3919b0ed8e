package z3950

// This file tests hostile and departing clients, drains and cost.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
)

// Queries that nobody here could be asked have their diagnostics; the session goes on.
func TestUnsupportedQueries(t *testing.T) {
	o := testOptions()
	o.Databases = []string{"x"}
	c := dial(t, startFront(t, archive.New(archive.TextRecord), o), defaultInit)
	for pqf, code := range map[string]int{"@attr 1=9999 a": 114, "@attr 2=77 a": 117, "@attr 5=101 a": 120, "@and @set s a": 18, "@attr 1.2.3 1=4 a": 121, `""`: 125} {
		if r := c.exchange(searchRequest(t, "a", pqf)).(*z3950.SearchResponse); r.OK || r.Records.Fault == nil || r.Records.Fault.Code != code {
			t.Errorf("%s: %+v", pqf, r.Records.Fault)
		}
	}
	m := searchRequest(t, "a", "cat")
	m.Databases = []string{"other"}
	if r := c.exchange(m).(*z3950.SearchResponse); r.Records.Fault == nil || r.Records.Fault.Code != databaseUnavailable {
		t.Errorf("%+v", r)
	}
	m = searchRequest(t, "a", "cat")
	m.Syntax = "1.2.840.10003.5.100"
	if r := c.exchange(m).(*z3950.SearchResponse); r.Records.Fault == nil || r.Records.Fault.Code != unsupportedSyntax {
		t.Errorf("%+v", r)
	}
	if r := c.exchange(searchRequest(t, "a", "cat")).(*z3950.SearchResponse); !r.OK {
		t.Errorf("%+v", r)
	}
	m = searchRequest(t, "a", "cat")
	m.Replace = false
	if r := c.exchange(m).(*z3950.SearchResponse); r.Records.Fault == nil || r.Records.Fault.Code != 21 {
		t.Errorf("%+v", r)
	}
}

// Whoever says nothing, begins with anything but init, or sends noise, is closed in time with a reason; one client too many is told.
func TestHostileClients(t *testing.T) {
	o := testOptions()
	o.Sessions = 2
	f := startFront(t, archive.New(archive.TextRecord), o)
	silent, noisy := dial(t, f, nil), dial(t, f, nil)
	began := time.Now()
	if m, is := dial(t, f, nil).receive().(*z3950.Close); !is || m.Reason != 4 {
		t.Errorf("one too many: %+v", m)
	}
	noisy.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if m, is := noisy.receive().(*z3950.Close); !is || m.Reason != 6 {
		t.Errorf("noise: %+v", m)
	}
	if m, is := silent.receive().(*z3950.Close); !is || m.Reason != 7 || time.Since(began) > 3*time.Second {
		t.Errorf("silence: %+v after %v", m, time.Since(began))
	}
	waitUntil(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.sessions) == 0 })
	early := dial(t, f, nil)
	if m, is := early.exchange(searchRequest(t, "a", "cat")).(*z3950.Close); !is || m.Reason != 6 {
		t.Errorf("a search before init: %+v", m)
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come to that")
		}
	}
}

// A client that goes away while its search is in hand takes it along; its sets are forgotten.
func TestClientDisconnects(t *testing.T) {
	b := archive.New(archive.TextRecord)
	f := startFront(t, b, testOptions())
	c := dial(t, f, defaultInit)
	c.exchange(searchRequest(t, "a", "cat"))
	b.Update(func(b *archive.Broker) { b.Gate = make(chan struct{}) })
	c.Write(z3950.Encode(searchRequest(t, "b", "cat")))
	waitUntil(t, func() bool { return b.Queries() == 2 })
	c.Close()
	if err := <-b.Aborted; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	waitUntil(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.sessions) == 0 && f.resultSets.Counts.Bytes == 0
	})
}

// A planned stop: what is in hand is answered, then each session is told by a close; new ones find nobody.
func TestDrain(t *testing.T) {
	b := archive.New(archive.TextRecord)
	f := startFront(t, b, testOptions())
	idle, busy := dial(t, f, defaultInit), dial(t, f, defaultInit)
	hold := make(chan struct{})
	b.Update(func(b *archive.Broker) { b.Gate = hold })
	busy.Write(z3950.Encode(searchRequest(t, "a", "cat")))
	waitUntil(t, func() bool { return b.Queries() == 1 })
	f.Drain()
	if m, is := idle.receive().(*z3950.Close); !is || m.Reason != 1 {
		t.Errorf("idle: %+v", m)
	}
	close(hold)
	if r, is := busy.receive().(*z3950.SearchResponse); !is || !r.OK {
		t.Errorf("busy: %+v", r)
	}
	if m, is := busy.receive().(*z3950.Close); !is || m.Reason != 1 {
		t.Errorf("busy, afterwards: %+v", m)
	}
	if _, err := z3950.Read(busy.reader); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", f.Addr().String()); err == nil {
		t.Error("a session was opened after the drain")
	}
}

// A search and a page of ten records, through a session that stands, over a broker that answers at once: the front's own cost.
func BenchmarkSearchAndPresent(b *testing.B) {
	f := startFront(b, archive.New(archive.DublinCoreRecord), testOptions())
	conn, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	_, rpn, _ := query.ParsePQF("@and @attr 1=4 cat @attr 1=1003 smith")
	say := func(m z3950.Message) {
		conn.Write(z3950.Encode(m))
		if _, err := z3950.Read(in); err != nil {
			b.Fatal(err)
		}
	}
	say(defaultInit)
	b.ReportAllocs()
	for b.Loop() {
		say(&z3950.SearchRequest{LargeSetLowerBound: 1, Replace: true, ResultSet: "a", Databases: []string{"x"}, Query: rpn})
		say(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 4})
	}
}

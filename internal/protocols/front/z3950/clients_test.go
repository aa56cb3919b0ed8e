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
func TestRefusedQueries(t *testing.T) {
	o := options()
	o.Databases = []string{"x"}
	c := dial(t, started(t, archive.New(archive.TextRecord), o), usual)
	for pqf, code := range map[string]int{"@attr 1=9999 a": 114, "@attr 2=77 a": 117, "@attr 5=101 a": 120, "@and @set s a": 18, "@attr 1.2.3 1=4 a": 121, `""`: 125} {
		if r := c.say(search(t, "a", pqf)).(*z3950.SearchResponse); r.OK || r.Records.Fault == nil || r.Records.Fault.Code != code {
			t.Errorf("%s: %+v", pqf, r.Records.Fault)
		}
	}
	m := search(t, "a", "cat")
	m.Databases = []string{"other"}
	if r := c.say(m).(*z3950.SearchResponse); r.Records.Fault == nil || r.Records.Fault.Code != noDatabase {
		t.Errorf("%+v", r)
	}
	m = search(t, "a", "cat")
	m.Syntax = "1.2.840.10003.5.100"
	if r := c.say(m).(*z3950.SearchResponse); r.Records.Fault == nil || r.Records.Fault.Code != badSyntax {
		t.Errorf("%+v", r)
	}
	if r := c.say(search(t, "a", "cat")).(*z3950.SearchResponse); !r.OK {
		t.Errorf("%+v", r)
	}
	m = search(t, "a", "cat")
	m.Replace = false
	if r := c.say(m).(*z3950.SearchResponse); r.Records.Fault == nil || r.Records.Fault.Code != 21 {
		t.Errorf("%+v", r)
	}
}

// Whoever says nothing, begins with anything but init, or sends noise, is closed in time with a reason; one client too many is told.
func TestHostileClients(t *testing.T) {
	o := options()
	o.Sessions = 2
	f := started(t, archive.New(archive.TextRecord), o)
	silent, noisy := dial(t, f, nil), dial(t, f, nil)
	began := time.Now()
	if m, is := dial(t, f, nil).hear().(*z3950.Close); !is || m.Reason != 4 {
		t.Errorf("one too many: %+v", m)
	}
	noisy.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if m, is := noisy.hear().(*z3950.Close); !is || m.Reason != 6 {
		t.Errorf("noise: %+v", m)
	}
	if m, is := silent.hear().(*z3950.Close); !is || m.Reason != 7 || time.Since(began) > 3*time.Second {
		t.Errorf("silence: %+v after %v", m, time.Since(began))
	}
	until(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.sessions) == 0 })
	early := dial(t, f, nil)
	if m, is := early.say(search(t, "a", "cat")).(*z3950.Close); !is || m.Reason != 6 {
		t.Errorf("a search before init: %+v", m)
	}
}

func until(t *testing.T, what func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !what(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come to that")
		}
	}
}

// A client that goes away while its search is in hand takes it along; its sets are forgotten.
func TestClientLeaves(t *testing.T) {
	b := archive.New(archive.TextRecord)
	f := started(t, b, options())
	c := dial(t, f, usual)
	c.say(search(t, "a", "cat"))
	b.Update(func(b *archive.Broker) { b.Gate = make(chan struct{}) })
	c.Write(z3950.Encode(search(t, "b", "cat")))
	until(t, func() bool { return b.Queries() == 2 })
	c.Close()
	if err := <-b.Aborted; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	until(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.sessions) == 0 && f.sets.Counts.Bytes == 0 })
}

// A planned stop: what is in hand is answered, then each session is told by a close; new ones find nobody.
func TestDrain(t *testing.T) {
	b := archive.New(archive.TextRecord)
	f := started(t, b, options())
	idle, busy := dial(t, f, usual), dial(t, f, usual)
	hold := make(chan struct{})
	b.Update(func(b *archive.Broker) { b.Gate = hold })
	busy.Write(z3950.Encode(search(t, "a", "cat")))
	until(t, func() bool { return b.Queries() == 1 })
	f.Drain()
	if m, is := idle.hear().(*z3950.Close); !is || m.Reason != 1 {
		t.Errorf("idle: %+v", m)
	}
	close(hold)
	if r, is := busy.hear().(*z3950.SearchResponse); !is || !r.OK {
		t.Errorf("busy: %+v", r)
	}
	if m, is := busy.hear().(*z3950.Close); !is || m.Reason != 1 {
		t.Errorf("busy, afterwards: %+v", m)
	}
	if _, err := z3950.Read(busy.in); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", f.Addr().String()); err == nil {
		t.Error("a session was opened after the drain")
	}
}

// A search and a page of ten records, through a session that stands, over a broker that answers at once: the front's own cost.
func BenchmarkSearchAndPresent(b *testing.B) {
	f := started(b, archive.New(archive.DublinCoreRecord), options())
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
	say(usual)
	b.ReportAllocs()
	for b.Loop() {
		say(&z3950.SearchRequest{Large: 1, Replace: true, ResultSet: "a", Databases: []string{"x"}, Query: rpn})
		say(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 4})
	}
}

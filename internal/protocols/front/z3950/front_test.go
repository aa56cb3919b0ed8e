package z3950

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"reflect"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/front"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func options() operator.Z3950 {
	o := operator.Default().Z3950
	o.Listen, o.Depth, o.Sessions, o.Sets = "127.0.0.1:0", 4, 8, 3
	return o
}

func started(t testing.TB, b front.Broker, o operator.Z3950) *Front {
	t.Helper()
	f, err := Listen(b, o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// dial opens a session.
func dial(t *testing.T, f *Front, init *z3950.InitRequest) *client {
	t.Helper()
	conn, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	c := &client{conn, t, bufio.NewReader(conn)}
	if init != nil {
		if r, is := c.say(init).(*z3950.InitResponse); !is || !r.Accepted || !r.Search || r.Concurrent {
			t.Fatalf("init was answered with %+v", r)
		}
	}
	return c
}

var usual = &z3950.InitRequest{Version3: true, Search: true, Present: true, Delete: true, NamedResultSets: true, Concurrent: true,
	Preferred: 1 << 20, Most: 1 << 20}

func (c *client) say(m z3950.Message) z3950.Message {
	c.t.Helper()
	c.Write(z3950.Encode(m))
	return c.hear()
}

func (c *client) hear() z3950.Message {
	c.t.Helper()
	m, err := z3950.Read(c.in)
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

func search(t *testing.T, set, pqf string) *z3950.SearchRequest {
	t.Helper()
	_, r, err := query.ParsePQF(pqf)
	if err != nil {
		t.Fatal(err)
	}
	return &z3950.SearchRequest{Common: z3950.Common{Reference: []byte(set)}, Large: 1, Replace: true, ResultSet: set, Databases: []string{"x"}, Query: r}
}

func bodies(r z3950.Records) (all []string) {
	for _, x := range r.All {
		all = append(all, string(x.Body))
	}
	return all
}

// A session searches, presents pages that were fetched and pages that were not, beyond a shard's end too, and deletes.
func TestSession(t *testing.T) {
	b := archive.New(archive.Plain)
	f := started(t, b, options())
	c := dial(t, f, usual)
	r := c.say(search(t, "a", "@attr 1=4 cat")).(*z3950.SearchResponse)
	if !r.OK || r.Count != 30 || string(r.Reference) != "a" || r.Records.Fault != nil {
		t.Fatalf("%+v", r)
	}
	for _, page := range []struct{ start, want int }{{1, 3}, {3, 1}, {8, 7}, {25, 6}, {1, 30}} {
		p := c.say(&z3950.PresentRequest{ResultSet: "a", Start: page.start, Want: page.want}).(*z3950.PresentResponse)
		var want []string
		for i := page.start - 1; i < page.start-1+page.want; i++ {
			want = append(want, b.Store[i/10][i%10])
		}
		if p.Status != z3950.Success || !reflect.DeepEqual(bodies(p.Records), want) || p.Next != page.start+page.want {
			t.Errorf("page %+v: status %d, next %d: %v, %v", page, p.Status, p.Next, bodies(p.Records), p.Records.Fault)
		}
	}
	for name, m := range map[string]*z3950.PresentRequest{"beyond the end": {ResultSet: "a", Start: 29, Want: 0}, "from 31": {ResultSet: "a", Start: 31, Want: 1},
		"from 0": {ResultSet: "a", Start: 0, Want: 1}, "less than none": {ResultSet: "a", Start: 1, Want: -1}} {
		p := c.say(m).(*z3950.PresentResponse)
		if ok := name == "beyond the end"; ok != (p.Status == z3950.Success) || !ok && (p.Records.Fault == nil || p.Records.Fault.Code != outOfRange) {
			t.Errorf("%s: %+v", name, p)
		}
	}
	if p := c.say(&z3950.PresentRequest{ResultSet: "b", Start: 1, Want: 1}).(*z3950.PresentResponse); p.Records.Fault == nil || p.Records.Fault.Code != noSuchSet {
		t.Errorf("%+v", p)
	}
	if d := c.say(&z3950.DeleteRequest{Sets: []string{"a"}}).(*z3950.DeleteResponse); d.Status != 0 {
		t.Errorf("%+v", d)
	}
	if p := c.say(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 1}).(*z3950.PresentResponse); p.Records.Fault == nil {
		t.Error("a deleted set presents")
	}
	if _, is := c.say(&z3950.Close{}).(*z3950.Close); !is {
		t.Error("a close has no answer")
	}
}

// What the broker makes of a search has its honest form: partial is never whole, shed says when to return, failed is failed.
func TestVerdicts(t *testing.T) {
	b := archive.New(archive.Plain)
	c := dial(t, started(t, b, options()), usual)
	b.Set(func(b *archive.Broker) { b.Missing = 1 })
	r := c.say(search(t, "a", "cat")).(*z3950.SearchResponse)
	if r.OK || r.SetStatus != z3950.Subset || r.Count != 20 || r.Records.Fault == nil || r.Records.Fault.Text != "2 of 3 parts answered" {
		t.Errorf("partial: %+v, %+v", r, r.Records.Fault)
	}
	if p := c.say(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 2}).(*z3950.PresentResponse); p.Status != z3950.Success || len(p.Records.All) != 2 {
		t.Errorf("records of a partial answer: %+v", p)
	}
	for code, v := range map[int]server.Verdict{resourcesShort: {Shed: true, After: 1500 * time.Millisecond}, systemError: {}} {
		b.Set(func(b *archive.Broker) { b.Verdict = &v })
		r := c.say(search(t, "b", "cat")).(*z3950.SearchResponse)
		if r.OK || r.Count != 0 || r.Records.Fault == nil || r.Records.Fault.Code != code || r.SetStatus != z3950.NoSet {
			t.Errorf("%+v: %+v, %+v", v, r, r.Records.Fault)
		}
	}
	b.Set(func(b *archive.Broker) {
		b.Verdict = &server.Verdict{Answered: true, Whole: true, Shards: []int{0, 1, 2}, Values: []string{"noise", "", "x"}}
	})
	if r := c.say(search(t, "b", "cat")).(*z3950.SearchResponse); r.OK || r.Records.Fault.Code != systemError {
		t.Errorf("values that can't be read: %+v", r)
	}
}

// The store changes between two pages: no page of another answer is given, and the client is told to search again.
func TestChangedBetweenPages(t *testing.T) {
	b := archive.New(archive.Plain)
	c := dial(t, started(t, b, options()), usual)
	c.say(search(t, "a", "cat"))
	if p := c.say(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 4}).(*z3950.PresentResponse); len(p.Records.All) != 4 {
		t.Fatalf("%+v", p)
	}
	b.Set(func(b *archive.Broker) { b.Store[0][1] = "another record" })
	for range 2 {
		p := c.say(&z3950.PresentRequest{ResultSet: "a", Start: 5, Want: 4}).(*z3950.PresentResponse)
		if len(p.Records.All) > 0 || p.Records.Fault == nil || p.Records.Fault.Code != setGone {
			t.Errorf("%+v, %+v", p, p.Records.Fault)
		}
	}
	if r := c.say(search(t, "a", "cat")).(*z3950.SearchResponse); !r.OK {
		t.Errorf("the search again: %+v", r)
	}
	b.Set(func(b *archive.Broker) { b.Missing = 2 }) // a node dies that holds a part of the set
	if p := c.say(&z3950.PresentRequest{ResultSet: "a", Start: 5, Want: 4}).(*z3950.PresentResponse); p.Records.Fault == nil || p.Records.Fault.Code != setGone {
		t.Errorf("%+v", p)
	}
}

// Messages in a row are answered in a row, each with its reference; records that do not fit a message are left for the next.
func TestManyAtOnceAndLargeRecords(t *testing.T) {
	b := archive.New(archive.Plain)
	b.Store[0][0] = string(make([]byte, 3000))
	f := started(t, b, options())
	c := dial(t, f, &z3950.InitRequest{Version3: true, Search: true, Preferred: 2000, Most: 2500})
	for i := range 5 {
		c.Write(z3950.Encode(search(t, fmt.Sprint("s", i%3), "cat")))
	}
	for i := range 5 {
		if r, is := c.hear().(*z3950.SearchResponse); !is || string(r.Reference) != fmt.Sprint("s", i%3) || r.Count != 30 {
			t.Errorf("answer %d: %+v", i, r)
		}
	}
	p := c.say(&z3950.PresentRequest{ResultSet: "s0", Start: 1, Want: 30}).(*z3950.PresentResponse)
	if p.Status != z3950.Partial2 || p.Returned < 2 || p.Returned == 30 || p.Records.All[0].Fault == nil || p.Records.All[0].Fault.Code != tooLarge || p.Next != p.Returned+1 {
		t.Errorf("%+v", p)
	}
	size := len(z3950.Encode(p))
	if size > 2000 {
		t.Errorf("a message of %d bytes for a client that wants 2000", size)
	}
}

// Queries that nobody here could be asked have their diagnostics; the session goes on.
func TestRefusedQueries(t *testing.T) {
	o := options()
	o.Databases = []string{"x"}
	c := dial(t, started(t, archive.New(archive.Plain), o), usual)
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
	f := started(t, archive.New(archive.Plain), o)
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
	b := archive.New(archive.Plain)
	f := started(t, b, options())
	c := dial(t, f, usual)
	c.say(search(t, "a", "cat"))
	b.Set(func(b *archive.Broker) { b.Hold = make(chan struct{}) })
	c.Write(z3950.Encode(search(t, "b", "cat")))
	until(t, func() bool { return b.Asked() == 2 })
	c.Close()
	if err := <-b.Left; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	until(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.sessions) == 0 && f.sets.Counts.Bytes == 0 })
}

// A planned stop: what is in hand is answered, then each session is told by a close; new ones find nobody.
func TestDrain(t *testing.T) {
	b := archive.New(archive.Plain)
	f := started(t, b, options())
	idle, busy := dial(t, f, usual), dial(t, f, usual)
	hold := make(chan struct{})
	b.Set(func(b *archive.Broker) { b.Hold = hold })
	busy.Write(z3950.Encode(search(t, "a", "cat")))
	until(t, func() bool { return b.Asked() == 1 })
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
	f := started(b, archive.New(archive.DC), options())
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

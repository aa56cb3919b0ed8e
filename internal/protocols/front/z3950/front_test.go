package z3950

import (
	"bufio"
	"context"
	"fmt"
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

func testOptions() operator.Z3950 {
	o := operator.Default().Z3950
	o.Listen, o.Depth, o.Sessions, o.MaxResultSets = "127.0.0.1:0", 4, 8, 3
	return o
}

func startFront(t testing.TB, b front.Broker, o operator.Z3950) *Front {
	t.Helper()
	f, err := Listen(b, o)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, f)
	return f
}

// serve serves a front until the test ends.
func serve(t testing.TB, f *Front) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// dial connects to the front and, unless init is nil, opens a session.
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
		if r, is := c.exchange(init).(*z3950.InitResponse); !is || !r.Accepted || !r.Search || r.Concurrent {
			t.Fatalf("init was answered with %+v", r)
		}
	}
	return c
}

var defaultInit = &z3950.InitRequest{Version3: true, Search: true, Present: true, Delete: true, NamedResultSets: true, Concurrent: true,
	PreferredMessageSize: 1 << 20, ExceptionalRecordSize: 1 << 20}

func (c *client) exchange(m z3950.Message) z3950.Message {
	c.t.Helper()
	c.Write(z3950.Encode(m))
	return c.receive()
}

func (c *client) receive() z3950.Message {
	c.t.Helper()
	m, err := z3950.Read(c.reader)
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

func searchRequest(t *testing.T, set, pqf string) *z3950.SearchRequest {
	t.Helper()
	_, r, err := query.ParsePQF(pqf)
	if err != nil {
		t.Fatal(err)
	}
	return &z3950.SearchRequest{Common: z3950.Common{ReferenceID: []byte(set)}, LargeSetLowerBound: 1, Replace: true, ResultSet: set, Databases: []string{"x"}, Query: r}
}

func bodies(r z3950.Records) (all []string) {
	for _, x := range r.All {
		all = append(all, string(x.Body))
	}
	return all
}

// A session searches, presents pages whose records are fetched already and pages that span shards or need another search, and deletes
// its result set.
func TestSession(t *testing.T) {
	b := archive.New(archive.TextRecord)
	f := startFront(t, b, testOptions())
	c := dial(t, f, defaultInit)
	r := c.exchange(searchRequest(t, "a", "@attr 1=4 cat")).(*z3950.SearchResponse)
	if !r.OK || r.Count != 30 || string(r.ReferenceID) != "a" || r.Records.Fault != nil {
		t.Fatalf("%+v", r)
	}
	for _, page := range []struct{ start, want int }{{1, 3}, {3, 1}, {8, 7}, {25, 6}, {1, 30}} {
		p := c.exchange(&z3950.PresentRequest{ResultSet: "a", Start: page.start, Want: page.want}).(*z3950.PresentResponse)
		var want []string
		for i := page.start - 1; i < page.start-1+page.want; i++ {
			want = append(want, b.RecordsByShard[i/10][i%10])
		}
		if p.Status != z3950.Success || !reflect.DeepEqual(bodies(p.Records), want) || p.NextPosition != page.start+page.want {
			t.Errorf("page %+v: status %d, next %d: %v, %v", page, p.Status, p.NextPosition, bodies(p.Records), p.Records.Fault)
		}
	}
	for name, m := range map[string]*z3950.PresentRequest{"beyond the end": {ResultSet: "a", Start: 29, Want: 0}, "from 31": {ResultSet: "a", Start: 31, Want: 1},
		"from 0": {ResultSet: "a", Start: 0, Want: 1}, "less than none": {ResultSet: "a", Start: 1, Want: -1}} {
		p := c.exchange(m).(*z3950.PresentResponse)
		if ok := name == "beyond the end"; ok != (p.Status == z3950.Success) || !ok && (p.Records.Fault == nil || p.Records.Fault.Code != presentOutOfRange) {
			t.Errorf("%s: %+v", name, p)
		}
	}
	if p := c.exchange(&z3950.PresentRequest{ResultSet: "b", Start: 1, Want: 1}).(*z3950.PresentResponse); p.Records.Fault == nil || p.Records.Fault.Code != noSuchResultSet {
		t.Errorf("%+v", p)
	}
	if d := c.exchange(&z3950.DeleteRequest{ResultSets: []string{"a"}}).(*z3950.DeleteResponse); d.Status != 0 {
		t.Errorf("%+v", d)
	}
	if p := c.exchange(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 1}).(*z3950.PresentResponse); p.Records.Fault == nil {
		t.Error("present succeeded on a deleted result set")
	}
	if _, is := c.exchange(&z3950.Close{}).(*z3950.Close); !is {
		t.Error("Close was not answered with Close")
	}
}

// A partial result is presented as a subset; a shed, failed or undecodable one is answered with its diagnostic.
func TestQueryResults(t *testing.T) {
	b := archive.New(archive.TextRecord)
	c := dial(t, startFront(t, b, testOptions()), defaultInit)
	b.Update(func(b *archive.Broker) { b.Missing = 1 })
	r := c.exchange(searchRequest(t, "a", "cat")).(*z3950.SearchResponse)
	if r.OK || r.ResultSetStatus != z3950.Subset || r.Count != 20 || r.Records.Fault == nil || r.Records.Fault.Text != "2 of 3 parts answered" {
		t.Errorf("partial: %+v, %+v", r, r.Records.Fault)
	}
	if p := c.exchange(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 2}).(*z3950.PresentResponse); p.Status != z3950.Success || len(p.Records.All) != 2 {
		t.Errorf("records of a partial answer: %+v", p)
	}
	for code, v := range map[int]server.QueryResult{resourcesExhausted: {Shed: true, RetryAfter: 1500 * time.Millisecond}, systemError: {}} {
		b.Update(func(b *archive.Broker) { b.Result = &v })
		r := c.exchange(searchRequest(t, "b", "cat")).(*z3950.SearchResponse)
		if r.OK || r.Count != 0 || r.Records.Fault == nil || r.Records.Fault.Code != code || r.ResultSetStatus != z3950.NoResultSet {
			t.Errorf("%+v: %+v, %+v", v, r, r.Records.Fault)
		}
	}
	b.Update(func(b *archive.Broker) {
		b.Result = &server.QueryResult{Answered: true, Complete: true, Shards: []int{0, 1, 2}, Values: []string{"noise", "", "x"}}
	})
	if r := c.exchange(searchRequest(t, "b", "cat")).(*z3950.SearchResponse); r.OK || r.Records.Fault.Code != systemError {
		t.Errorf("undecodable values: %+v", r)
	}
}

// If the store's records change between two pages, no page of the new records is presented, and the diagnostic says to search again.
func TestChangedBetweenPages(t *testing.T) {
	b := archive.New(archive.TextRecord)
	c := dial(t, startFront(t, b, testOptions()), defaultInit)
	c.exchange(searchRequest(t, "a", "cat"))
	if p := c.exchange(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 4}).(*z3950.PresentResponse); len(p.Records.All) != 4 {
		t.Fatalf("%+v", p)
	}
	b.Update(func(b *archive.Broker) { b.RecordsByShard[0][1] = "another record" })
	for range 2 {
		p := c.exchange(&z3950.PresentRequest{ResultSet: "a", Start: 5, Want: 4}).(*z3950.PresentResponse)
		if len(p.Records.All) > 0 || p.Records.Fault == nil || p.Records.Fault.Code != resultSetDeleted {
			t.Errorf("%+v, %+v", p, p.Records.Fault)
		}
	}
	if r := c.exchange(searchRequest(t, "a", "cat")).(*z3950.SearchResponse); !r.OK {
		t.Errorf("repeated search: %+v", r)
	}
	b.Update(func(b *archive.Broker) { b.Missing = 2 }) // a shard of the result set no longer answers
	if p := c.exchange(&z3950.PresentRequest{ResultSet: "a", Start: 5, Want: 4}).(*z3950.PresentResponse); p.Records.Fault == nil || p.Records.Fault.Code != resultSetDeleted {
		t.Errorf("%+v", p)
	}
}

// Pipelined requests are answered in order, each with its reference ID. Records that do not fit into a message are left for the next
// present request.
func TestPipelinedRequestsAndLargeRecords(t *testing.T) {
	b := archive.New(archive.TextRecord)
	b.RecordsByShard[0][0] = string(make([]byte, 3000))
	f := startFront(t, b, testOptions())
	c := dial(t, f, &z3950.InitRequest{Version3: true, Search: true, PreferredMessageSize: 2000, ExceptionalRecordSize: 2500})
	for i := range 5 {
		c.Write(z3950.Encode(searchRequest(t, fmt.Sprint("s", i%3), "cat")))
	}
	for i := range 5 {
		if r, is := c.receive().(*z3950.SearchResponse); !is || string(r.ReferenceID) != fmt.Sprint("s", i%3) || r.Count != 30 {
			t.Errorf("answer %d: %+v", i, r)
		}
	}
	p := c.exchange(&z3950.PresentRequest{ResultSet: "s0", Start: 1, Want: 30}).(*z3950.PresentResponse)
	if p.Status != z3950.Partial2 || p.Returned < 2 || p.Returned == 30 || p.Records.All[0].Fault == nil || p.Records.All[0].Fault.Code != recordTooLarge || p.NextPosition != p.Returned+1 {
		t.Errorf("%+v", p)
	}
	size := len(z3950.Encode(p))
	if size > 2000 {
		t.Errorf("a message of %d bytes, but the client prefers at most 2000", size)
	}
}

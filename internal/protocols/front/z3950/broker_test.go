package z3950_test

import (
	"bufio"
	"encoding/xml"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/archive"
	sruFront "flaxfront/internal/protocols/front/sru"
	front "flaxfront/internal/protocols/front/z3950"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

// Both fronts with a real broker and simulated store nodes: the same search returns the same records in the same order, both report a
// partial result when half of the shards have no node, and a planned stop closes sessions with a Close message.
func TestFrontsWithBroker(t *testing.T) {
	fleet, err := lab.NewFleet(t.TempDir(), 8, 2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	store := archive.New(archive.DublinCoreRecord).RecordsByShard
	store = append(store, []string{"<last/>"})
	for _, n := range fleet.Nodes {
		n.MakeValue = func(_ string, shard int, text string) string {
			value, _ := archive.Value(store[shard], text)
			return value
		}
	}
	if err := fleet.Discovery.Up("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	path, err := fleet.Config("n0", "127.0.0.1:0", fleet.Discovery.Addr(), true)
	if err != nil {
		t.Fatal(err)
	}
	start, err := terms.ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	own := operator.Default()
	own.Z3950.Listen, own.SRU.Listen, own.SRU.Type, own.Z3950.Type = "127.0.0.1:0", "127.0.0.1:0", "report", "report"
	s, err := server.New(start, own, func(t decision.Settings) decision.Router { return routing.New(t) })
	if err == nil {
		err = s.Open()
	}
	if err != nil {
		t.Fatal(err)
	}
	z, err := front.Listen(s, own.Z3950)
	if err != nil {
		t.Fatal(err)
	}
	u, err := sruFront.Listen(s, own.SRU)
	if err != nil {
		t.Fatal(err)
	}
	s.AddFront(z)
	s.AddFront(u)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(stop) }()

	conn, err := net.Dial("tcp", z.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(conn)
	say := func(m z3950.Message) z3950.Message {
		conn.Write(z3950.Encode(m))
		r, err := z3950.Read(in)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	say(&z3950.InitRequest{Version3: true, Search: true, Present: true, PreferredMessageSize: 1 << 20, ExceptionalRecordSize: 1 << 20})
	_, rpn, _ := query.ParsePQF("@attr 1=4 cat")
	ask := &z3950.SearchRequest{LargeSetLowerBound: 1, Replace: true, ResultSet: "a", Databases: []string{"x"}, Syntax: z3950.XML, Query: rpn}
	r := say(ask).(*z3950.SearchResponse)
	if !r.OK || r.Count != 31 {
		t.Fatalf("%+v, %+v", r, r.Records.Fault)
	}
	p := say(&z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 31, Syntax: z3950.XML}).(*z3950.PresentResponse)
	get := func(params string) (count int, records []string, diagnostics int) {
		resp, err := http.Get("http://" + u.Addr().String() + "/?" + params)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		var a struct {
			Count   int `xml:"numberOfRecords"`
			Records []struct {
				Inner string `xml:",innerxml"`
			} `xml:"records>record>recordData"`
			Diagnostics []struct{} `xml:"diagnostics>diagnostic"`
		}
		if err := xml.Unmarshal(body, &a); err != nil {
			t.Fatal(err)
		}
		for _, r := range a.Records {
			records = append(records, r.Inner)
		}
		return a.Count, records, len(a.Diagnostics)
	}
	count, records, _ := get("query=dc.title+%3D+cat&maximumRecords=31")
	if count != 31 || len(records) != 31 || len(p.Records.All) != 31 {
		t.Fatalf("%d and %d records", len(p.Records.All), len(records))
	}
	for i, want := range strings.Split(strings.Join(append(append(append(append([]string{}, store[0]...), store[1]...), store[2]...), store[3]...), "|"), "|") {
		if records[i] != want || string(p.Records.All[i].Body) != want {
			t.Errorf("record %d: %s and %s, want %s", i, p.Records.All[i].Body, records[i], want)
		}
	}
	for i, n := range fleet.Nodes { // all nodes of the odd shards
		if i%2 == 1 {
			n.SetMode(lab.Dead)
		}
	}
	if r := say(ask).(*z3950.SearchResponse); r.OK || r.ResultSetStatus != z3950.Subset || r.Count != 20 {
		t.Errorf("half of the nodes dead: %+v, %+v", r, r.Records.Fault)
	}
	if count, _, diagnostics := get("query=dc.title+%3D+cat"); count != 20 || diagnostics != 1 {
		t.Errorf("half of the nodes dead: %d records, %d diagnostics", count, diagnostics)
	}
	if c := s.Counters().Queries; c.Partial != 2 || c.Received != c.Answered {
		t.Errorf("%+v", c)
	}
	close(stop)
	if m, err := z3950.Read(in); err != nil || fmt.Sprintf("%T", m) != "*z3950.Close" {
		t.Errorf("%+v, %v", m, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

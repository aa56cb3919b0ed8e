package back_test

// This file runs the same search through each front.

import (
	"bufio"
	"encoding/json"
	"encoding/xml"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/query"
	wire "flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

// searchResult is the result of a search as a client of any front sees it.
type searchResult struct {
	complete bool
	count    int
	records  []string
}

func (w *testBroker) searchSRU(t *testing.T) (f searchResult) {
	resp, err := http.Get("http://" + w.sru.Addr().String() + "/?query=dc.title+%3D+cat&maximumRecords=30")
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
	f.complete, f.count = len(a.Diagnostics) == 0, a.Count
	for _, r := range a.Records {
		f.records = append(f.records, r.Inner)
	}
	return f
}

func (w *testBroker) searchZ3950(t *testing.T) (f searchResult) {
	conn, err := net.Dial("tcp", w.z3950.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(conn)
	say := func(m wire.Message) wire.Message {
		conn.Write(wire.Encode(m))
		r, err := wire.Read(in)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	say(&wire.InitRequest{Version3: true, Search: true, Present: true, PreferredMessageSize: 1 << 20, ExceptionalRecordSize: 1 << 20})
	_, rpn, _ := query.ParsePQF("@attr 1=4 cat")
	r := say(&wire.SearchRequest{LargeSetLowerBound: 1, Replace: true, ResultSet: "a", Databases: []string{"x"}, Syntax: wire.XML, Query: rpn}).(*wire.SearchResponse)
	f.complete, f.count = r.OK, r.Count
	if r.Count > 0 {
		for _, x := range say(&wire.PresentRequest{ResultSet: "a", Start: 1, Want: r.Count, Syntax: wire.XML}).(*wire.PresentResponse).Records.All {
			f.records = append(f.records, string(x.Body))
		}
	}
	return f
}

func (w *testBroker) searchHTTP(t *testing.T) (f searchResult) {
	_, rpn, _ := query.ParsePQF("@attr 1=4 cat")
	want := catalogue.Want{Depth: 20, Syntax: "marcxml", Query: rpn}
	statement, _ := json.Marshal(want.Statement())
	body := `{"tablets":[{"tablet":0,"fraction":0.25},{"tablet":1,"fraction":0.25},{"tablet":2,"fraction":0.25},{"tablet":3,"fraction":0.25}],"statement":` + string(statement) + `}`
	req, _ := http.NewRequest("POST", "http://"+w.http+"/report", strings.NewReader(body))
	req.Header.Set("X-Request-ID", server.NewRequestID())
	req.Header.Set("X-Tenant-Id", "acme")
	req.Header.Set("X-Timeout-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var a struct {
		Full   bool
		Pieces []struct {
			Tablet int
			Cell   string
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(resp.Status, err)
	}
	f.complete = a.Full
	for shard := range 4 {
		for _, p := range a.Pieces {
			if p.Tablet == shard {
				hits, records, err := catalogue.ParseValue(p.Cell)
				if err != nil {
					t.Fatal(err)
				}
				f.count += hits
				for _, r := range records {
					f.records = append(f.records, string(r))
				}
			}
		}
	}
	return f
}

package sru

import (
	"context"
	"encoding/xml"
	"fmt"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/front"
	"flaxfront/internal/server"
)

type answer struct {
	XMLName xml.Name
	Version string `xml:"version"`
	Count   int    `xml:"numberOfRecords"`
	Next    int    `xml:"nextRecordPosition"`
	Records []struct {
		Schema   string `xml:"recordSchema"`
		Packing  string `xml:"recordPacking"`
		Escaping string `xml:"recordXMLEscaping"`
		Data     struct {
			Inner string `xml:",innerxml"`
			Text  string `xml:",chardata"`
		} `xml:"recordData"`
		Position int `xml:"recordPosition"`
	} `xml:"records>record"`
	Diagnostics []struct {
		URI     string `xml:"uri"`
		Details string `xml:"details"`
	} `xml:"diagnostics>diagnostic"`
	Precision string `xml:"resultCountPrecision"`
}

func startFront(t testing.TB, b front.Broker) *Front {
	t.Helper()
	o := operator.Default().SRU
	o.Listen = "127.0.0.1:0"
	return serveFront(t, b, o)
}

func serveFront(t testing.TB, b front.Broker, o operator.SRU) *Front {
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

var jar, _ = cookiejar.New(nil)

func get(t *testing.T, f *Front, params string) (a answer, resp *http.Response) {
	t.Helper()
	resp, err := (&http.Client{Jar: jar, Timeout: 5 * time.Second}).Get("http://" + f.Addr().String() + "/catalogue?" + params)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if err := xml.Unmarshal(body, &a); err != nil {
		t.Fatalf("%s: %v\n%s", params, err, body)
	}
	return a, resp
}

// In each version a client pages through one result set. The last page has no next record position, and only pages whose records are
// not fetched yet run searches.
func TestPages(t *testing.T) {
	b := archive.New(archive.DublinCoreRecord)
	f := startFront(t, b)
	for _, v := range []struct{ params, namespace string }{{"version=1.1&operation=searchRetrieve&recordPacking=xml&", "http://www.loc.gov/zing/srw/"},
		{"version=1.2&operation=searchRetrieve&", "http://www.loc.gov/zing/srw/"}, {"", "http://docs.oasis-open.org/ns/search-ws/sruResponse"}} {
		var seen []string
		for at, pages := 1, 0; at > 0 && pages < 10; pages++ {
			a, _ := get(t, f, fmt.Sprintf("%squery=dc.title+%%3D+cat&maximumRecords=7&startRecord=%d", v.params, at))
			if a.Count != 30 || len(a.Diagnostics) > 0 || a.XMLName.Space != v.namespace {
				t.Fatalf("%+v", a)
			}
			for i, r := range a.Records {
				if r.Position != at+i || r.Packing+r.Escaping != "xml" || r.Schema != "info:srw/schema/1/dc-v1.1" {
					t.Errorf("%+v", r)
				}
				seen = append(seen, r.Data.Inner)
			}
			at = a.Next
		}
		for i, r := range seen {
			if r != b.RecordsByShard[i/10][i%10] {
				t.Errorf("record %d is %s", i, r)
			}
		}
		if len(seen) != 30 {
			t.Errorf("%d records", len(seen))
		}
	}
	if n := b.Queries(); n > 3*3 {
		t.Errorf("%d searches for three versions of five pages each, want at most 9", n)
	}
}

// A repeated query runs a new search for its first page, and the page after it is of the new result set.
func TestSameQueryAgain(t *testing.T) {
	b := archive.New(archive.DublinCoreRecord)
	f := startFront(t, b)
	get(t, f, "query=cat&maximumRecords=2")
	b.Update(func(b *archive.Broker) { b.RecordsByShard[0][0] = `<new/>` })
	if a, _ := get(t, f, "query=cat&maximumRecords=2"); a.Records[0].Data.Inner != "<new/>" {
		t.Errorf("%+v", a.Records[0])
	}
	b.Update(func(b *archive.Broker) { b.RecordsByShard[0][1] = `<newer/>` })
	for range 2 { // the second page would be of other records
		a, _ := get(t, f, "query=cat&maximumRecords=2&startRecord=3")
		if len(a.Records) > 0 || len(a.Diagnostics) != 1 || a.Diagnostics[0].URI != "info:srw/diagnostic/1/51" {
			t.Errorf("%+v", a)
		}
	}
}

// Partial, shed, failed and undecodable results have their HTTP status and diagnostic in each version.
func TestQueryResults(t *testing.T) {
	b := archive.New(archive.DublinCoreRecord)
	f := startFront(t, b)
	b.Update(func(b *archive.Broker) { b.Missing = 1 })
	a, resp := get(t, f, "query=cat")
	if resp.StatusCode != 200 || a.Count != 20 || len(a.Diagnostics) != 1 || a.Diagnostics[0].URI != "info:srw/diagnostic/1/59" || !strings.HasSuffix(a.Precision, "minimum") {
		t.Errorf("partial: %+v", a)
	}
	if a, _ := get(t, f, "version=1.2&operation=searchRetrieve&query=cat"); len(a.Diagnostics) != 1 || len(a.Records) != 10 {
		t.Errorf("partial: %+v", a)
	}
	for status, v := range map[int]server.QueryResult{503: {Shed: true, RetryAfter: 1200 * time.Millisecond}, 504: {},
		502: {Answered: true, Complete: true, Shards: []int{0}, Values: []string{"z1 9 9\n"}}} {
		b.Update(func(b *archive.Broker) { b.Result = &v })
		a, resp := get(t, f, "query=dog")
		if resp.StatusCode != status || len(a.Diagnostics) != 1 || a.Count != 0 || len(a.Records) > 0 {
			t.Errorf("%d: %+v", resp.StatusCode, a)
		}
		if status == 503 && resp.Header.Get("Retry-After") != "2" {
			t.Errorf("Retry-After is %q, want 2", resp.Header.Get("Retry-After"))
		}
	}
}

// An invalid request is answered with its diagnostic, in a response of the request's version.
func TestDiagnostics(t *testing.T) {
	f := startFront(t, archive.New(archive.DublinCoreRecord))
	for params, code := range map[string]int{
		"operation=scan&version=1.2": 4, "operation=searchRetrieve&version=3.0&query=a": 5, "query=a&startRecord=0": 6, "query=a&maximumRecords=x": 6,
		"operation=searchRetrieve&version=1.2": 7, "query=a&frobnicate=1": 8, "query=(a": 10, "query=foo.bar%3Da": 16, "query=dc.title+within+a": 19,
		"query=dc.title+%3D/odd+a": 20, "query=a&startRecord=31": 61, "query=a&recordSchema=foo": 66, "query=a&recordXMLEscaping=odd": 71,
		"query=a+sortby+dc.title": 80, "query=cql.resultSetId%3Dx": 50, "query=a%3Fb": 28, "query=a&query=b": 6, "query=a&queryType=other": 6,
		"query=" + strings.Repeat("a+or+", 1500) + "a": 38,
	} {
		a, resp := get(t, f, params)
		if len(a.Diagnostics) != 1 || a.Diagnostics[0].URI != fmt.Sprintf("info:srw/diagnostic/1/%d", code) || resp.StatusCode != 200 || len(a.Records) > 0 {
			t.Errorf("%.60s: %d %+v", params, resp.StatusCode, a.Diagnostics)
		}
	}
	if a, _ := get(t, f, "query=a&x-own=1"); len(a.Diagnostics) > 0 || a.Count != 30 {
		t.Errorf("%+v", a)
	}
	a, _ := get(t, f, "")
	if a.XMLName.Local != "explainResponse" {
		t.Errorf("%+v", a.XMLName)
	}
	for path, status := range map[string]int{"/other?query=a": 404, "/catalogue?query=%zz": 400} {
		resp, err := http.Get("http://" + f.Addr().String() + path)
		if err != nil || resp.StatusCode != status {
			t.Errorf("%s: %v, %v", path, resp, err)
		}
		resp.Body.Close()
	}
}

// Guards against a list of alternatives that every node fails, as the text of the translated query can't be parsed there.
func TestLongListOfAlternatives(t *testing.T) {
	f := startFront(t, archive.New(archive.DublinCoreRecord))
	a, _ := get(t, f, "query="+url.QueryEscape(strings.Repeat("a or ", 200)+"a"))
	if a.Count != 30 || len(a.Diagnostics) > 0 {
		t.Errorf("%d records, diagnostics %+v", a.Count, a.Diagnostics)
	}
	a, _ = get(t, f, "query="+url.QueryEscape(strings.Repeat("a not ", 100)+"a"))
	if len(a.Diagnostics) != 1 || !strings.HasSuffix(a.Diagnostics[0].URI, "/38") {
		t.Errorf("diagnostics of a query that is too deep: %+v", a.Diagnostics)
	}
}

// Guards against a term being taken for the name of a result set because of what it looks like in the translated query.
func TestTermThatLooksLikeResultSet(t *testing.T) {
	f := startFront(t, archive.New(archive.DublinCoreRecord))
	if a, _ := get(t, f, "query="+url.QueryEscape(`dc.title = "an @set of words"`)); a.Count != 30 || len(a.Diagnostics) > 0 {
		t.Errorf("%d records, diagnostics %+v", a.Count, a.Diagnostics)
	}
	a, _ := get(t, f, "query="+url.QueryEscape(`a and cql.resultSetId = s`))
	if len(a.Diagnostics) != 1 || !strings.HasSuffix(a.Diagnostics[0].URI, "/50") {
		t.Errorf("diagnostics of a result set as an operand: %+v", a.Diagnostics)
	}
}

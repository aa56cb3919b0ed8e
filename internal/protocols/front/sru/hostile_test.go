package sru

// This file tests malformed records, clients that disconnect, drains and forms.

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/lab/archive"
)

// A record that is not well-formed XML, and could so change the response around it, is replaced by a diagnostic. With string escaping
// it is passed on unchanged.
func TestMalformedRecords(t *testing.T) {
	b := archive.New(archive.DublinCoreRecord)
	bad := []string{`</recordData><evil/>`, `<a>`, `<!DOCTYPE a [<!ENTITY x "y">]><a>&x;</a>`, `<a/><b/>`, `text`, strings.Repeat("<a>", 100) + strings.Repeat("</a>", 100)}
	b.RecordsByShard[0] = bad
	f := startFront(t, b)
	a, _ := get(t, f, "query=cat&maximumRecords=7")
	for i, r := range a.Records[:len(bad)] {
		if r.Schema != "info:srw/schema/1/diagnostics-v1.1" || !strings.Contains(r.Data.Inner, "info:srw/diagnostic/1/67") {
			t.Errorf("malformed record %.40s was sent as %+v", bad[i], r)
		}
	}
	if r := a.Records[len(bad)]; !strings.Contains(r.Data.Inner, "record 0 of shard 1") {
		t.Errorf("%+v", r)
	}
	a, _ = get(t, f, "query=cat&recordXMLEscaping=string&maximumRecords=6")
	for i, r := range a.Records {
		if r.Data.Text != bad[i] {
			t.Errorf("record %q was sent as %q", bad[i], r.Data.Text)
		}
	}
}

// A client's disconnect cancels its search. After a drain, requests in flight are answered and new connections are not.
func TestDisconnectAndDrain(t *testing.T) {
	b := archive.New(archive.DublinCoreRecord)
	f := startFront(t, b)
	hold := make(chan struct{})
	b.Update(func(b *archive.Broker) { b.Gate = hold })
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.Addr().String()+"/?query=a", nil)
	go http.DefaultClient.Do(req)
	for b.Queries() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-b.Aborted; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	got := make(chan answer)
	go func() {
		a, _ := get(t, f, "query=a")
		got <- a
	}()
	for b.Queries() == 1 {
		time.Sleep(time.Millisecond)
	}
	f.Drain()
	time.Sleep(20 * time.Millisecond)
	close(hold)
	if a := <-got; a.Count != 30 {
		t.Errorf("%+v", a)
	}
	if c, err := net.Dial("tcp", f.Addr().String()); err == nil {
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a client was served after the drain")
		}
		c.Close()
	}
}

// Parameters may also be sent as a form by POST.
func TestPost(t *testing.T) {
	f := startFront(t, archive.New(archive.DublinCoreRecord))
	resp, err := http.PostForm("http://"+f.Addr().String()+"/catalogue", url.Values{"query": {"cat"}, "maximumRecords": {"1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var a answer
	if err := xml.NewDecoder(resp.Body).Decode(&a); err != nil || a.Count != 30 || len(a.Records) != 1 {
		t.Errorf("%+v, %v", a, err)
	}
}

// BenchmarkSearch measures the front's own cost: a search with four records on an open connection, with a broker that answers at once.
func BenchmarkSearch(b *testing.B) {
	f := startFront(b, archive.New(archive.DublinCoreRecord))
	b.ReportAllocs()
	for b.Loop() {
		resp, err := http.Get("http://" + f.Addr().String() + "/?query=dc.title+%3D+cat+and+dc.creator+%3D+smith&maximumRecords=4")
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

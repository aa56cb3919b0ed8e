package back_test

import (
	"bufio"
	"context"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision/broker"
	"flaxfront/internal/decision/logic"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/front/sru"
	"flaxfront/internal/protocols/front/z3950"
	"flaxfront/internal/protocols/query"
	wire "flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// cellStore is what the nodes of a cell hold, whatever shard they are asked for.
func cellStore(cell int) (all []string) {
	for i := range 5 + cell {
		all = append(all, archive.DC(cell, i))
	}
	return all
}

// standIn is a simulated store node of a protocol; end kills it.
func standIn(t *testing.T, protocol string, cell int) (addr string, end func()) {
	t.Helper()
	b := archive.New(archive.DC)
	b.Store = [][]string{cellStore(cell)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var f interface {
		Serve(context.Context) error
		Addr() net.Addr
	}
	var err error
	o := operator.Default()
	o.SRU.Listen, o.Z3950.Listen, o.SRU.Database, o.SRU.Clients = "127.0.0.1:0", "127.0.0.1:0", "x", 100
	if protocol == "sru" {
		f, err = sru.Listen(b, o.SRU)
	} else {
		f, err = z3950.Listen(b, o.Z3950)
	}
	if err != nil {
		t.Fatal(err)
	}
	go func() { done <- f.Serve(ctx) }()
	ended := false
	end = func() {
		if !ended {
			ended = true
			cancel()
			<-done
		}
	}
	t.Cleanup(end)
	return f.Addr().String(), end
}

// world is a broker with all fronts before eight nodes of one protocol.
type world struct {
	s        *server.Server
	sru      *sru.Front
	z3950    *z3950.Front
	http     string
	killCell func(cell int)
}

func begin(t *testing.T, protocol string) *world {
	t.Helper()
	w := &world{}
	fleet, err := lab.NewFleet(t.TempDir(), map[bool]int{true: 8}[protocol == "frames"], 2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	ends := map[int][]func(){}
	for i, n := range fleet.Nodes {
		store := cellStore(i % 2)
		n.Make = func(_ string, _ int, text string) string {
			value, _ := archive.Value(store, text)
			return value
		}
		ends[i%2] = append(ends[i%2], func() { n.Turn(lab.Dead) })
	}
	if protocol != "frames" {
		for i := range 8 {
			at, end := standIn(t, protocol, i%2)
			ends[i%2] = append(ends[i%2], end)
			fleet.List = append(fleet.List, lab.Instance{InstanceID: fmt.Sprintf("node-%d", i), HostPort: at, Zone: "a", Cell: i % 2, Lifecycle: "in_service", Weight: 1})
		}
		fleet.Discovery.Set(fleet.List)
	}
	w.killCell = func(cell int) {
		for _, end := range ends[cell] {
			end()
		}
	}
	if err := fleet.Discovery.Up("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if w.http, err = lab.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	path, err := fleet.Config("n0", w.http, fleet.Discovery.Addr(), true)
	if err != nil {
		t.Fatal(err)
	}
	start, err := terms.ReadStart(path)
	if err != nil {
		t.Fatal(err)
	}
	own := operator.Default()
	own.Z3950.Listen, own.SRU.Listen, own.SRU.Type, own.Z3950.Type = "127.0.0.1:0", "127.0.0.1:0", "report", "report"
	if protocol != "frames" {
		own.Back.Protocol, own.Back.Database = protocol, "x"
	}
	if w.s, err = server.New(start, own, func(t broker.Terms) broker.Decider { return logic.New(t) }); err == nil {
		err = w.s.Open()
	}
	if err != nil {
		t.Fatal(err)
	}
	if w.z3950, err = z3950.Listen(w.s, own.Z3950); err != nil {
		t.Fatal(err)
	}
	if w.sru, err = sru.Listen(w.s, own.SRU); err != nil {
		t.Fatal(err)
	}
	w.s.Add(w.z3950)
	w.s.Add(w.sru)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- w.s.Run(stop) }()
	t.Cleanup(func() {
		close(stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return w
}

// found is what a client of any front sees.
type found struct {
	whole   bool
	count   int
	records []string
}

func (w *world) bySRU(t *testing.T) (f found) {
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
	f.whole, f.count = len(a.Diagnostics) == 0, a.Count
	for _, r := range a.Records {
		f.records = append(f.records, r.Inner)
	}
	return f
}

func (w *world) byZ3950(t *testing.T) (f found) {
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
	say(&wire.InitRequest{Version3: true, Search: true, Present: true, Preferred: 1 << 20, Most: 1 << 20})
	_, rpn, _ := query.ParsePQF("@attr 1=4 cat")
	r := say(&wire.SearchRequest{Large: 1, Replace: true, ResultSet: "a", Databases: []string{"x"}, Syntax: wire.XML, Query: rpn}).(*wire.SearchResponse)
	f.whole, f.count = r.OK, r.Count
	if r.Count > 0 {
		for _, x := range say(&wire.PresentRequest{ResultSet: "a", Start: 1, Want: r.Count, Syntax: wire.XML}).(*wire.PresentResponse).Records.All {
			f.records = append(f.records, string(x.Body))
		}
	}
	return f
}

func (w *world) byHTTP(t *testing.T) (f found) {
	_, rpn, _ := query.ParsePQF("@attr 1=4 cat")
	want := catalogue.Want{Depth: 20, Syntax: "marcxml", Query: rpn}
	statement, _ := json.Marshal(want.Statement())
	body := `{"tablets":[{"tablet":0,"fraction":0.25},{"tablet":1,"fraction":0.25},{"tablet":2,"fraction":0.25},{"tablet":3,"fraction":0.25}],"statement":` + string(statement) + `}`
	req, _ := http.NewRequest("POST", "http://"+w.http+"/report", strings.NewReader(body))
	req.Header.Set("X-Request-ID", server.NewID())
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
	f.whole = a.Full
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

// In all nine pairs of a front and a back the same search gives the same records in the same order, whole; with one of two sets
// dead it gives what there is, and says that it is not whole; and each search has had one answer by the broker's books.
func TestNinePairs(t *testing.T) {
	for _, protocol := range []string{"frames", "sru", "z3950"} {
		t.Run(protocol, func(t *testing.T) {
			w := begin(t, protocol)
			fronts := map[string]func(*testing.T) found{"HTTP": w.byHTTP, "SRU": w.bySRU, "Z39.50": w.byZ3950}
			var want, half []string
			for shard := range 4 {
				want = append(want, cellStore(shard%2)...)
				if shard%2 == 0 {
					half = append(half, cellStore(0)...)
				}
			}
			for name, ask := range fronts {
				if f := ask(t); !f.whole || f.count != len(want) || strings.Join(f.records, "|") != strings.Join(want, "|") {
					t.Errorf("%s before %s: %+v", name, protocol, f)
				}
			}
			w.killCell(1)
			for name, ask := range fronts {
				if f := ask(t); f.whole || f.count != len(half) || strings.Join(f.records, "|") != strings.Join(half, "|") {
					t.Errorf("%s before %s, half dead: whole %v, %d records, %d of them there", name, protocol, f.whole, f.count, len(f.records))
				}
			}
			if c := w.s.Counters().Searches; c.Taken != 6 || c.Answered != 6 || c.Partial != 3 || c.InHand != 0 {
				t.Errorf("%+v", c)
			}
		})
	}
}

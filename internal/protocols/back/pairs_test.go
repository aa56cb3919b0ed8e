package back_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/front/sru"
	"flaxfront/internal/protocols/front/z3950"
	"flaxfront/internal/server"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// cellRecords returns the records that the nodes of a cell hold for each shard.
func cellRecords(cell int) (all []string) {
	for i := range 5 + cell {
		all = append(all, archive.DublinCoreRecord(cell, i))
	}
	return all
}

// startNode starts a simulated store node that speaks a protocol; end stops it.
func startNode(t *testing.T, protocol string, cell int) (addr string, end func()) {
	t.Helper()
	b := archive.New(archive.DublinCoreRecord)
	b.RecordsByShard = [][]string{cellRecords(cell)}
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

// testBroker is a broker with every front and eight nodes of one protocol.
type testBroker struct {
	broker   *server.Server
	sru      *sru.Front
	z3950    *z3950.Front
	http     string
	killCell func(cell int)
}

func startBroker(t *testing.T, protocol string) *testBroker {
	t.Helper()
	w := &testBroker{}
	fleet, err := lab.NewFleet(t.TempDir(), map[bool]int{true: 8}[protocol == "frames"], 2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	ends := map[int][]func(){}
	for i, n := range fleet.Nodes {
		store := cellRecords(i % 2)
		n.MakeValue = func(_ string, _ int, text string) string {
			value, _ := archive.Value(store, text)
			return value
		}
		ends[i%2] = append(ends[i%2], func() { n.SetMode(lab.Dead) })
	}
	if protocol != "frames" {
		for i := range 8 {
			at, end := startNode(t, protocol, i%2)
			ends[i%2] = append(ends[i%2], end)
			fleet.List = append(fleet.List, lab.Instance{InstanceID: fmt.Sprintf("node-%d", i), HostPort: at, Zone: "a", Cell: i % 2, Lifecycle: "in_service", Weight: 1})
		}
		fleet.Discovery.SetList(fleet.List)
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
	start, err := terms.ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	own := operator.Default()
	own.Z3950.Listen, own.SRU.Listen, own.SRU.Type, own.Z3950.Type = "127.0.0.1:0", "127.0.0.1:0", "report", "report"
	if protocol != "frames" {
		own.StoreProtocol.Protocol, own.StoreProtocol.Database = protocol, "x"
	}
	if w.broker, err = server.New(start, own, func(t decision.Settings) decision.Router { return routing.New(t) }); err == nil {
		err = w.broker.Open()
	}
	if err != nil {
		t.Fatal(err)
	}
	if w.z3950, err = z3950.Listen(w.broker, own.Z3950); err != nil {
		t.Fatal(err)
	}
	if w.sru, err = sru.Listen(w.broker, own.SRU); err != nil {
		t.Fatal(err)
	}
	w.broker.AddFront(w.z3950)
	w.broker.AddFront(w.sru)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- w.broker.Run(stop) }()
	t.Cleanup(func() {
		close(stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return w
}

// For each pair of a front and a node protocol, the same search returns the same records in the same order as a complete result.
// With the nodes of one of two cells dead, it returns the other cell's records as a partial result. The broker counts one answer
// for each search.
func TestEveryFrontWithEveryNodeProtocol(t *testing.T) {
	for _, protocol := range []string{"frames", "sru", "z3950"} {
		t.Run(protocol, func(t *testing.T) {
			w := startBroker(t, protocol)
			fronts := map[string]func(*testing.T) searchResult{"HTTP": w.searchHTTP, "SRU": w.searchSRU, "Z39.50": w.searchZ3950}
			var want, half []string
			for shard := range 4 {
				want = append(want, cellRecords(shard%2)...)
				if shard%2 == 0 {
					half = append(half, cellRecords(0)...)
				}
			}
			for name, ask := range fronts {
				if f := ask(t); !f.complete || f.count != len(want) || strings.Join(f.records, "|") != strings.Join(want, "|") {
					t.Errorf("front %s, nodes %s: %+v", name, protocol, f)
				}
			}
			w.killCell(1)
			for name, ask := range fronts {
				if f := ask(t); f.complete || f.count != len(half) || strings.Join(f.records, "|") != strings.Join(half, "|") {
					t.Errorf("front %s, nodes %s, half of them dead: complete %v, count %d, %d records", name, protocol, f.complete, f.count, len(f.records))
				}
			}
			if c := w.broker.Counters().Queries; c.Received != 6 || c.Answered != 6 || c.Partial != 3 || c.InFlight != 0 {
				t.Errorf("%+v", c)
			}
		})
	}
}
